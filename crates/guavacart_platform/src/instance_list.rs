//! Client for the platform's instance list.

use std::{net::SocketAddr, time::Duration};

use guavacart_scheduler::directory::{ListedInstance, Role};
use guavacart_types::{IdError, Resources};
use minreq::Method;
use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};
use thiserror::Error;

use crate::{
    blocking_http::{CallError, NOT_MODIFIED, OutgoingRequest, call, unexpected_status},
    traffic::Traffic,
};

/// Why the instance list could not be read.
#[derive(Clone, Debug, Error)]
pub enum InstanceListError {
    /// The service was not reached, or no complete response with an expected status came.
    #[error(
        "the instance list at {address} could not be read: {cause}; the last list received stays in use"
    )]
    NoAnswer {
        /// The address of the service that holds the list.
        address: SocketAddr,
        /// Why no list came.
        cause: SmolStr,
    },
    /// The response is not a list of instances.
    #[error(
        "the instance list at {address} is malformed: {cause}; the last list received stays in use"
    )]
    Malformed {
        /// The address of the service that holds the list.
        address: SocketAddr,
        /// What is wrong with the response.
        cause: SmolStr,
    },
    /// An entry of the list has an invalid id or name.
    #[error(
        "the entry for {address} in the instance list has an invalid id: {source}; the last list received stays in use"
    )]
    Id {
        /// The address in the entry.
        address: SocketAddr,
        /// What is wrong with the id or name.
        source: IdError,
    },
}

/// The platform's tag (`ETag`) for the contents of a list.
///
/// A read that is given this tag does not transfer the list again if it is unchanged.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListTag(SmolStr);

/// The result of reading the instance list.
#[derive(Clone, Debug, PartialEq)]
pub enum Listing {
    /// The whole list, and its tag if the platform sent one.
    Full(Vec<ListedInstance>, Option<ListTag>),
    /// The list is the same as the known one.
    Unchanged,
}

/// Access to the platform's instance list; calls block the thread.
pub trait InstanceList: Clone + Send + Sync + 'static {
    /// Reads the list, unless the platform's list still has the tag `known`.
    ///
    /// The list can be seconds behind the actual state of the instances.
    fn read(&self, known: Option<&ListTag>) -> Result<Listing, InstanceListError>;
}

/// Client for the instance list over HTTP/1.1; clones share the traffic counters.
#[derive(Clone, Debug)]
pub struct HttpInstanceList {
    address: SocketAddr,
    timeout: Duration,
    traffic: Traffic,
}

/// One entry of the list in its JSON form.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ListedInstanceWire {
    /// The data centre that the instance runs in.
    pub data_centre: SmolStr,
    /// The address at which the instance is reached.
    pub address: SocketAddr,
    /// True once the platform has announced that the instance will leave.
    pub leaving: bool,
    /// The kind of instance, with the details of that kind.
    pub role: RoleWire,
}

/// The kind of a listed instance in its JSON form.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RoleWire {
    /// An entry instance.
    Entry {
        /// The instance id.
        id: SmolStr,
    },
    /// An endpoint of a service.
    Endpoint {
        /// The endpoint id.
        id: SmolStr,
        /// The name of the service that the endpoint serves.
        service: SmolStr,
        /// The id of the worker that the endpoint runs on, if it runs on one.
        worker: Option<SmolStr>,
    },
    /// A worker.
    Worker {
        /// The worker id.
        id: SmolStr,
        /// The rack that holds the worker.
        rack: SmolStr,
        /// The total resources that the worker has for tasks.
        capacity: Resources,
    },
}

impl HttpInstanceList {
    /// Creates a client for the instance list at `address`.
    ///
    /// Each read ends within `timeout`, rounded up to whole seconds.
    pub fn open(address: SocketAddr, timeout: Duration) -> Self {
        let traffic = Traffic::default();
        Self {
            address,
            timeout,
            traffic,
        }
    }

    /// Returns the bytes sent and received by this client and its clones.
    pub fn traffic(&self) -> &Traffic {
        &self.traffic
    }

    fn no_answer(&self, err: CallError) -> InstanceListError {
        let (CallError::Unavailable(cause) | CallError::Unknown(cause)) = err;
        let address = self.address;
        InstanceListError::NoAnswer { address, cause }
    }
}

impl InstanceList for HttpInstanceList {
    fn read(&self, known: Option<&ListTag>) -> Result<Listing, InstanceListError> {
        let url = format!("http://{}/v1/instances", self.address);
        let mut req = OutgoingRequest::without_body(Method::Get, url);
        if let Some(ListTag(tag)) = known {
            req = req.with_header("If-None-Match", tag);
        }
        let res = call(req, self.timeout, &self.traffic).map_err(|err| self.no_answer(err))?;
        if res.status_code == NOT_MODIFIED && known.is_some() {
            return Ok(Listing::Unchanged);
        }
        if res.status_code != 200 {
            return Err(self.no_answer(unexpected_status(&res)));
        }
        let entries: Vec<ListedInstanceWire> =
            serde_json::from_slice(res.as_bytes()).map_err(|err| InstanceListError::Malformed {
                address: self.address,
                cause: format_smolstr!("{err}"),
            })?;
        let listed: Result<Vec<_>, _> = entries.into_iter().map(ListedInstance::try_from).collect();
        let tag = res.header("etag").map(|tag| ListTag(tag.into()));
        Ok(Listing::Full(listed?, tag))
    }
}

impl TryFrom<ListedInstanceWire> for ListedInstance {
    type Error = InstanceListError;

    fn try_from(wire: ListedInstanceWire) -> Result<Self, InstanceListError> {
        let address = wire.address;
        let err = |source| InstanceListError::Id { address, source };
        Ok(Self {
            data_centre: wire.data_centre.try_into().map_err(err)?,
            address,
            leaving: wire.leaving,
            role: wire.role.try_into().map_err(err)?,
        })
    }
}

impl TryFrom<RoleWire> for Role {
    type Error = IdError;

    fn try_from(wire: RoleWire) -> Result<Self, IdError> {
        Ok(match wire {
            RoleWire::Entry { id } => Self::Entry { id: id.try_into()? },
            RoleWire::Endpoint {
                id,
                service,
                worker,
            } => Self::Endpoint {
                id: id.try_into()?,
                service: service.try_into()?,
                worker: worker.map(TryInto::try_into).transpose()?,
            },
            RoleWire::Worker { id, rack, capacity } => Self::Worker {
                id: id.try_into()?,
                rack: rack.try_into()?,
                capacity,
            },
        })
    }
}
