//! How far the owner is behind with what it has received, and how long its starts take.

use guavacart_types::{Span, Timestamp};

use super::State;
use crate::{Decision, Effect, LoadReport};

/// How often the lag of the event loop is measured while tasks start.
const MEASURE_INTERVAL: Span = Span::millis(50);
/// Time between two reports while tasks start.
const REPORT_INTERVAL: Span = Span::secs(1);

/// Lag of the event loop, and the starts since the last report.
#[derive(Debug, Default)]
pub(super) struct Load {
    /// A measurement of the lag has been requested and has not been answered.
    is_measuring: bool,
    report_due: Timestamp,
    current: LoadReport,
    pub(super) last_report: LoadReport,
}

impl State {
    /// Records the start of a task, `waited` after its step became ready.
    pub(super) fn record_start(&mut self, is_urgent: bool, waited: Span) {
        let report = &mut self.load.current;
        report.starts += 1;
        if is_urgent {
            report.longest_urgent_wait = report.longest_urgent_wait.max(waited);
        }
        if !self.load.is_measuring {
            self.load.report_due = self.now + REPORT_INTERVAL;
            self.measure_lag();
        }
    }

    /// Records the time from the decision to start a task until its executor answered.
    pub(super) fn record_start_answer(&mut self, taken: Span) {
        let report = &mut self.load.current;
        report.answers += 1;
        report.total_answer_time += taken;
        report.longest_answer_time = report.longest_answer_time.max(taken);
    }

    fn measure_lag(&mut self) {
        self.load.is_measuring = true;
        self.effects.push(Effect::MeasureLag {
            after: MEASURE_INTERVAL,
        });
    }

    /// Records a measured lag. Measurements end with the first interval without starts.
    pub(super) fn on_lag_measured(&mut self, lag: Span) {
        let load = &mut self.load;
        load.is_measuring = false;
        load.current.longest_lag = load.current.longest_lag.max(lag);
        let mut has_started = true;
        if self.now >= load.report_due {
            load.report_due = self.now + REPORT_INTERVAL;
            load.last_report = std::mem::take(&mut load.current);
            let report = load.last_report.clone();
            has_started = report.starts > 0;
            self.effects.push(Effect::Log(Decision::Load(report)));
        }
        if has_started {
            self.measure_lag();
        }
    }
}
