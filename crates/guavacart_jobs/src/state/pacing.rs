//! Paces fillers so that serving tasks keep their tails, and finds tasks that stand still.

use guavacart_types::Span;

use super::{State, fleet::Phase};
use crate::{Effect, ExecutorId, OrderFailure, Refusal, RunListed, RunNumber, TaskKey};

/// Part of a serving task's target, in percent, above which its fillers are slowed.
const SLOW_DOWN_PERCENT: u64 = 90;
/// The same below which they are sped up again.
const SPEED_UP_PERCENT: u64 = 75;
/// What is left of an executor's worst tail at the next look, in percent.
const FADE_PERCENT: u64 = 90;
/// Time between two changes of pace on an executor; tails are told each half second.
const PACE_INTERVAL: Span = Span::millis(600);
/// Least share above none that fillers work at, in percent.
const LEAST_PACE: u8 = 10;
/// Share that is added when fillers are sped up, in percent.
const PACE_STEP: u8 = 30;
/// Looks in a row without processor use after which a task counts as standing still.
const IDLE_LOOKS: u32 = 3;
/// Time from its start before a task's use is judged.
const USE_SETTLES: Span = Span::millis(1_200);

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
        if run.tail_target.is_some() {
            run.tail_ms = Some(usage);
            return;
        }
        let is_settled = now.since(run.since) > USE_SETTLES;
        let should_work = !run.is_filler && run.stop.is_none() && run.pace > 0;
        if usage > 0 || !is_settled || !should_work {
            run.idle_looks = 0;
            return;
        }
        run.idle_looks += 1;
        let is_lasting = self.is_lasting(listed.task);
        let Some(run) = self.fleet[x].runs.get_mut(&listed.task) else {
            return;
        };
        if run.idle_looks >= IDLE_LOOKS && !is_lasting {
            run.idle_looks = 0;
            self.give_up_idle(x, listed.task);
        }
    }

    /// Sets the fillers' pace on an executor by the worst tail of its serving tasks.
    pub(super) fn set_paces(&mut self, x: usize) {
        let executor = &mut self.fleet[x];
        let tails = executor.runs.values().filter_map(|run| {
            let target = run.tail_target?;
            Some((run.tail_ms? * 100) / target.0.max(1))
        });
        let worst = tails.max().unwrap_or(0);
        let faded = executor.worst_tail_percent * FADE_PERCENT / 100;
        executor.worst_tail_percent = worst.max(faded);
        let paced = executor
            .runs
            .values()
            .any(|run| run.is_filler && run.pace < 100);
        let mixed = executor.serving > 0 && executor.filler_wish > 0;
        if !(mixed || paced) || self.now < executor.paced_at {
            return;
        }
        let now_at = executor
            .runs
            .values()
            .filter(|run| run.is_filler)
            .map(|run| run.pace)
            .min()
            .unwrap_or(100);
        let wanted = match worst {
            over if over > 100 => {
                if now_at <= LEAST_PACE {
                    0
                } else {
                    (now_at / 3).max(LEAST_PACE)
                }
            }
            near if near > SLOW_DOWN_PERCENT => (now_at / 2).max(LEAST_PACE),
            far if far < SPEED_UP_PERCENT => now_at.saturating_add(PACE_STEP).min(100),
            _ => now_at,
        };
        self.pace_fillers(x, wanted);
    }

    fn pace_fillers(&mut self, x: usize, percent: u8) {
        let now = self.now;
        let executor = &mut self.fleet[x];
        let mut has_changed = false;
        for (task, run) in &mut executor.runs {
            let is_running = matches!(run.phase, Phase::Running(_)) && run.stop.is_none();
            if !run.is_filler || !is_running || run.pace == percent {
                continue;
            }
            run.pace = percent;
            has_changed = true;
            self.effects.push(Effect::Pace {
                target: executor.target.clone(),
                task: *task,
                run: run.run,
                percent,
                epoch: self.epoch,
            });
        }
        if has_changed {
            executor.paced_at = now + PACE_INTERVAL;
        }
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
            // Not known to work at that share; the next change is sent whatever it is.
            known.pace = if percent == 100 { 99 } else { percent + 1 };
        }
    }
}
