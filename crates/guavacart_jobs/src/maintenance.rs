//! Machines as the platform describes them, and their maintenance in waves.

use std::collections::BTreeMap;

use guavacart_types::Span;
use serde::{Deserialize, Serialize};

use crate::{ExecutorId, MachineId, WaveNumber};

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
    /// A state that this version does not know; the machine may be running.
    Unknown,
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

/// Durable record of the orders of all owners in maintenance waves, from which the next owner
/// continues.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct MaintenanceRecord {
    /// Waves in which an owner has recorded an order.
    pub waves: BTreeMap<WaveNumber, WaveRecord>,
}

/// Durable record of one maintenance wave.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WaveRecord {
    /// True once the maintenance of all machines is finished; `machines` is empty then.
    pub is_completed: bool,
    /// Machines whose order may have been sent. It is recorded before it is sent.
    pub machines: BTreeMap<MachineId, OrderRecord>,
}

/// Durable record of the order to take one machine down.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrderRecord {
    /// Executor that the machine ran before the order; `None` if there was none, or if it joined after
    /// the maintenance.
    pub executor: Option<ExecutorId>,
    /// How far the maintenance has come.
    pub state: OrderState,
}

/// State of an order to take a machine down.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum OrderState {
    /// The order may have been sent, and may be carried out at any time.
    Ordered,
    /// The platform has answered that the maintenance has begun or is done.
    Begun,
    /// The machine was up again after its maintenance, or does not exist any more.
    Finished,
}

impl MaintenanceRecord {
    /// The record to continue from if the stored one is not readable: each machine may have been
    /// ordered down.
    pub fn assume_all_ordered(waves: &[MaintenanceWave]) -> Self {
        let order = |id: &MachineId| {
            let order = OrderRecord {
                executor: None,
                state: OrderState::Ordered,
            };
            (id.clone(), order)
        };
        let wave = |wave: &MaintenanceWave| {
            let record = WaveRecord {
                is_completed: false,
                machines: wave.machines.iter().map(order).collect(),
            };
            (wave.number, record)
        };
        Self {
            waves: waves.iter().map(wave).collect(),
        }
    }
}
