//! Executors and machines as the platform describes them, and maintenance waves.

use std::net::SocketAddr;

use guavacart_types::{Incarnation, Resources, Span};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{ExecutorId, MachineId, PoolName, WaveNumber};

/// An executor's entry in the platform's store.
#[derive(Clone, Debug, PartialEq)]
pub struct Registration {
    /// Pool that the executor belongs to.
    pub pool: PoolName,
    /// Address that the executor receives orders at.
    pub address: SocketAddr,
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

/// Id and address of the executor that an order goes to.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ExecutorAddress {
    /// Id of the executor.
    pub id: ExecutorId,
    /// Address that the executor receives orders at.
    pub address: SocketAddr,
}

/// A machine of the platform that executors run on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Machine {
    /// Id of the machine, which stays the same when the machine gets a new executor.
    pub id: MachineId,
    /// What the machine is doing.
    pub state: MachineState,
    /// Executor that runs on the machine, if any.
    pub executor: Option<ExecutorId>,
}

/// State of a machine, as the platform lists it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MachineState {
    /// The machine runs an executor.
    Up,
    /// The machine is being moved to another pool.
    Moving,
    /// The machine is down for maintenance.
    Maintenance,
    /// The machine is not running.
    Down,
}

/// A request to take a set of machines down for maintenance, a few at a time.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MaintenanceWave {
    /// Number of the wave.
    pub number: WaveNumber,
    /// Machines that need maintenance.
    pub machines: Vec<MachineId>,
    /// Time for the whole wave, from the request.
    pub duration: Span,
    /// Maximum number of machines that are down at once; 0 counts as 1.
    pub max_down: usize,
}

/// State of a maintenance wave.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum MaintenanceWaveState {
    /// The maintenance of at least one machine is not finished.
    Running,
    /// The maintenance of all machines is finished.
    Completed,
}
