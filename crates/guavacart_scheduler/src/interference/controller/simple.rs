//! Simple policies that serve as a baseline for the learned one.

use guavacart_types::{Span, WorkerId};

use super::{Controller, Decision, DecisionReason, Inputs, RunningTask, thousandths};

/// Speed of every task under the static policy, in percent of full speed.
const FIXED_PERCENT: u32 = 50;
/// Excess latency above which a report is bad, as a share of the undisturbed latency.
const BAD_EXCESS: f64 = 0.15;
/// Age from which a report is ignored.
const REPORT_AGE: Span = Span::secs(2);

impl Controller {
    /// Runs every task at the same fixed share of its speed.
    pub(super) fn fixed_share(
        &mut self,
        inputs: &Inputs<'_>,
        tasks: &[&RunningTask],
        decisions: &mut Vec<Decision>,
    ) {
        for task in tasks.iter().filter(|t| t.percent != FIXED_PERCENT) {
            self.throttle(
                inputs.now,
                task,
                FIXED_PERCENT,
                DecisionReason::FixedShare,
                decisions,
            );
        }
    }

    /// Evicts the task with the most pressure if a recent report is bad.
    pub(super) fn reactive(
        &mut self,
        inputs: &Inputs<'_>,
        worker: &WorkerId,
        tasks: &[&RunningTask],
        decisions: &mut Vec<Decision>,
    ) {
        let Some(reports) = self.reported.get_mut(worker) else {
            return;
        };
        let bad = reports.iter_mut().find(|(_, report)| {
            report.excess > BAD_EXCESS && inputs.now.since(report.at) < REPORT_AGE
        });
        let Some((service, report)) = bad else {
            return;
        };
        let why = DecisionReason::Reported {
            service: service.clone(),
            added: thousandths(report.excess),
        };
        report.excess = 0.0;
        if let Some(task) = tasks.iter().max_by_key(|t| t.pressure) {
            self.evict(inputs, task, why, decisions);
        }
    }
}
