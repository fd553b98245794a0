//! What executors and machines say of themselves, and upkeep waves.

use std::net::SocketAddr;

use guavacart_types::{Incarnation, Resources, Span};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{ExecutorId, MachineId, PoolName, WaveNumber};

/// An executor's entry in the platform's store.
#[derive(Clone, Debug, PartialEq)]
pub struct Registration {
    /// The pool that it belongs to.
    pub pool: PoolName,
    /// Where it takes orders.
    pub address: SocketAddr,
    /// It leaves and takes no new work.
    pub is_draining: bool,
    /// Time that is left at least while it drains.
    pub drain_left: Option<Span>,
    /// What it holds.
    pub capacity: Resources,
    /// Its kind and its rack.
    pub labels: Vec<SmolStr>,
    /// Unix millisecond of its start, if it says so.
    pub incarnation: Option<Incarnation>,
}

impl Registration {
    /// Its rack; the last label.
    pub fn rack(&self) -> Option<&SmolStr> {
        self.labels.last()
    }
}

/// Whom an order goes to.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Target {
    /// The executor's id.
    pub id: ExecutorId,
    /// Where it takes orders.
    pub address: SocketAddr,
}

/// A machine of the platform that executors run on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Machine {
    /// Its id; it outlives its executors.
    pub id: MachineId,
    /// What it does.
    pub state: MachineState,
    /// The executor that runs on it.
    pub executor: Option<ExecutorId>,
}

/// What a machine does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MachineState {
    /// It runs an executor.
    Up,
    /// It moves to another pool.
    Moving,
    /// It is down for its upkeep.
    Upkeep,
    /// It does not run.
    Down,
}

/// A request for the upkeep of some machines.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Wave {
    /// Its number.
    pub number: WaveNumber,
    /// The machines.
    pub machines: Vec<MachineId>,
    /// Time for all of them, from the request.
    pub duration: Span,
    /// Most machines down at once.
    pub cap: usize,
}

/// How far a wave has come.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum WaveState {
    /// Some machines have not had their upkeep.
    Running,
    /// All have.
    Completed,
}
