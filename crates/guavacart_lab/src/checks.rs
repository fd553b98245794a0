//! Counts violations of guarantees from the ledgers of callers, endpoints, workers and the store.

use std::collections::HashMap;

use guavacart_config::ConfigRecord;
use serde::Serialize;
use smol_str::SmolStr;

use crate::{
    batch_ledger::BatchCounts,
    caller::{Attempt, Ending},
    request_ledger::{EndpointCounts, RequestLedger, RequestRun},
    store::RecordedWrite,
};

/// Numbers of violations of guavacart's guarantees.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Violations {
    /// Tasks that ran on two workers at once or finished more than once.
    pub double_run: u64,
    /// Commands to start an attempt beyond a worker's capacity.
    pub over_capacity: u64,
    /// Requests or connections beyond an endpoint's limits.
    pub slots_exceeded: u64,
    /// Requests that were reported as not run but had run.
    pub false_not_run: u64,
    /// Non-idempotent requests that ran more than once.
    pub duplicate_non_idempotent: u64,
    /// Answers that were partial or belonged to another request.
    pub partial_or_foreign_answer: u64,
    /// Runs that started later than the grace period after the announcement that their endpoint
    /// leaves.
    pub late_new_work: u64,
    /// Requests whose connection broke while their instance stopped gracefully.
    pub cut_off_by_shutdown: u64,
    /// Configurations with a lower number than an earlier one, in the store or in an instance.
    pub config_reverted: u64,
    /// Accepted patches that are missing from the store's history of the configuration.
    pub config_lost: u64,
    /// Accepted tasks that guavacart lost.
    pub task_lost: u64,
}

/// Time in which an instance stopped gracefully.
#[derive(Clone, Debug)]
pub struct StopWindow {
    /// Name of the instance.
    pub instance: SmolStr,
    /// Time of the request to stop, in microseconds of the lab's clock.
    pub from_us: u64,
    /// Time at which the end of its process was seen, in microseconds of the lab's clock.
    pub to_us: u64,
}

impl Violations {
    /// Returns true if there are no violations.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    /// Adds the violations of another run.
    pub fn add(&mut self, other: &Self) {
        self.double_run += other.double_run;
        self.over_capacity += other.over_capacity;
        self.slots_exceeded += other.slots_exceeded;
        self.false_not_run += other.false_not_run;
        self.duplicate_non_idempotent += other.duplicate_non_idempotent;
        self.partial_or_foreign_answer += other.partial_or_foreign_answer;
        self.late_new_work += other.late_new_work;
        self.cut_off_by_shutdown += other.cut_off_by_shutdown;
        self.config_reverted += other.config_reverted;
        self.task_lost += other.task_lost;
    }

    /// Adds the violations that endpoints counted.
    pub fn add_endpoints(&mut self, counts: &EndpointCounts) {
        self.slots_exceeded += counts.slots_exceeded + counts.connections_exceeded;
        self.late_new_work += counts.late_new_work;
    }

    /// Adds the violations that workers counted.
    pub fn add_batch(&mut self, counts: &BatchCounts) {
        self.double_run += counts.double_run;
        self.over_capacity += counts.over_capacity;
    }

    /// Compares the endings that callers saw with the runs at endpoints.
    pub fn add_attempts(&mut self, attempts: &[Attempt], ledger: &RequestLedger) {
        let mut by_id: HashMap<&str, Vec<&Attempt>> = HashMap::new();
        for attempt in attempts {
            by_id.entry(&attempt.id).or_default().push(attempt);
            self.partial_or_foreign_answer += u64::from(attempt.ending == Ending::Wrong);
        }
        for (id, attempts) in by_id {
            let runs = ledger.runs(id);
            let is_unexplained = |run: &&RequestRun| !attempts.iter().any(|a| can_explain(a, run));
            self.false_not_run += u64::from(runs.iter().any(|run| is_unexplained(&run)));
            let is_non_idempotent = attempts.iter().any(|a| !a.idempotent);
            self.duplicate_non_idempotent += u64::from(is_non_idempotent && runs.len() > 1);
        }
    }

    /// Counts connections that broke while their instance stopped gracefully; `instance_of` returns
    /// the instance that served an attempt.
    pub fn add_stops(
        &mut self,
        attempts: &[Attempt],
        stops: &[StopWindow],
        instance_of: impl Fn(&Attempt) -> Option<SmolStr>,
    ) {
        let broken = attempts.iter().filter(|a| a.ending == Ending::Broken);
        for attempt in broken {
            let Some(instance) = instance_of(attempt) else {
                continue;
            };
            let cut_off = stops.iter().any(|stop| {
                stop.instance == instance
                    && attempt.ended_us >= stop.from_us
                    && attempt.sent_us <= stop.to_us
            });
            self.cut_off_by_shutdown += u64::from(cut_off);
        }
    }

    /// Counts writes of the configuration whose number is not above all earlier ones.
    pub fn add_config_writes(&mut self, history: &[RecordedWrite]) {
        let mut highest = None;
        for write in history {
            let value = write.value.as_deref();
            let number = value.and_then(|v| ConfigRecord::decode(v).ok());
            let number = number.map(|record| record.current.number);
            // A deleted or unreadable record counts as lower than every number.
            self.config_reverted += u64::from(number <= highest && highest.is_some());
            highest = highest.max(number);
        }
    }
}

/// Returns true if `attempt` can have caused this run: it was sent before the run started and was
/// not reported as not run.
fn can_explain(attempt: &Attempt, run: &RequestRun) -> bool {
    !attempt.is_reported_not_run() && attempt.sent_us <= run.start_us
}
