//! Paces fillers so that serving tasks keep their tails, and finds tasks that stand still.

use guavacart_types::Span;

use super::{
    State, Timer,
    fleet::{Executor, Phase, Run},
    headroom::Estimate,
    interference::{ImageId, Interference, Shares},
    placing::Taken,
};
use crate::{Decision, Effect, ExecutorId, OrderFailure, Refusal, RunListed, RunNumber, TaskKey};

/// Headroom over the target that is left to serving tasks, for what the model does not tell.
const MARGIN: f32 = 0.08;
/// The same when a filler is placed, since it is harder to undo.
const PLACING_MARGIN: f32 = 0.1;
/// Standard deviations of a pair's slope that are added to it, so that little known pairs count more.
const CAUTION: f32 = 0.3;
/// Time after which an unchanged tail is a new one; tails are told each half second.
const TAIL_PERIOD: Span = Span::millis(450);
/// Least headroom that is left to share out; keeps the order of fillers defined under overload.
const LEAST_BUDGET: f32 = 0.05;
/// Shares at which fillers work are multiples of this, in percent.
const PACE_STEP: u8 = 10;
/// Part of the time that a tail may be over its target after which all fillers beside it stand still.
const HARM_PART: u64 = 3;
/// Time in which an executor takes no more fillers once all of them stand still.
const HARM_REST: Span = Span::millis(2_500);
/// Part of what a filler should use, in percent, under which its pace is not what it was told.
const LEAST_USE_PERCENT: u64 = 20;
/// Pace up to which a filler counts as slow, in percent.
const SLOW_PACE: u8 = 34;
/// Time at a slow pace after which a filler is moved if another executor bears it.
const SLOW_PATIENCE: Span = Span::millis(1_000);
/// Fillers that are moved off one executor at a look.
const MOVED_AT_ONCE: usize = 2;
/// Load, in thousandths of an executor, up to which fillers are moved to it.
const MOVING_LOAD: u64 = 1_500;
/// Looks in a row without processor use after which a task counts as standing still.
const IDLE_LOOKS: u32 = 3;
/// Time from its start before a task's use is judged.
const USE_SETTLES: Span = Span::millis(1_200);

impl Executor {
    /// Part of this executor that a filler of that size takes at a pace.
    pub(super) fn share(&self, wish: u64, pace: u8) -> f32 {
        let capacity = self.capacity.processors.0.max(1) as f32;
        wish as f32 / capacity * f32::from(pace) / 100.0
    }

    /// Sums up its fillers' shares; called whenever a filler or its pace changes.
    pub(super) fn sum_filler_shares(&mut self) {
        let mut shares = Shares::new();
        for run in self.runs.values().filter(|run| run.is_filler) {
            let share = self.share(run.wish, run.pace);
            match shares.iter_mut().find(|(image, _)| *image == run.image) {
                Some((_, sum)) => *sum += share,
                None => shares.push((run.image, share)),
            }
        }
        self.filler_shares = shares;
    }

    /// Least headroom that is expected for serving tasks beside one more filler.
    pub(super) fn expected_headroom(
        &self,
        model: &Interference,
        filler: ImageId,
        wish: u64,
    ) -> f32 {
        let share = self.share(wish, 100);
        let expected = self.serving_images.iter().map(|serving| {
            let here = model.lost(serving.image, &self.filler_shares);
            serving.outlook - here - cautious(model.lost_to(serving.image, filler, share))
        });
        expected.fold(f32::INFINITY, f32::min)
    }

    /// Headroom that the fillers here take from a serving task.
    pub(super) fn disturbance(&self, model: &Interference, serving: ImageId) -> f32 {
        model.lost(serving, &self.filler_shares)
    }
}

/// The headroom that counts as lost: somewhat more where little is known of the pair.
fn cautious(lost: Estimate) -> f32 {
    lost.mean + CAUTION * lost.variance.sqrt()
}

/// True if serving tasks with that headroom keep their targets.
pub(super) fn is_calm(headroom: f32) -> bool {
    headroom >= 1.0 + PLACING_MARGIN
}

impl State {
    /// Takes in what a listed run uses.
    pub(super) fn take_usage(&mut self, x: usize, listed: &RunListed) {
        let now = self.now;
        let Some(run) = self.fleet[x].runs.get_mut(&listed.task) else {
            return;
        };
        let Some(usage) = listed.usage else {
            return;
        };
        if let Some(target) = run.tail_target {
            // A run of an earlier owner may have been over its target for a while.
            let first_seen = if run.tail_ms.is_none() {
                now - Span(self.bounds.harm.0 / HARM_PART / 2)
            } else {
                now
            };
            // Looks within the time that a tail is averaged over tell the same one again.
            if run.tail_ms != Some(usage) || now.since(run.tail_at) >= TAIL_PERIOD {
                run.tail_at = now;
                run.is_tail_new = true;
            }
            run.tail_ms = Some(usage);
            let is_over = usage > target.0;
            run.over_since = is_over.then(|| run.over_since.unwrap_or(first_seen));
            return;
        }
        let is_settled = now.since(run.since) > USE_SETTLES;
        let should_use = run.wish * u64::from(run.pace) / 100;
        if run.is_filler && is_settled && usage * 100 < should_use * LEAST_USE_PERCENT {
            run.idle_looks += 1;
            if run.idle_looks >= IDLE_LOOKS {
                run.idle_looks = 0;
                run.pace = uncertain(run.pace);
            }
            return;
        }
        let should_work = !run.is_filler && run.stop.is_none() && run.pace > 0;
        if usage > 0 || !is_settled || !should_work {
            run.idle_looks = 0;
            return;
        }
        run.idle_looks += 1;
        let is_still = run.idle_looks >= IDLE_LOOKS;
        if is_still && !self.is_lasting(listed.task) {
            self.give_up_idle(x, listed.task);
        }
    }

    /// Stops a task that uses no processor although it should, and counts it against its executor.
    fn give_up_idle(&mut self, x: usize, task: TaskKey) {
        self.strike(x, "a task stands still there");
        if let Some(task) = self.task_mut(task) {
            task.avoid = Some(x);
        }
        self.stop_run(x, task, "it stands still");
    }

    /// Learns from the tails on an executor, sets its fillers' pace by them, and moves those that
    /// stay slow.
    pub(super) fn set_paces(&mut self, x: usize) {
        self.learn_and_pace(x);
        self.move_slowed(x);
    }

    /// Stops slowed fillers that lose nothing by it, if another executor bears them.
    fn move_slowed(&mut self, x: usize) {
        let now = self.now;
        let is_stuck = |run: &Run| {
            let since = run
                .slowed_since
                .filter(|_| run.has_checkpoints && run.stop.is_none());
            since.is_some_and(|since| now.since(since) >= SLOW_PATIENCE)
        };
        let stuck = self.fleet[x].runs.iter().filter(|(_, run)| is_stuck(run));
        let stuck: Vec<(TaskKey, ImageId, u64)> = stuck
            .map(|(task, run)| (*task, run.image, run.wish))
            .take(MOVED_AT_ONCE)
            .collect();
        for (task, image, wish) in stuck {
            let Some(step) = self.spec(task).cloned() else {
                continue;
            };
            let Some(wanted) = self.wanted(task.step, &step, None) else {
                continue;
            };
            let bears = |y: &usize| {
                let executor = &self.fleet[*y];
                *y != x
                    && is_calm(executor.expected_headroom(&self.interference, image, wish))
                    && executor.filler_load(wish) < MOVING_LOAD
                    && self.fits(*y, &wanted, &Taken::new())
            };
            if (0..self.fleet.len()).any(|y| bears(&y)) {
                self.stop_run(x, task, "it is slowed here, and another executor bears it");
            }
        }
    }

    fn learn_and_pace(&mut self, x: usize) {
        self.learn(x);
        if self.fleet[x].filler_shares.is_empty() {
            return;
        }
        let harm_near = Span(self.bounds.harm.0 / HARM_PART);
        let is_near = |run: &Run| {
            let since = run.over_since;
            since.is_some_and(|since| self.now.since(since) >= harm_near)
        };
        if self.fleet[x].runs.values().any(is_near) {
            self.spare(x, HARM_REST);
            self.pace_images(x, |_| Some(0));
            return;
        }
        let paces = self.plan_paces(x);
        self.pace_images(x, |image| {
            paces.iter().find(|(i, _)| *i == image).map(|(_, p)| *p)
        });
    }

    /// Shares out the headroom that serving tasks can spare among the images of the fillers; those
    /// that disturb least for what they work come first.
    fn plan_paces(&self, x: usize) -> Vec<(ImageId, u8)> {
        let now = self.now;
        let executor = &self.fleet[x];
        let mut budgets: Vec<(ImageId, f32)> = Vec::new();
        for row in executor.reported(false) {
            let soon = self.headrooms.soon(now, row.step, row.image);
            let budget = soon - 1.0 - MARGIN;
            match budgets.iter_mut().find(|(image, _)| *image == row.image) {
                Some((_, least)) => *least = least.min(budget),
                None => budgets.push((row.image, budget)),
            }
        }
        let slope = |serving: ImageId, filler: ImageId| {
            cautious(self.interference.lost_to(serving, filler, 1.0))
        };
        let mut wishes: Vec<(ImageId, f32, f32)> = Vec::new();
        for run in executor.runs.values().filter(|run| run.is_filler) {
            let share = executor.share(run.wish, 100);
            match wishes.iter_mut().find(|(image, ..)| *image == run.image) {
                Some((_, sum, _)) => *sum += share,
                None => {
                    let cost = |(serving, budget): &(ImageId, f32)| {
                        slope(*serving, run.image) / budget.max(LEAST_BUDGET)
                    };
                    let cost = budgets.iter().map(cost).fold(0.0, f32::max);
                    wishes.push((run.image, share, cost));
                }
            }
        }
        wishes.sort_by(|a, b| a.2.total_cmp(&b.2));
        let mut paces = Vec::with_capacity(wishes.len());
        for (image, share, _) in wishes {
            let bears = |(serving, budget): &(ImageId, f32)| {
                budget.max(0.0) / slope(*serving, image).max(f32::EPSILON)
            };
            let most = budgets.iter().map(bears).fold(share, f32::min);
            let percent = (most / share.max(f32::EPSILON) * 100.0) as u8;
            let pace = percent / PACE_STEP * PACE_STEP;
            let taken = share * f32::from(pace) / 100.0;
            for (serving, budget) in &mut budgets {
                *budget -= slope(*serving, image) * taken;
            }
            paces.push((image, pace.min(100)));
        }
        paces
    }

    /// Gives an executor no more fillers for a while.
    fn spare(&mut self, x: usize, rest: Span) {
        self.fleet[x].spares_until = self.now + rest;
        self.set_timer(rest, Timer::Place);
    }

    fn pace_images(&mut self, x: usize, wanted: impl Fn(ImageId) -> Option<u8>) {
        let now = self.now;
        let executor = &mut self.fleet[x];
        executor.feel(now);
        let mut changed = 0;
        let mut least = 100;
        for (task, run) in &mut executor.runs {
            let is_running = matches!(run.phase, Phase::Running(_)) && run.stop.is_none();
            let Some(percent) = wanted(run.image).filter(|_| run.is_filler && is_running) else {
                continue;
            };
            if run.pace == percent {
                continue;
            }
            run.pace = percent;
            let is_slow = percent <= SLOW_PACE;
            run.slowed_since = is_slow.then(|| run.slowed_since.unwrap_or(now));
            changed += 1;
            least = least.min(percent);
            self.effects.push(Effect::Pace {
                target: executor.target.clone(),
                task: *task,
                run: run.run,
                percent,
                epoch: self.epoch,
            });
        }
        if changed == 0 {
            return;
        }
        executor.sum_filler_shares();
        self.effects.push(Effect::Log(Decision::Paced {
            executor: executor.id.clone(),
            runs: changed,
            percent: least,
            worst_percent: executor.worst_percent(),
        }));
    }

    pub(super) fn paced(
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
        if failure == OrderFailure::Refused(Refusal::Fenced) {
            self.effects.push(Effect::StepDown);
            return;
        }
        let known = self.fleet[x].runs.get_mut(&task);
        if let Some(known) = known.filter(|known| known.run == run && known.pace == percent) {
            known.pace = uncertain(percent);
        }
    }
}

/// A share next to `percent`, for a run that may not work at it, so that the next change is sent
/// whatever it is.
pub(super) fn uncertain(percent: u8) -> u8 {
    if percent >= 100 { 99 } else { percent + 1 }
}
