//! Learns from the duration of runs which executors are slow, and when they are tried again.
//!
//! The load that this addresses: a fifth of the executors, or all of a rack or a data centre, work at a
//! quarter of their speed without failing. Tasks of one step differ by a factor of 2 either way, and
//! estimates are wrong by a factor of 1.6 either way, so that a single long run shows nothing.
//!
//! Each run is compared with the usual duration of like tasks. What it says about its executor is added
//! up (a cumulative sum test): a run above 2 times the usual duration counts for a slow executor, one below
//! counts against it, and none counts more than 1. Factors are handled as binary logarithms.

mod evidence;

use std::collections::HashMap;

use guavacart_types::{Span, Timestamp};

use crate::{JobKey, QueueName, TaskKey};
use evidence::QueueRatios;
pub(crate) use evidence::{Counted, TimedRun, UsualRatio};

/// Evidence with which an executor is marked slow. One run counts 1 at most, so that two clear ones or
/// several less clear ones are needed.
const EVIDENCE_TO_MARK: f32 = 1.5;
/// Evidence with which the mark ends. A run of the usual duration takes 1 off.
const EVIDENCE_TO_CLEAR: f32 = 0.5;
/// Least evidence. Earlier fast runs of an executor count, but no more than one run.
const MIN_EVIDENCE: f32 = -1.0;
/// Jobs whose estimates have counted and do not count again, since they may all be wrong the same way.
const REMEMBERED_JOBS: usize = 6;
/// Time for which a marked executor is avoided before it is tried again; doubled with each slow trial.
const FIRST_PROBATION: Span = Span::millis(1_500);
/// Longest such time.
const MAX_PROBATION: Span = Span::secs(12);
/// Runs over which the factor of an executor is averaged.
const FACTOR_RUNS: u16 = 4;
/// Smallest and largest factor that are told apart.
const MIN_FACTOR: f32 = 2.0;
pub(crate) const MAX_FACTOR: u8 = 16;

/// The mark of a slow executor.
#[derive(Clone, Copy, Debug)]
struct Mark {
    /// Until when the executor is avoided.
    until: Timestamp,
    probation: Span,
    /// The last task that tried the executor again.
    trial: Option<TaskKey>,
}

/// What is known about one executor.
#[derive(Clone, Debug, Default)]
struct Record {
    /// The executor has had a run that can be compared once like tasks have ended.
    is_in_use: bool,
    evidence: f32,
    /// Runs that gave evidence.
    runs: u16,
    /// Mean factor of the runs, as a binary logarithm.
    log2: f32,
    /// Jobs whose estimates have counted, and whether for a slow executor or against one.
    jobs: [Option<(JobKey, bool)>; REMEMBERED_JOBS],
    mark: Option<Mark>,
}

impl Record {
    /// True if more speaks for a slow executor than against one.
    fn is_suspected(&self) -> bool {
        self.mark.is_some() || self.evidence > 0.0
    }

    /// Factor by which the executor is slower, rounded up.
    fn factor(&self) -> u8 {
        let factor = self.log2.exp2().ceil();
        factor.clamp(MIN_FACTOR, f32::from(MAX_FACTOR)) as u8
    }

    /// Records that the estimates of this job have counted for a slow executor or against one; false if
    /// they had before.
    fn add_job(&mut self, job: JobKey, is_slow: bool) -> bool {
        if self.jobs.contains(&Some((job, is_slow))) {
            return false;
        }
        self.jobs.rotate_right(1);
        self.jobs[0] = Some((job, is_slow));
        true
    }
}

/// How an executor is treated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Standing {
    Usual,
    /// Tried again with a single task.
    OnTrial,
    /// This many times slower than usual.
    Slow(u8),
}

impl Standing {
    /// True if a task that ends by itself may start there. The tasks of a gang end together, so that a
    /// gang tries no executor.
    pub(crate) fn accepts(self, is_gang: bool, max_factor: u8) -> bool {
        match self {
            Self::Usual => true,
            Self::OnTrial => !is_gang,
            Self::Slow(factor) => factor <= max_factor,
        }
    }

    /// Rank of the executor among others with room; the greatest is the best. A trial goes first, since
    /// an executor that is not tried stays marked.
    pub(crate) fn preference(self, is_gang: bool) -> i64 {
        match self {
            Self::Usual => 0,
            Self::OnTrial if !is_gang => 1,
            Self::OnTrial | Self::Slow(_) => -1,
        }
    }
}

/// Largest factor of a slow executor on which a task may start that has waited for this time.
///
/// A run there takes `factor - 1` times the estimate longer. A task that has waited for this time is
/// done there after at most twice the time of the best choice, whenever room becomes free elsewhere.
pub(crate) fn max_factor(waited: Span, estimate: Span) -> u8 {
    let factor = 1 + waited.0 / estimate.0.max(1);
    u8::try_from(factor).map_or(MAX_FACTOR, |factor| factor.min(MAX_FACTOR))
}

/// A change of an executor's mark.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Change {
    /// The executor is avoided for this time, since it is this many times slower.
    Marked {
        factor: f32,
        avoided_for: Span,
    },
    /// A trial was slow, and the executor is avoided again for this time.
    Extended {
        avoided_for: Span,
    },
    Cleared,
}

/// What a run has changed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Observed {
    pub(crate) counted: Counted,
    pub(crate) change: Option<Change>,
}

/// The speeds of all executors, by their index.
#[derive(Debug, Default)]
pub(crate) struct Speeds {
    records: Vec<Record>,
    queues: HashMap<QueueName, QueueRatios>,
    in_use: usize,
    /// Executors with evidence from at least one run.
    observed: usize,
    /// Executors with evidence that they are slow.
    suspected: usize,
    marked: usize,
}

impl Speeds {
    /// Number of executors that are treated as slow.
    pub(crate) fn slow_executors(&self) -> usize {
        if self.is_reference_sound() {
            self.marked
        } else {
            0
        }
    }

    /// False if most executors look slow, so that what they are compared with is wrong, or as long as
    /// most of those in use have not been compared. The fastest ones are compared first.
    fn is_reference_sound(&self) -> bool {
        self.suspected * 2 <= self.observed && self.observed * 2 >= self.in_use
    }

    /// How an executor is treated now; `is_running` tells whether it still runs a task.
    pub(crate) fn standing(
        &self,
        x: usize,
        now: Timestamp,
        is_running: impl FnOnce(TaskKey) -> bool,
    ) -> Standing {
        if self.slow_executors() == 0 {
            return Standing::Usual;
        }
        let record = self.records.get(x);
        let Some((record, mark)) = record.and_then(|record| Some((record, record.mark?))) else {
            return Standing::Usual;
        };
        if now >= mark.until && !mark.trial.is_some_and(is_running) {
            Standing::OnTrial
        } else {
            Standing::Slow(record.factor())
        }
    }

    /// Records that a task tries a marked executor.
    pub(crate) fn begin_trial(&mut self, x: usize, task: TaskKey) {
        let mark = self.records.get_mut(x).and_then(|r| r.mark.as_mut());
        if let Some(mark) = mark {
            mark.trial = Some(task);
        }
    }

    /// Forgets an executor that has restarted or left; true if it was marked.
    pub(crate) fn forget(&mut self, x: usize) -> bool {
        let Some(record) = self.records.get_mut(x) else {
            return false;
        };
        let record = std::mem::take(record);
        self.in_use -= usize::from(record.is_in_use);
        self.observed -= usize::from(record.runs > 0);
        self.suspected -= usize::from(record.is_suspected());
        self.marked -= usize::from(record.mark.is_some());
        record.mark.is_some()
    }

    /// Learns from a run on executor `x`. The evidence of a run that goes on grows with each call.
    pub(crate) fn observe(&mut self, x: usize, now: Timestamp, run: &TimedRun<'_>) -> Observed {
        let nothing = Observed {
            counted: run.counted,
            change: None,
        };
        if x >= self.records.len() {
            self.records.resize_with(x + 1, Record::default);
        }
        let was_in_use = std::mem::replace(&mut self.records[x].is_in_use, true);
        self.in_use += usize::from(!was_in_use);
        let queue = self.queues.get(run.queue);
        let Some(evidence) = run.judge(queue.unwrap_or(&QueueRatios::default())) else {
            return nothing;
        };
        let is_sound = self.is_reference_sound();
        let record = &mut self.records[x];
        let (was_observed, was_suspected) = (record.runs > 0, record.is_suspected());
        let is_first = run.counted == Counted::Nothing;
        let is_trial = record.mark.is_some_and(|m| m.trial == Some(run.task));
        let evidence = if is_trial {
            evidence.of_trial()
        } else {
            evidence
        };
        let is_slow = evidence.amount > 0.0;
        let is_repeated = is_first
            && evidence.is_by_estimate
            && !is_trial
            && !record.add_job(run.task.step.job, is_slow);
        let counted = if is_repeated || run.counted == Counted::Ignored {
            Counted::Ignored
        } else {
            let before = match run.counted {
                Counted::Amount(amount) => amount,
                Counted::Nothing | Counted::Ignored => 0.0,
            };
            let sum = record.evidence + evidence.amount - before;
            record.evidence = sum.clamp(MIN_EVIDENCE, EVIDENCE_TO_MARK);
            Counted::Amount(evidence.amount)
        };
        if is_first {
            record.runs = record.runs.saturating_add(1);
        }
        if run.at_most.is_some() || is_first {
            let runs = record.runs.min(FACTOR_RUNS);
            record.log2 += (evidence.log2 - record.log2) / f32::from(runs);
        }
        let change = match &mut record.mark {
            None if record.evidence >= EVIDENCE_TO_MARK && is_sound => {
                record.mark = Some(Mark {
                    until: now + FIRST_PROBATION,
                    probation: FIRST_PROBATION,
                    trial: None,
                });
                record.log2 = record.log2.max(evidence.log2);
                Some(Change::Marked {
                    factor: record.log2.exp2(),
                    avoided_for: FIRST_PROBATION,
                })
            }
            Some(_) if record.evidence <= EVIDENCE_TO_CLEAR => {
                record.mark = None;
                Some(Change::Cleared)
            }
            Some(mark) if is_trial && is_slow && is_first => {
                mark.probation = (mark.probation * 2).min(MAX_PROBATION);
                mark.until = now + mark.probation;
                Some(Change::Extended {
                    avoided_for: mark.probation,
                })
            }
            _ => None,
        };
        self.observed += usize::from(!was_observed && record.runs > 0);
        self.suspected += usize::from(record.is_suspected());
        self.suspected -= usize::from(was_suspected);
        match change {
            Some(Change::Marked { .. }) => self.marked += 1,
            Some(Change::Cleared) => self.marked -= 1,
            Some(Change::Extended { .. }) | None => {}
        }
        Observed { counted, change }
    }

    /// Learns the usual duration from a run on executor `x` that has ended. Runs on executors that are
    /// known to be slow are not usual.
    pub(crate) fn learn_usual(&mut self, x: usize, run: &TimedRun<'_>, step: &mut UsualRatio) {
        let is_marked = self.records.get(x).is_some_and(|r| r.mark.is_some());
        if is_marked && self.is_reference_sound() {
            return;
        }
        let log2 = run.least_ratio();
        step.learn(log2);
        if let Some(queue) = self.queues.get_mut(run.queue) {
            queue.learn(log2);
            return;
        }
        let queue = self.queues.entry(run.queue.clone()).or_default();
        queue.learn(log2);
    }
}
