//! Executors' entries in the store, and the record of executors that may run tasks.

use super::{State, executors::Executor};
use crate::{ExecutorAddress, ExecutorId, Registration, TaskKey};

impl State {
    /// Adds an executor that an earlier owner recorded.
    pub(super) fn add_recorded_executor(&mut self, target: ExecutorAddress) {
        self.by_id.insert(target.id.clone(), self.executors.len());
        let mut executor = Executor::new(target, self.now);
        executor.is_recorded = true;
        self.executors.push(executor);
    }

    /// Executors that may run a task, for the stored record of executors with runs.
    pub(super) fn executors_with_runs(&self) -> Vec<ExecutorAddress> {
        let may_run = |(x, executor): &(usize, &Executor)| {
            executor.registration.is_some()
                || !executor.runs.is_empty()
                || self.unreconciled.contains(x)
        };
        let executors = self.executors.iter().enumerate().filter(may_run);
        executors
            .map(|(_, executor)| executor.target.clone())
            .collect()
    }

    pub(super) fn on_registration(&mut self, id: &ExecutorId, registration: Option<Registration>) {
        let known = self.by_id.get(id).copied();
        let (x, registration) = match (known, registration) {
            (None, None) => return,
            (Some(x), None) => {
                self.executors[x].registration = None;
                self.racks.forget_members();
                // Tasks that wait for the executor's rack are placed elsewhere.
                self.needs_placement = true;
                // The next owner does not have to wait for the executor.
                self.saving.must_record_executors |=
                    self.is_gone(x) && self.executors[x].is_recorded;
                return;
            }
            // An entry from before the machine went down.
            (Some(x), Some(registration))
                if registration.incarnation.is_some()
                    && registration.incarnation == self.executors[x].down_incarnation =>
            {
                return;
            }
            (Some(x), Some(registration)) => (x, registration),
            (None, Some(registration)) => {
                let x = self.executors.len();
                let target = ExecutorAddress {
                    id: id.clone(),
                    address: registration.address,
                };
                let mut executor = Executor::new(target, self.now);
                executor.is_machine_draining = self.maintenance.is_taking_down(id);
                self.executors.push(executor);
                self.by_id.insert(id.clone(), x);
                (x, registration)
            }
        };
        self.executors[x].entry_read_at = self.now;
        // Entries are written about once a second, usually without a change.
        if self.executors[x].registration.as_ref() == Some(&registration) {
            self.hold_if_needed(x);
            return;
        }
        self.apply_capacity(x, registration.capacity);
        if known.is_none() || self.executors[x].target.address != registration.address {
            self.set_address(x, registration.address);
        }
        let executor = &mut self.executors[x];
        let must_record = !executor.is_recorded;
        let is_restarted = match (registration.incarnation, executor.incarnation) {
            (Some(registered), Some(known)) => registered > known,
            _ => false,
        };
        let is_draining = registration.is_draining;
        // The incarnation that has left is found to be over only with the list of the next one.
        let has_left = is_restarted && executor.crash_watch.is_leaving;
        executor.crash_watch.is_leaving = is_draining || has_left;
        executor.registration = Some(registration);
        self.racks.forget_members();
        executor.has_new_room = true;
        executor.is_evacuated = self.evacuations.covers(&executor.registration);
        if is_restarted {
            executor.has_seen_epoch = false;
            executor.failed_holds = 0;
        }
        if must_record {
            self.saving.must_record_executors = true;
            self.saving.is_flush_due = true;
        }
        if is_draining {
            self.stop_long_running(x);
        }
        self.needs_placement = true;
        if is_restarted {
            self.hold_immediately(x);
        } else {
            self.hold_if_needed(x);
        }
    }

    /// Stops the long-running tasks on a draining executor, so that they restart elsewhere. Other
    /// tasks run on until they end or the executor stops.
    fn stop_long_running(&mut self, x: usize) {
        let long_running: Vec<TaskKey> = self.executors[x]
            .runs
            .keys()
            .filter(|task| self.is_long_running(**task))
            .copied()
            .collect();
        for task in long_running {
            self.stop_run(x, task, "the executor is draining");
        }
    }
}
