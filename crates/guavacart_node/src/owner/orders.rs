//! Orders to executors, and their answers.

use std::{pin::pin, rc::Rc};

use guavacart_jobs::{
    Event, HoldOrder, MaintenanceOrder, OrderFailure, OrderTarget, RefusalReason, StartOrder,
};
use guavacart_types::{Span, Timestamp};
use tokio::time::{self, Instant};

use super::Owner;
use crate::{Platform, clock};

/// Longest time from the decision to take a machine down until the order is sent. The decision may rely
/// on a renewal 1 s earlier; together they are as long as the lease.
const MAX_MAINTENANCE_DELAY: Span = Span::millis(200);

impl<P: Platform> Owner<P> {
    /// Sends a hold and applies its answer. A hold without an answer in time counts as failed, but
    /// its answer is applied when it comes: the executor has reported the run ends in it.
    pub(super) async fn hold(self: Rc<Self>, target: OrderTarget, order: HoldOrder) {
        let executor = target.id.clone();
        let (sent, started) = (clock::now(), Instant::now());
        let wait = order.wait;
        let answer_time = self.answer_times.timeout() + wait;
        let mut answer = pin!(self.shared.platform.hold(target, order));
        let in_time = time::timeout(answer_time.into(), &mut answer).await;
        let is_late = in_time.is_err();
        let report = in_time.unwrap_or(Err(OrderFailure::NoAnswer));
        if report.is_ok() {
            self.record_answer_time(started.elapsed().into(), wait);
        }
        self.apply(Event::HoldAnswered {
            executor: executor.clone(),
            sent,
            report,
            is_long_poll: wait > Span::ZERO,
        });
        if !is_late {
            return;
        }
        match answer.await {
            Ok(report) => {
                self.record_answer_time(started.elapsed().into(), wait);
                self.apply(Event::LateReport {
                    executor,
                    sent,
                    report,
                });
            }
            Err(OrderFailure::Refused(RefusalReason::Fenced)) => {
                self.step_down("an executor has seen a greater epoch");
            }
            Err(failure) => tracing::debug!(event = "no_late_answer", %executor, ?failure),
        }
    }

    /// Sends the order to start a run, and applies its answer. The order is not sent if the process is
    /// held up between the decision and the first byte for longer than the order allows, or if the
    /// executor's data centre is evacuated meanwhile.
    pub(super) async fn start_run(
        self: Rc<Self>,
        target: OrderTarget,
        order: StartOrder,
        decided: Timestamp,
    ) {
        let (executor, task, run) = (target.id.clone(), order.task, order.run);
        let send_until = order.send_until;
        let may_send = || {
            let now = clock::now();
            let may_send = self.is_active() && now <= send_until && !self.is_evacuated(&executor);
            if may_send {
                let delay = now.since(decided);
                self.shared.counters.start_delay.record(delay.into());
            }
            may_send
        };
        let answer = self.shared.platform.start(target, order, may_send);
        let result = self.answer_in_time(answer).await;
        self.apply(Event::StartAnswered {
            executor,
            task,
            run,
            result,
        });
    }

    /// Sends the order to take a machine down, unless the process is held up between the decision and
    /// the first byte, and applies its answer.
    pub(super) async fn begin_maintenance(
        self: Rc<Self>,
        order: MaintenanceOrder,
        decided: Timestamp,
    ) {
        let (machine, wave) = (order.machine.clone(), order.wave);
        let may_send = || self.is_active() && clock::now().since(decided) <= MAX_MAINTENANCE_DELAY;
        let result = self
            .shared
            .platform
            .begin_maintenance(order, may_send)
            .await;
        self.apply(Event::MaintenanceAnswered {
            machine,
            wave,
            result,
        });
    }

    /// Records the answer time of a hold; one that ended early tells nothing about it. Suspensions of
    /// this machine are no part of it, and do not count.
    fn record_answer_time(&self, taken: Span, wait: Span) {
        if taken > wait {
            self.answer_times.record(taken.saturating_sub(wait));
        }
    }

    /// Waits for the answer to an order that is carried out at once.
    pub(super) async fn answer_in_time<T>(
        &self,
        order: impl Future<Output = Result<T, OrderFailure>>,
    ) -> Result<T, OrderFailure> {
        let started = Instant::now();
        let answer_time = self.answer_times.timeout();
        let in_time = time::timeout(answer_time.into(), order).await;
        if let Ok(Ok(_)) = &in_time {
            self.answer_times.record(started.elapsed().into());
        }
        in_time.unwrap_or(Err(OrderFailure::NoAnswer))
    }
}
