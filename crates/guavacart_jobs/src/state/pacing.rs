//! Paces fillers so that serving tasks keep their tails, and finds tasks that stand still.

use guavacart_types::{Span, Timestamp};

use super::{
    State, Timer,
    fleet::{CALM_RATIO, Executor, Phase, Run},
    interference::{ImageId, Interference, Shares},
    placing::Taken,
};
use crate::{Decision, Effect, ExecutorId, OrderFailure, Refusal, RunListed, RunNumber, TaskKey};

/// Tail over its target above which fillers are slowed.
const SLOW_DOWN_RATIO: f32 = 1.05;
/// Tail over its target that fillers may be expected to cause when they are sped up or placed.
const EXPECTED_RATIO: f32 = 0.95;
/// Time between two changes of pace on an executor; tails are told each half second.
const PACE_INTERVAL: Span = Span::millis(600);
/// Least share above none that fillers work at, in percent.
const LEAST_PACE: u8 = 10;
/// Share at which fillers that stood still work again, in percent.
const FIRST_PACE: u8 = 25;
/// Added logarithm of a tail under which an image is not blamed for it.
const LEAST_BLAME: f32 = 0.05;
/// Part of the time that a tail may be over its target after which all fillers beside it stand still.
const HARM_PART: u64 = 3;
/// Time in which an executor takes no more fillers once all of them stand still.
const HARM_REST: Span = Span::millis(2_500);
/// The same once some were slowed.
const SLOWED_REST: Span = Span::millis(300);
/// Part of what a filler should use, in percent, under which its pace is not what it was told.
const LEAST_USE_PERCENT: u64 = 20;
/// What is left of an executor's worst tail at the next look.
const FADE: f32 = 0.9;
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

/// A serving task's image, its tail over its target, and since when it is over.
type Tail = (ImageId, f32, Option<Timestamp>);

impl Executor {
    fn tails(&self) -> Vec<Tail> {
        let tail = |run: &Run| {
            let target = run.tail_target?.0.max(1);
            let ratio = run.tail_ms? as f32 / target as f32;
            (run.percent == 100).then_some((run.image, ratio, run.over_since))
        };
        self.runs.values().filter_map(tail).collect()
    }

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

    /// The pace of the fillers of an image; the slowest counts.
    fn pace_of(&self, image: ImageId) -> u8 {
        let fillers = self
            .runs
            .values()
            .filter(|run| run.is_filler && run.image == image);
        fillers.map(|run| run.pace).min().unwrap_or(100)
    }

    /// Worst tail over its target that is expected beside one more filler.
    pub(super) fn expected_ratio(&self, model: &Interference, filler: ImageId, wish: u64) -> f32 {
        if !self.serves() {
            return 0.0;
        }
        let share = self.share(wish, 100);
        let expected = self.serving_images.iter().map(|serving| {
            let here = model.added(serving.image, &self.filler_shares);
            let more = model.slope(serving.image, filler) * share;
            serving.undisturbed * (here + more).exp()
        });
        expected.fold(0.0, f32::max)
    }

    /// What the fillers here are expected to add to the logarithm of a serving task's tail.
    pub(super) fn disturbance(&self, model: &Interference, serving: ImageId) -> f32 {
        model.added(serving, &self.filler_shares)
    }
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
                    && executor.expected_ratio(&self.interference, image, wish) < CALM_RATIO
                    && executor.filler_load(wish) < MOVING_LOAD
                    && self.fits(*y, &wanted, &Taken::new())
            };
            if (0..self.fleet.len()).any(|y| bears(&y)) {
                self.stop_run(x, task, "it is slowed here, and another executor bears it");
            }
        }
    }

    fn learn_and_pace(&mut self, x: usize) {
        let tails = self.fleet[x].tails();
        let worst = tails.iter().map(|(_, ratio, _)| *ratio).fold(0.0, f32::max);
        if self.now < self.fleet[x].paced_at {
            return;
        }
        let shares = self.fleet[x].filler_shares.clone();
        let model = &self.interference;
        for serving in &mut self.fleet[x].serving_images {
            let same = tails.iter().filter(|(image, _, _)| *image == serving.image);
            let Some(worst) = same.map(|(_, ratio, _)| *ratio).max_by(f32::total_cmp) else {
                continue;
            };
            let undisturbed = worst / model.added(serving.image, &shares).exp();
            serving.undisturbed = undisturbed.max(serving.undisturbed * FADE);
        }
        for (serving, ratio, _) in &tails {
            self.interference.learn(*serving, *ratio, &shares);
        }
        if shares.is_empty() {
            return;
        }
        let harm_near = Span(self.bounds.harm.0 / HARM_PART);
        let is_near = |since: Option<Timestamp>| {
            since.is_some_and(|since| self.now.since(since) >= harm_near)
        };
        if tails.iter().any(|(_, _, since)| is_near(*since)) {
            self.spare(x, HARM_REST);
            self.pace_images(x, |_| Some(0));
        } else if worst > SLOW_DOWN_RATIO {
            self.spare(x, SLOWED_REST);
            self.slow_down(x, &tails, &shares, worst);
        } else {
            self.speed_up(x, &tails, &shares);
        }
    }

    /// Gives an executor no more fillers for a while.
    fn spare(&mut self, x: usize, rest: Span) {
        self.fleet[x].spares_until = self.now + rest;
        self.set_timer(rest, Timer::Place);
    }

    /// Slows the image that is to blame most for the worst tail, or all if none is.
    fn slow_down(&mut self, x: usize, tails: &[Tail], shares: &Shares, worst: f32) {
        let is_worst = |tail: &&Tail| tail.1 >= worst;
        let Some((serving, _, _)) = tails.iter().find(is_worst) else {
            return;
        };
        let blame = |(image, share): &(ImageId, f32)| {
            (*image, self.interference.slope(*serving, *image) * share)
        };
        let blamed = shares.iter().map(blame).max_by(|a, b| a.1.total_cmp(&b.1));
        let culprit = blamed.filter(|(_, blame)| *blame > LEAST_BLAME);
        let executor = &self.fleet[x];
        let slower = |image: ImageId| {
            let pace = executor.pace_of(image);
            if worst > 1.0 && pace <= LEAST_PACE {
                0
            } else {
                (pace / 2).max(LEAST_PACE).min(pace)
            }
        };
        let paces: Vec<(ImageId, u8)> = match culprit {
            Some((image, _)) => vec![(image, slower(image))],
            None => shares
                .iter()
                .map(|(image, _)| (*image, slower(*image)))
                .collect(),
        };
        self.pace_images(x, |image| {
            paces.iter().find(|(i, _)| *i == image).map(|(_, p)| *p)
        });
    }

    /// Speeds up one slowed image if all tails are expected to stay well under their targets.
    fn speed_up(&mut self, x: usize, tails: &[Tail], shares: &Shares) {
        let executor = &self.fleet[x];
        let slowed = shares
            .iter()
            .filter(|(image, _)| executor.pace_of(*image) < 100);
        let mut choices = Vec::new();
        for (image, share) in slowed {
            let pace = executor.pace_of(*image);
            let faster = pace.saturating_mul(2).clamp(FIRST_PACE, 100);
            let wish: u64 = executor
                .runs
                .values()
                .filter(|run| run.is_filler && run.image == *image)
                .map(|run| run.wish)
                .sum();
            let added = (executor.share(wish, faster) - share).max(0.0);
            let expected = tails.iter().map(|(serving, ratio, _)| {
                ratio * (self.interference.slope(*serving, *image) * added).exp()
            });
            choices.push((*image, faster, expected.fold(0.0, f32::max)));
        }
        let best = choices.into_iter().min_by(|a, b| a.2.total_cmp(&b.2));
        if let Some((image, faster, _)) = best.filter(|best| best.2 < EXPECTED_RATIO) {
            self.pace_images(x, |other| (other == image).then_some(faster));
        }
    }

    fn pace_images(&mut self, x: usize, wanted: impl Fn(ImageId) -> Option<u8>) {
        let now = self.now;
        let executor = &mut self.fleet[x];
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
        executor.paced_at = now + PACE_INTERVAL;
        executor.sum_filler_shares();
        let tails = executor.tails();
        let worst = tails.iter().map(|(_, ratio, _)| *ratio).fold(0.0, f32::max);
        self.effects.push(Effect::Log(Decision::Paced {
            executor: executor.id.clone(),
            runs: changed,
            percent: least,
            worst_percent: (worst * 100.0) as u64,
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
