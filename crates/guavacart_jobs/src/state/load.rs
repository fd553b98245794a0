//! How far the owner is behind with what it has received, how long its starts take, and when it starts
//! tasks that can wait.
//!
//! One thread receives, decides and sends. Tasks of the most urgent queues start at once. Others start
//! in batches, which are small and wait for a short event loop while it is behind and there is urgent
//! work, so that an owner without processor time puts off what can wait and nothing else.

use guavacart_types::{Span, Timestamp};

use super::State;
use crate::{Decision, Effect, LoadReport};

/// How often the lag of the event loop is measured while tasks start.
const MEASURE_INTERVAL: Span = Span::millis(50);
/// How soon it is measured while tasks wait for the next batch.
const BATCH_INTERVAL: Span = Span::millis(5);
/// Tasks of one batch while the event loop is behind.
const SMALL_BATCH: u32 = 24;
/// Tasks of one batch otherwise.
const LARGE_BATCH: u32 = 240;
/// Longest lag with which the next batch starts.
const MAX_LAG: Span = Span::millis(10);
/// Time in which a small batch starts whatever the lag is. An owner may be behind for other reasons
/// than starts, such as the holds of thousands of executors.
const MAX_BATCH_DELAY: Span = Span::millis(40);
/// Time since a lag above [`MAX_LAG`] in which the owner still counts as behind.
const BEHIND_PERIOD: Span = Span::secs(1);
/// Time since the last start of an urgent task in which there is urgent work.
const URGENT_PERIOD: Span = Span::secs(1);
/// Time between two reports while tasks start.
const REPORT_INTERVAL: Span = Span::secs(1);

/// Lag of the event loop, and the starts since the last report.
#[derive(Debug, Default)]
pub(super) struct Load {
    /// Measurements of the lag that were requested and have not ended.
    pending_measurements: u32,
    /// When the measurement that was requested last is due.
    measured_at: Timestamp,
    /// Tasks of the current batch that have not started.
    batch_left: u32,
    batch_begun_at: Timestamp,
    /// Tasks wait for the next batch.
    is_batch_awaited: bool,
    /// When a lag above [`MAX_LAG`] was last measured.
    behind_at: Option<Timestamp>,
    /// When an urgent task that is no service task last started.
    urgent_at: Option<Timestamp>,
    report_due: Timestamp,
    current: LoadReport,
    pub(super) last_report: LoadReport,
}

impl State {
    /// Records the start of a task of this priority, `waited` after its step became ready.
    pub(super) fn record_start(&mut self, priority: u32, is_long_running: bool, waited: Span) {
        let can_wait = self.can_wait(priority);
        let load = &mut self.load;
        load.current.starts += 1;
        if can_wait {
            load.batch_left = load.batch_left.saturating_sub(1);
        } else if !is_long_running {
            load.urgent_at = Some(self.now);
            load.current.longest_urgent_wait = load.current.longest_urgent_wait.max(waited);
        }
        if load.pending_measurements == 0 {
            load.report_due = self.now + REPORT_INTERVAL;
            self.measure_lag(MEASURE_INTERVAL);
        }
    }

    /// Records the time from the decision to start a task until its executor answered.
    pub(super) fn record_start_answer(&mut self, taken: Span) {
        let report = &mut self.load.current;
        report.answers += 1;
        report.total_answer_time += taken;
        report.longest_answer_time = report.longest_answer_time.max(taken);
    }

    /// True if tasks of this priority start in batches.
    fn can_wait(&self, priority: u32) -> bool {
        priority > self.most_urgent_priority
    }

    /// True if a task of this priority may start now. If not, the next batch leads to a pass.
    pub(super) fn may_start_priority(&mut self, priority: u32) -> bool {
        if !self.can_wait(priority) || self.load.batch_left > 0 {
            return true;
        }
        self.load.is_batch_awaited = true;
        let load = &self.load;
        if load.pending_measurements == 0 || load.measured_at > self.now + BATCH_INTERVAL {
            self.measure_lag(BATCH_INTERVAL);
        }
        false
    }

    /// True if steps wait for the next batch.
    pub(super) fn is_batch_awaited(&self) -> bool {
        self.load.is_batch_awaited
    }

    /// True if the event loop is behind, or was a short time ago.
    pub(super) fn is_behind(&self) -> bool {
        let at = self.load.behind_at;
        at.is_some_and(|at| self.now.since(at) < BEHIND_PERIOD)
    }

    /// Size of the batch that begins now; 0 while it has to wait. Without urgent work there is nothing
    /// that a large batch would delay.
    fn next_batch(&self, lag: Span) -> u32 {
        let urgent_at = self.load.urgent_at;
        let has_urgent_work = urgent_at.is_some_and(|at| self.now.since(at) < URGENT_PERIOD);
        if !self.is_behind() || !has_urgent_work {
            return LARGE_BATCH;
        }
        let elapsed = self.now.since(self.load.batch_begun_at);
        if lag > MAX_LAG && elapsed < MAX_BATCH_DELAY {
            return 0;
        }
        // Passes may be further apart than batches, and start one batch each.
        let interval = if lag > MAX_LAG {
            MAX_BATCH_DELAY
        } else {
            BATCH_INTERVAL
        };
        let size = u64::from(SMALL_BATCH) * elapsed.max(interval).0 / interval.0;
        u32::try_from(size).map_or(LARGE_BATCH, |size| size.min(LARGE_BATCH))
    }

    fn measure_lag(&mut self, after: Span) {
        self.load.pending_measurements += 1;
        self.load.measured_at = self.now + after;
        self.effects.push(Effect::MeasureLag { after });
    }

    /// Applies a measured lag, and begins the next batch if it is due. Measurements end with the first
    /// report without starts, unless steps wait for a batch.
    pub(super) fn on_lag_measured(&mut self, lag: Span) {
        let load = &mut self.load;
        load.current.longest_lag = load.current.longest_lag.max(lag);
        if lag > MAX_LAG {
            load.behind_at = Some(self.now);
        }
        load.pending_measurements = load.pending_measurements.saturating_sub(1);
        // Another measurement was requested later and decides on the next batch.
        if load.pending_measurements > 0 && load.measured_at > self.now {
            return;
        }
        let batch = self.next_batch(lag);
        let load = &mut self.load;
        load.batch_left = batch;
        if batch > 0 {
            load.batch_begun_at = self.now;
            self.needs_placement |= std::mem::take(&mut load.is_batch_awaited);
        }
        let mut has_started = true;
        if self.now >= load.report_due {
            load.report_due = self.now + REPORT_INTERVAL;
            load.last_report = std::mem::take(&mut load.current);
            let report = load.last_report.clone();
            has_started = report.starts > 0;
            self.effects.push(Effect::Log(Decision::Load(report)));
        }
        if self.load.is_batch_awaited {
            self.measure_lag(BATCH_INTERVAL);
        } else if has_started {
            self.measure_lag(MEASURE_INTERVAL);
        }
    }
}
