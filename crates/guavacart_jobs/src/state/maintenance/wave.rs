//! One maintenance wave: what each of its machines is waiting for.

use std::collections::BTreeMap;

use guavacart_types::{Span, Timestamp};

use crate::{
    ExecutorId, Machine, MachineId, MachineState, MaintenanceWave, OrderRecord, OrderState,
    WaveRecord,
};

/// Time for which lists do not show a machine after which it does not exist any more.
const ABSENT_TIME: Span = Span::millis(5_000);

/// Machines as of the latest list.
pub(super) type Machines = BTreeMap<MachineId, Machine>;

/// A maintenance wave and its progress.
#[derive(Debug)]
pub(super) struct Wave {
    /// Machines that may be down at once.
    pub(super) max_down: usize,
    pub(super) machines: BTreeMap<MachineId, Progress>,
    pub(super) is_completed: bool,
}

/// Progress of one machine in a wave.
#[derive(Debug)]
pub(super) struct Progress {
    pub(super) phase: Phase,
    pub(super) recording: Recording,
    /// Executor that the machine ran before the order, by index; the next owner learns from a list that
    /// it is gone.
    pub(super) executor: Option<usize>,
    /// When this owner last sent the order, or began with a machine that an earlier owner ordered
    /// down.
    pub(super) ordered_at: Timestamp,
    /// Earliest time of the next order after one that failed.
    pub(super) not_before: Timestamp,
    /// An order was not answered and may still be carried out.
    pub(super) is_in_doubt: bool,
    /// Since when no list has shown the machine.
    pub(super) absent_since: Option<Timestamp>,
}

/// What happens to a machine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Phase {
    /// Its maintenance has not begun, and nothing was done for it.
    Pending,
    /// Its executor gets no more work, since this time, and is to be emptied before the next order.
    Draining(Timestamp),
    /// The order was sent and is not answered.
    Ordered,
    /// The platform answered at this time that the maintenance has begun or is done.
    Begun(Timestamp),
    /// A list showed the machine up again after its maintenance.
    Finished,
    /// Lists have not shown the machine for so long that it does not exist any more.
    Absent,
}

/// Whether the store has the record of a machine's order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Recording {
    /// Nothing is to be recorded yet.
    Unneeded,
    /// The next save contains the record.
    Requested,
    /// The record is stored, so that the order may be sent.
    Stored,
}

impl Progress {
    fn pending() -> Self {
        Self {
            phase: Phase::Pending,
            recording: Recording::Unneeded,
            executor: None,
            ordered_at: Timestamp(0),
            not_before: Timestamp(0),
            is_in_doubt: false,
            absent_since: None,
        }
    }

    /// True while the machine is draining, ordered down or not seen up again.
    pub(super) fn is_active(&self) -> bool {
        let is_idle = matches!(self.phase, Phase::Pending | Phase::Finished | Phase::Absent);
        !is_idle
    }

    /// True while the machine is ordered down or not seen up again.
    pub(super) fn is_ordered_down(&self) -> bool {
        matches!(self.phase, Phase::Ordered | Phase::Begun(_))
    }

    /// True while an order without an answer may still take the machine down.
    pub(super) fn may_be_carried_out(&self) -> bool {
        self.is_in_doubt && matches!(self.phase, Phase::Draining(_))
    }

    fn order_state(&self) -> OrderState {
        match self.phase {
            Phase::Pending | Phase::Draining(_) | Phase::Ordered => OrderState::Ordered,
            Phase::Begun(_) => OrderState::Begun,
            Phase::Finished | Phase::Absent => OrderState::Finished,
        }
    }

    /// Applies whether a list that was requested at `listed_at` shows the machine. It may be missing
    /// from one list that was read in pages.
    pub(super) fn apply_listing(&mut self, is_listed: bool, listed_at: Timestamp) {
        if !is_listed {
            let since = *self.absent_since.get_or_insert(listed_at);
            if listed_at.since(since) >= ABSENT_TIME && self.phase != Phase::Finished {
                self.phase = Phase::Absent;
            }
            return;
        }
        self.absent_since = None;
        if self.phase == Phase::Absent {
            self.phase = match self.recording {
                Recording::Unneeded => Phase::Pending,
                Recording::Requested | Recording::Stored => Phase::Draining(listed_at),
            };
        }
    }
}

impl Wave {
    /// A wave in which no owner has recorded an order.
    pub(super) fn new(request: &MaintenanceWave) -> Self {
        let machines = request.machines.iter().cloned();
        Self {
            machines: machines.map(|id| (id, Progress::pending())).collect(),
            max_down: request.max_down.max(1),
            is_completed: false,
        }
    }

    /// Continues the wave of an earlier owner. Maintenance that had begun had done so at `begun_at` at
    /// the latest; other orders may be on their way, and are repeated.
    pub(super) fn restore(
        request: &MaintenanceWave,
        record: &WaveRecord,
        index_of: impl Fn(&ExecutorId) -> Option<usize>,
        begun_at: Timestamp,
        now: Timestamp,
    ) -> Self {
        let mut restored = Self::new(request);
        restored.is_completed = record.is_completed;
        for (id, order) in &record.machines {
            if let Some(progress) = restored.machines.get_mut(id) {
                *progress = Progress {
                    phase: match order.state {
                        OrderState::Ordered => Phase::Draining(now),
                        OrderState::Begun => Phase::Begun(begun_at),
                        OrderState::Finished => Phase::Finished,
                    },
                    recording: Recording::Stored,
                    executor: order.executor.as_ref().and_then(&index_of),
                    ordered_at: now,
                    not_before: Timestamp(0),
                    // An answer to this owner shows that earlier orders are fenced.
                    is_in_doubt: false,
                    absent_since: None,
                };
            }
        }
        restored
    }

    /// The durable record of the wave.
    pub(super) fn record(&self, id_of: impl Fn(usize) -> ExecutorId) -> WaveRecord {
        let is_ordered = |(_, progress): &(&MachineId, &Progress)| {
            !self.is_completed && progress.recording != Recording::Unneeded
        };
        let machines = self.machines.iter().filter(is_ordered);
        let order = |(id, progress): (&MachineId, &Progress)| {
            let order = OrderRecord {
                executor: progress.executor.map(&id_of),
                state: progress.order_state(),
            };
            (id.clone(), order)
        };
        WaveRecord {
            is_completed: self.is_completed,
            machines: machines.map(order).collect(),
        }
    }

    /// Machines whose maintenance has begun, as far as this owner knows.
    pub(super) fn begun(&self) -> usize {
        let machines = self.machines.values();
        let begun = machines.filter(|m| m.order_state() != OrderState::Ordered);
        begun.count()
    }

    /// True if nothing is left to do.
    pub(super) fn is_over(&self) -> bool {
        let mut machines = self.machines.values();
        machines.all(|m| matches!(m.phase, Phase::Finished | Phase::Absent))
    }
}

/// The state of a machine according to a list, if the list shows it.
pub(super) fn state_of(list: &Machines, id: &MachineId) -> Option<MachineState> {
    list.get(id).map(|machine| machine.state)
}

/// True if the machine is up according to a list.
pub(super) fn is_up(list: &Machines, id: &MachineId) -> bool {
    state_of(list, id) == Some(MachineState::Up)
}

/// True if a list shows that an executor has left the machine.
pub(super) fn has_left(list: &Machines, id: &MachineId, executor: &ExecutorId) -> bool {
    let Some(machine) = list.get(id) else {
        return false;
    };
    let runs_another = machine.executor.as_ref().is_some_and(|on| on != executor);
    let is_up = matches!(machine.state, MachineState::Up | MachineState::Unknown);
    !is_up || runs_another
}
