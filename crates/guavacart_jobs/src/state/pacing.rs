//! Paces best-effort tasks so that service tasks keep their tail latency targets, and detects
//! stalled tasks.

use guavacart_types::Span;

use super::{
    State, Timer,
    executors::Executor,
    headroom::Estimate,
    interference::{ImageId, Interference, Shares},
    placement::Reservations,
    runs::{Phase, Run},
};
use crate::{
    Decision, Effect, ExecutorId, ListedRun, OrderFailure, RefusalReason, RunNumber, TaskKey,
};

/// Headroom above the target that is reserved for service tasks, for effects that the model does
/// not cover.
const TARGET_MARGIN: f32 = 0.08;
/// Reserved headroom when a best-effort task is placed. It is larger than [`TARGET_MARGIN`], since
/// a placement is harder to undo than a pace.
const PLACING_MARGIN: f32 = 0.1;
/// Standard deviations that are added to the estimated loss of a pair, so that pairs with few
/// observations count more.
const LOSS_STD_DEVS: f32 = 0.3;
/// Time after which an unchanged tail latency counts as a new one. Executors report tail latencies
/// every half second.
const TAIL_PERIOD: Span = Span::millis(450);
/// Minimum spare headroom that is assumed when the costs of best-effort images are compared, so
/// that their order stays defined under overload.
const MIN_BUDGET: f32 = 0.05;
/// Paces are multiples of this value, in percent.
const PACE_STEP: u8 = 10;
/// All best-effort tasks on an executor are paused once a tail latency has exceeded its target for
/// the allowed time ([`super::Bounds::max_time_over_target`]) divided by this value.
const TIME_OVER_TARGET_DIVISOR: u64 = 3;
/// Time for which an executor gets no more best-effort tasks after all of them were paused.
const OVER_TARGET_BACKOFF: Span = Span::millis(2_500);
/// Part of its expected use, in percent, below which a best-effort task does not work at the
/// ordered pace.
const MIN_USE_PERCENT: u64 = 20;
/// Pace up to which a best-effort task counts as slow, in percent.
const SLOW_PACE: u8 = 34;
/// Time at a slow pace after which a best-effort task is moved if another executor has headroom for
/// it.
const MAX_SLOW_TIME: Span = Span::millis(1_000);
/// Most best-effort tasks that are moved off an executor per report.
const MAX_MOVES_PER_REPORT: usize = 2;
/// Load up to which best-effort tasks are moved to an executor, in thousandths of that executor.
const MAX_MOVE_TARGET_LOAD: u64 = 1_500;
/// Use of a best-effort task above what its pace allows that rough reports explain, in percent of
/// what the pace allows.
const TOLERATED_OVERUSE_PERCENT: u64 = 50;
/// The part of its demand that such a task may use besides, in percent.
const TOLERATED_DEMAND_PERCENT: u64 = 10;
/// Reports in a row with too much processor use after which the pace is ordered again.
const MAX_OVERUSE_REPORTS: u32 = 2;
/// Reports in a row without sufficient processor use after which a task counts as idle.
const MAX_IDLE_REPORTS: u32 = 3;
/// Time after its start before the processor use of a task is checked.
const USE_SETTLING_TIME: Span = Span::millis(1_200);

impl Executor {
    /// Share of the executor that a best-effort task with this demand uses at a pace.
    pub(super) fn share(&self, demand: u64, pace: u8) -> f32 {
        let capacity = self.capacity.processors.0.max(1) as f32;
        demand as f32 / capacity * f32::from(pace) / 100.0
    }

    /// Recomputes the shares of the best-effort tasks; called whenever a best-effort task or its
    /// pace changes.
    pub(super) fn update_best_effort_shares(&mut self) {
        let mut shares = Shares::new();
        for run in self.runs.values().filter(|run| run.is_best_effort) {
            let share = self.share(run.processor_demand, run.pace);
            match shares.iter_mut().find(|(image, _)| *image == run.image) {
                Some((_, sum)) => *sum += share,
                None => shares.push((run.image, share)),
            }
        }
        self.best_effort_shares = shares;
    }

    /// Lowest headroom expected for the service tasks with the best-effort tasks that run now.
    pub(super) fn present_headroom(&self, model: &Interference) -> f32 {
        let services = self.service_images.iter();
        let expected = services
            .map(|service| service.forecast - model.loss(service.image, &self.best_effort_shares));
        expected.fold(f32::INFINITY, f32::min)
    }

    /// Lowest headroom expected for the service tasks with one more best-effort task.
    pub(super) fn expected_headroom(
        &self,
        model: &Interference,
        best_effort: ImageId,
        demand: u64,
    ) -> f32 {
        self.expected_headroom_beside(model, best_effort, demand, 0)
    }

    /// The same, beside that many equal tasks that do not run yet.
    pub(super) fn expected_headroom_beside(
        &self,
        model: &Interference,
        best_effort: ImageId,
        demand: u64,
        tasks: u64,
    ) -> f32 {
        let share = self.share(demand, 100);
        let expected = self.service_images.iter().map(|service| {
            let mut loss = model.loss(service.image, &self.best_effort_shares);
            if tasks > 0 {
                loss += model.slope(service.image, best_effort) * self.share(demand * tasks, 100);
            }
            service.forecast
                - loss
                - upper_estimate(model.loss_from(service.image, best_effort, share))
        });
        expected.fold(f32::INFINITY, f32::min)
    }

    /// Headroom that a service task loses to the best-effort tasks on the executor.
    pub(super) fn headroom_loss(&self, model: &Interference, service: ImageId) -> f32 {
        model.loss(service, &self.best_effort_shares)
    }
}

/// The loss to plan with: the mean, plus a margin that grows with the uncertainty of the pair.
fn upper_estimate(loss: Estimate) -> f32 {
    loss.mean + LOSS_STD_DEVS * loss.variance.sqrt()
}

/// True if service tasks with this headroom keep their targets after a placement.
pub(super) fn has_enough_headroom(headroom: f32) -> bool {
    headroom >= 1.0 + PLACING_MARGIN
}

impl State {
    /// Applies the processor use or tail latency of a listed run.
    pub(super) fn apply_usage(&mut self, x: usize, listed: &ListedRun) {
        let now = self.now;
        let Some(run) = self.executors[x].runs.get_mut(&listed.task) else {
            return;
        };
        let Some(usage) = listed.usage else {
            return;
        };
        if let Some(target) = run.tail_target {
            // The tail latency of a run of an earlier owner may have exceeded its target before the
            // first report to this owner, so that half of the time until a pause counts as passed.
            let over_from = if run.tail_ms.is_none() {
                now - Span(self.bounds.max_time_over_target.0 / TIME_OVER_TARGET_DIVISOR / 2)
            } else {
                now
            };
            // Reports within the averaging time of a tail latency repeat the same measurement.
            if run.tail_ms != Some(usage) || now.since(run.tail_at) >= TAIL_PERIOD {
                run.tail_at = now;
                run.is_tail_new = true;
            }
            run.tail_ms = Some(usage);
            let exceeds_target = usage > target.0;
            run.over_since = exceeds_target.then(|| run.over_since.unwrap_or(over_from));
            return;
        }
        // An earlier change of pace without an answer may be carried out after the last one.
        if run.is_best_effort && now.since(run.paced_at) > USE_SETTLING_TIME {
            run.overuse_reports = if uses_more_than_its_pace(run, usage) {
                run.overuse_reports + 1
            } else {
                0
            };
            if run.overuse_reports >= MAX_OVERUSE_REPORTS {
                run.overuse_reports = 0;
                run.pace = unconfirmed_pace(run.pace);
            }
        }
        let is_settled = now.since(run.since) > USE_SETTLING_TIME;
        let should_use = run.processor_demand * u64::from(run.pace) / 100;
        if run.is_best_effort && is_settled && usage * 100 < should_use * MIN_USE_PERCENT {
            run.idle_reports += 1;
            if run.idle_reports >= MAX_IDLE_REPORTS {
                run.idle_reports = 0;
                run.pace = unconfirmed_pace(run.pace);
            }
            return;
        }
        let should_work = !run.is_best_effort && run.stop.is_none() && run.pace > 0;
        if usage > 0 || !is_settled || !should_work {
            run.idle_reports = 0;
            return;
        }
        run.idle_reports += 1;
        let is_idle = run.idle_reports >= MAX_IDLE_REPORTS;
        if is_idle && !self.is_long_running(listed.task) {
            self.stop_idle_task(x, listed.task);
        }
    }

    /// Stops a task that uses no processor although it should, and counts this as a failure of its
    /// executor.
    fn stop_idle_task(&mut self, x: usize, task: TaskKey) {
        self.record_failure(x, "a task used no processor time there");
        if let Some(task) = self.task_mut(task) {
            task.avoid = Some(x);
        }
        self.stop_run(x, task, "it uses no processor time");
    }

    /// Learns from the tail latencies on an executor, sets the paces of its best-effort tasks
    /// accordingly, and moves those that stay slow.
    pub(super) fn set_paces(&mut self, x: usize) {
        self.learn_and_pace(x);
        self.move_slowed_tasks(x);
    }

    /// Stops slow best-effort tasks with checkpoints, which lose nothing by a move, if another
    /// executor has headroom for them.
    fn move_slowed_tasks(&mut self, x: usize) {
        let now = self.now;
        let is_slow = |run: &Run| {
            let since = run
                .slowed_since
                .filter(|_| run.has_checkpoints && run.stop.is_none());
            since.is_some_and(|since| now.since(since) >= MAX_SLOW_TIME)
        };
        let slow = self.executors[x]
            .runs
            .iter()
            .filter(|(_, run)| is_slow(run));
        let slow: Vec<(TaskKey, ImageId, u64)> = slow
            .map(|(task, run)| (*task, run.image, run.processor_demand))
            .take(MAX_MOVES_PER_REPORT)
            .collect();
        for (task, image, demand) in slow {
            let Some(step) = self.spec(task).cloned() else {
                continue;
            };
            let Some(requirements) = self.requirements(task.step, &step, None) else {
                continue;
            };
            let can_run_on = |y: &usize| {
                let executor = &self.executors[*y];
                *y != x
                    && has_enough_headroom(executor.expected_headroom(
                        &self.interference,
                        image,
                        demand,
                    ))
                    && executor.best_effort_load(demand) < MAX_MOVE_TARGET_LOAD
                    && !self.is_avoided(*y)
                    && self.fits(*y, &requirements, &Reservations::new())
            };
            if (0..self.executors.len()).any(|y| can_run_on(&y)) {
                self.stop_run(
                    x,
                    task,
                    "it is slowed here, and another executor has headroom for it",
                );
            }
        }
    }

    fn learn_and_pace(&mut self, x: usize) {
        self.learn(x);
        if self.executors[x].best_effort_shares.is_empty() {
            return;
        }
        let max_time = Span(self.bounds.max_time_over_target.0 / TIME_OVER_TARGET_DIVISOR);
        let is_over_target_too_long = |run: &Run| {
            let since = run.over_since;
            since.is_some_and(|since| self.now.since(since) >= max_time)
        };
        if self.executors[x].runs.values().any(is_over_target_too_long) {
            self.block_best_effort(x, OVER_TARGET_BACKOFF);
            self.pace_images(x, |_| Some(0));
            return;
        }
        let paces = self.plan_paces(x);
        self.pace_images(x, |image| {
            paces.iter().find(|(i, _)| *i == image).map(|(_, p)| *p)
        });
    }

    /// Divides the spare headroom of the service tasks among the images of the best-effort tasks.
    /// Images that cost the least headroom for their work come first.
    fn plan_paces(&self, x: usize) -> Vec<(ImageId, u8)> {
        let now = self.now;
        let executor = &self.executors[x];
        let mut budgets: Vec<(ImageId, f32)> = Vec::new();
        for report in executor.step_reports(false) {
            let headroom = self.headrooms.near_term(now, report.step, report.image);
            let budget = headroom - 1.0 - TARGET_MARGIN;
            match budgets.iter_mut().find(|(image, _)| *image == report.image) {
                Some((_, least)) => *least = least.min(budget),
                None => budgets.push((report.image, budget)),
            }
        }
        let slope = |service: ImageId, best_effort: ImageId| {
            upper_estimate(self.interference.loss_from(service, best_effort, 1.0))
        };
        let mut demands: Vec<(ImageId, f32, f32)> = Vec::new();
        for run in executor.runs.values().filter(|run| run.is_best_effort) {
            let share = executor.share(run.processor_demand, 100);
            match demands.iter_mut().find(|(image, ..)| *image == run.image) {
                Some((_, sum, _)) => *sum += share,
                None => {
                    let cost = |(service, budget): &(ImageId, f32)| {
                        slope(*service, run.image) / budget.max(MIN_BUDGET)
                    };
                    let cost = budgets.iter().map(cost).fold(0.0, f32::max);
                    demands.push((run.image, share, cost));
                }
            }
        }
        demands.sort_by(|a, b| a.2.total_cmp(&b.2));
        let mut paces = Vec::with_capacity(demands.len());
        for (image, share, _) in demands {
            let max_share = |(service, budget): &(ImageId, f32)| {
                budget.max(0.0) / slope(*service, image).max(f32::EPSILON)
            };
            let granted = budgets.iter().map(max_share).fold(share, f32::min);
            let percent = (granted / share.max(f32::EPSILON) * 100.0) as u8;
            let pace = percent / PACE_STEP * PACE_STEP;
            let used = share * f32::from(pace) / 100.0;
            for (service, budget) in &mut budgets {
                *budget -= slope(*service, image) * used;
            }
            paces.push((image, pace.min(100)));
        }
        paces
    }

    /// Blocks new best-effort tasks on the executor for some time.
    fn block_best_effort(&mut self, x: usize, duration: Span) {
        self.executors[x].no_best_effort_until = self.now + duration;
        self.set_timer(duration, Timer::Place);
    }

    /// Orders the paces that `pace_for` returns for the images of running best-effort tasks. `None`
    /// keeps the current pace.
    fn pace_images(&mut self, x: usize, pace_for: impl Fn(ImageId) -> Option<u8>) {
        let now = self.now;
        let executor = &mut self.executors[x];
        executor.update_averaged_shares(now);
        let target = executor.order_target();
        let mut changed = 0;
        let mut least = 100;
        for (task, run) in &mut executor.runs {
            let is_running = matches!(run.phase, Phase::Running(_)) && run.stop.is_none();
            let Some(percent) = pace_for(run.image).filter(|_| run.is_best_effort && is_running)
            else {
                continue;
            };
            if run.pace == percent {
                continue;
            }
            run.pace = percent;
            run.paced_at = now;
            run.overuse_reports = 0;
            let is_slow = percent <= SLOW_PACE;
            run.slowed_since = is_slow.then(|| run.slowed_since.unwrap_or(now));
            changed += 1;
            least = least.min(percent);
            self.effects.push(Effect::Pace {
                target: target.clone(),
                task: *task,
                run: run.run,
                percent,
                epoch: self.epoch,
            });
        }
        if changed == 0 {
            return;
        }
        executor.update_best_effort_shares();
        self.effects.push(Effect::Log(Decision::Paced {
            executor: executor.id.clone(),
            runs: changed,
            percent: least,
            worst_percent: executor.worst_percent(),
        }));
    }

    pub(super) fn on_pace_result(
        &mut self,
        id: &ExecutorId,
        task: TaskKey,
        run: RunNumber,
        percent: u8,
        result: Result<(), OrderFailure>,
    ) {
        let Some(&x) = self.by_id.get(id) else {
            return;
        };
        let Err(failure) = result else {
            return;
        };
        if failure == OrderFailure::Refused(RefusalReason::Fenced) {
            self.effects.push(Effect::StepDown);
            return;
        }
        let known = self.executors[x].runs.get_mut(&task);
        if let Some(known) = known.filter(|known| known.run == run && known.pace == percent) {
            known.pace = unconfirmed_pace(percent);
        }
    }
}

/// True if a best-effort run uses clearly more processor time than its pace allows.
fn uses_more_than_its_pace(run: &Run, usage: u64) -> bool {
    let allowed = run.processor_demand * u64::from(run.pace);
    let tolerated = allowed * TOLERATED_OVERUSE_PERCENT / 100;
    usage * 100 > allowed + tolerated + run.processor_demand * TOLERATED_DEMAND_PERCENT
}

/// A pace next to `percent` for a run that may not work at `percent`. It differs from every planned
/// pace, so that the next order is sent whatever its pace is.
pub(super) fn unconfirmed_pace(percent: u8) -> u8 {
    if percent >= 100 { 99 } else { percent + 1 }
}
