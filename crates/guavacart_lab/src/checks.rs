//! Counts broken promises by joining the ledgers of callers, endpoints, workers and the store.

use std::collections::HashMap;

use guavacart_config::ConfigRecord;
use serde::Serialize;
use smol_str::SmolStr;

use crate::{
    batch_ledger::BatchCounts,
    caller::{Attempt, Ending},
    request_ledger::{EndpointCounts, RequestLedger, RequestRun},
    store::Write,
};

/// Broken promises.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Violations {
    /// Tasks that ran in two places at once or finished more than once.
    pub double_run: u64,
    /// Commands to start what a worker had no room for.
    pub over_capacity: u64,
    /// Requests or connections beyond what an endpoint holds.
    pub slots_exceeded: u64,
    /// Requests called not run that had run.
    pub false_not_run: u64,
    /// Non-idempotent requests that ran more than once.
    pub duplicate_non_idempotent: u64,
    /// Answers that were partial or another request's.
    pub partial_or_foreign_answer: u64,
    /// Runs that started too long after their endpoint was announced to leave.
    pub late_new_work: u64,
    /// Requests whose connection a gracefully stopping instance broke.
    pub cut_off_by_shutdown: u64,
    /// Configurations with a lower number than one before, in the store or in an instance.
    pub config_reverted: u64,
    /// Accepted tasks that guavacart forgot.
    pub task_lost: u64,
}

/// The time in which an instance stopped gracefully, in microseconds of the lab's clock.
#[derive(Clone, Debug)]
pub struct StopWindow {
    /// The instance.
    pub instance: SmolStr,
    /// When it was asked to stop.
    pub from_us: u64,
    /// When its process had ended.
    pub to_us: u64,
}

impl Violations {
    /// True if no promise was broken.
    pub fn none(&self) -> bool {
        *self == Self::default()
    }

    /// Adds what was counted in another run.
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

    /// Adds what endpoints counted.
    pub fn add_endpoints(&mut self, counts: &EndpointCounts) {
        self.slots_exceeded += counts.slots_exceeded + counts.connections_exceeded;
        self.late_new_work += counts.late_new_work;
    }

    /// Adds what workers counted.
    pub fn add_batch(&mut self, counts: &BatchCounts) {
        self.double_run += counts.double_run;
        self.over_capacity += counts.over_capacity;
    }

    /// Joins what callers were told with what endpoints ran.
    pub fn add_attempts(&mut self, attempts: &[Attempt], ledger: &RequestLedger) {
        let mut by_id: HashMap<&str, Vec<&Attempt>> = HashMap::new();
        for attempt in attempts {
            by_id.entry(&attempt.id).or_default().push(attempt);
            self.partial_or_foreign_answer += u64::from(attempt.ending == Ending::Wrong);
        }
        for (id, attempts) in by_id {
            let runs = ledger.runs(id);
            let unaccounted = |run: &&RequestRun| !attempts.iter().any(|a| accounts_for(a, run));
            self.false_not_run += u64::from(runs.iter().any(|run| unaccounted(&run)));
            let once = attempts.iter().any(|a| !a.idempotent);
            self.duplicate_non_idempotent += u64::from(once && runs.len() > 1);
        }
    }

    /// Counts connections that broke while their instance stopped gracefully.
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

    /// Counts writes of the configuration whose number is not above the one before.
    pub fn add_config_writes(&mut self, history: &[Write]) {
        let mut last = None;
        for write in history {
            let value = write.value.as_deref();
            let number = value.and_then(|v| ConfigRecord::decode(v).ok());
            let number = number.map(|record| record.current.number);
            // A deleted or unreadable record is a lower one than any.
            self.config_reverted += u64::from(number <= last && last.is_some());
            last = last.max(number);
        }
    }
}

/// True if the caller of `attempt` was not told that this run did not happen.
fn accounts_for(attempt: &Attempt, run: &RequestRun) -> bool {
    !attempt.says_not_run() && attempt.sent_us <= run.start_us
}
