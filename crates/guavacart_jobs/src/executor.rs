//! Executors as the platform describes them.

use std::net::SocketAddr;

use guavacart_types::{DataCentre, Incarnation, Resources, Span};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{ExecutorId, PoolName};

/// An executor's entry in the platform's store.
#[derive(Clone, Debug, PartialEq)]
pub struct Registration {
    /// Pool that the executor belongs to.
    pub pool: PoolName,
    /// Address that the executor receives orders at.
    pub address: SocketAddr,
    /// Data centre of the executor; `None` if the entry does not give one.
    pub data_centre: Option<DataCentre>,
    /// True if the executor is about to leave and takes no new work.
    pub is_draining: bool,
    /// Minimum time that a draining executor stays up; `None` if the entry does not give one.
    pub drain_left: Option<Span>,
    /// Total resources of the executor.
    pub capacity: Resources,
    /// Labels that steps can require; the last one is the rack.
    pub labels: Vec<SmolStr>,
    /// Start of the executor's process, as Unix time in milliseconds; `None` if the entry does not
    /// give the start.
    pub incarnation: Option<Incarnation>,
}

impl Registration {
    /// Returns the executor's rack, which is the last label.
    pub fn rack(&self) -> Option<&SmolStr> {
        self.labels.last()
    }
}

/// Id and address of an executor.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ExecutorAddress {
    /// Id of the executor.
    pub id: ExecutorId,
    /// Address that the executor receives orders at.
    pub address: SocketAddr,
}

/// The executor, and the incarnation of it, that an order is meant for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OrderTarget {
    /// Id of the executor.
    pub id: ExecutorId,
    /// Address that the executor receives orders at.
    pub address: SocketAddr,
    /// The incarnation that the executor has reported last; `None` if it has not reported yet.
    pub incarnation: Option<Incarnation>,
}
