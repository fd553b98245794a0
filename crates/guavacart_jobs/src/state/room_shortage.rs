//! Reports steps that find no room.

use guavacart_types::{Processors, Resources, Span};

use super::{State, executors::Executor};
use crate::{Decision, Effect, RoomShortage, StepKey};

/// Time after which a step without room is reported.
const REPORTED_WAIT: Span = Span::millis(500);
/// Shortest time between two reports.
const REPORT_INTERVAL: Span = Span::secs(1);

impl State {
    /// Reports the first of the steps, in order of rank, that still waits for room.
    pub(super) fn report_room_shortage(&mut self, mut ranked: impl Iterator<Item = StepKey>) {
        if self.next_shortage_report > self.now {
            return;
        }
        let Some(shortage) = ranked.find_map(|key| self.room_shortage(key)) else {
            return;
        };
        self.next_shortage_report = self.now + REPORT_INTERVAL;
        let decision = Decision::NoRoom(shortage);
        self.effects.push(Effect::Log(decision));
    }

    /// What a step lacks; `None` if it does not wait, has waited briefly or reserves no processors.
    fn room_shortage(&self, key: StepKey) -> Option<RoomShortage> {
        let entry = self
            .jobs
            .get(&key.job)
            .filter(|_| self.ready.contains(&key))?;
        let state = entry.state(key)?;
        let step = entry.step(key);
        let (size, waited) = (step.reserved(), self.now.since(state.ready_since));
        if waited < REPORTED_WAIT || size.processors.0 == 0 || step.is_long_running {
            return None;
        }
        let usable = (0..self.executors.len()).filter(|x| self.is_usable(*x));
        let usable: Vec<&Executor> = usable.map(|x| &self.executors[x]).collect();
        let free = || usable.iter().map(|executor| executor.free().processors.0);
        let fits = |executor: &&&Executor| size.fits_in(&self.room_beside_services(executor));
        Some(RoomShortage {
            step: key,
            waited,
            tasks: state.waiting.len(),
            size,
            free: Processors(free().sum()),
            largest: Processors(free().max().unwrap_or_default()),
            executors_without_short_tasks: usable.iter().filter(fits).count(),
        })
    }

    /// The room on an executor once its tasks have ended that are no service tasks or are being
    /// stopped.
    pub(super) fn room_beside_services(&self, executor: &Executor) -> Resources {
        let runs = executor.runs.iter();
        let ending = runs.filter(|(task, run)| run.stop.is_some() || !self.is_long_running(**task));
        ending.fold(executor.free(), |room, (_, run)| room.plus(&run.size))
    }
}
