//! Holds to executors, and their answers.

use std::{pin::pin, rc::Rc};

use guavacart_jobs::{Event, ExecutorAddress, HoldOrder, OrderFailure};
use guavacart_types::Span;
use tokio::time;

use super::Owner;
use crate::{Platform, clock, ports::ANSWER_TIMEOUT};

impl<P: Platform> Owner<P> {
    /// Sends a hold and applies its answer. A hold without an answer in time counts as failed, but
    /// its answer is applied when it comes: the executor has reported the run ends in it.
    pub(super) async fn hold(self: Rc<Self>, target: ExecutorAddress, order: HoldOrder) {
        let executor = target.id.clone();
        let sent = clock::now();
        let is_long_poll = order.wait > Span::ZERO;
        let answer_time = ANSWER_TIMEOUT + order.wait;
        let mut answer = pin!(self.shared.platform.hold(target, order));
        let in_time = time::timeout(answer_time.into(), &mut answer).await;
        let is_late = in_time.is_err();
        self.apply(Event::HoldAnswered {
            executor: executor.clone(),
            sent,
            report: in_time.unwrap_or(Err(OrderFailure::NoAnswer)),
            is_long_poll,
        });
        if !is_late {
            return;
        }
        match answer.await {
            Ok(report) => self.apply(Event::LateReport {
                executor,
                sent,
                report,
            }),
            Err(failure) => tracing::debug!(event = "no_late_answer", %executor, ?failure),
        }
    }
}
