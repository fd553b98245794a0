//! Executors and what runs on them.

use std::collections::BTreeMap;

use guavacart_types::{Incarnation, Resources, Span, Timestamp};
use smol_str::SmolStr;

use super::{
    State, Timer,
    headroom::UNSEEN_OUTLOOK,
    interference::{ImageId, Shares},
};
use crate::{Decision, Effect, ExecutorId, Loss, Registration, RunNumber, Target, TaskKey};

/// Part of an executor's lease that an order asks for; the rest bears a slow answer.
const LEASE_PERCENT: u64 = 75;
/// Slowest rate of an executor's clock, in percent of true time, with a margin of 1.
const SLOWEST_CLOCK_PERCENT: u64 = 97;
/// Difference of two readings of one clock that slow answers explain.
const CLOCK_TOLERANCE: Span = Span::millis(1_000);
/// Failed runs in a row, of different tasks, after which an executor rests.
const STRIKES_TO_REST: u32 = 2;
/// Part of committed processors that is in use on average, in percent; measured on serving tasks.
const COMMITTED_USE_PERCENT: u64 = 60;
/// First rest; doubled with each further strike.
const FIRST_REST: Span = Span::millis(1_500);
/// Longest rest.
const LONGEST_REST: Span = Span::secs(12);

/// One run, or one that may yet begin.
#[derive(Debug)]
pub(super) struct Run {
    pub(super) run: RunNumber,
    /// What it holds of the executor.
    pub(super) size: Resources,
    /// Processors that it would use if they were free; nothing is committed for a filler.
    pub(super) wish: u64,
    pub(super) is_filler: bool,
    pub(super) tail_target: Option<Span>,
    pub(super) phase: Phase,
    /// Deadline that its start carried, on the executor's clock.
    pub(super) deadline_ms: u64,
    pub(super) since: Timestamp,
    pub(super) stop: Option<Stopping>,
    /// 100 if it is fully at work.
    pub(super) percent: u8,
    /// Share that it was last told to work at.
    pub(super) pace: u8,
    pub(super) image: ImageId,
    /// Since when its tail is over its target.
    pub(super) over_since: Option<Timestamp>,
    /// Its newest tail, in milliseconds, if it serves.
    pub(super) tail_ms: Option<u64>,
    /// When that was first told.
    pub(super) tail_at: Timestamp,
    /// It has not been learned from.
    pub(super) is_tail_new: bool,
    /// Since when it works at a low pace.
    pub(super) slowed_since: Option<Timestamp>,
    pub(super) has_checkpoints: bool,
    /// Looks in a row at which it used no processor.
    pub(super) idle_looks: u32,
    pub(super) checkpoint: Option<SmolStr>,
    /// Its job is not known yet, so that its size is not either.
    pub(super) is_foreign: bool,
}

/// An image of serving tasks on an executor.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServingImage {
    pub(super) image: ImageId,
    pub(super) count: usize,
    /// Least headroom that its tasks' own load leaves while a filler runs, as of the last report.
    pub(super) outlook: f32,
}

/// What is known of a run's start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Phase {
    /// The order is on its way.
    Sent,
    /// The order was not answered.
    Doubtful,
    /// The executor has confirmed it, at that time.
    Running(Timestamp),
}

/// A stop that was ordered.
#[derive(Clone, Copy, Debug)]
pub(super) struct Stopping {
    pub(super) sent: Timestamp,
    pub(super) answered: Option<Timestamp>,
}

/// One executor, through all its incarnations.
#[derive(Debug)]
pub(super) struct Executor {
    pub(super) id: ExecutorId,
    pub(super) registration: Option<Registration>,
    /// The store's record of the fleet names it, so that a next owner asks it.
    pub(super) is_recorded: bool,
    pub(super) target: Target,
    pub(super) capacity: Resources,
    pub(super) incarnation: Option<Incarnation>,
    /// Its clock, and when the answer that told it came.
    pub(super) clock: Option<(u64, Timestamp)>,
    /// This incarnation has seen this owner's epoch.
    pub(super) is_fenced: bool,
    /// Latest deadline that it may have been given, on its clock.
    pub(super) lease_end_ms: u64,
    /// Ends taken in.
    pub(super) seen: u64,
    /// Ends that stand in the store.
    pub(super) durable: u64,
    /// Ends acknowledged in an answered hold.
    pub(super) acknowledged: u64,
    /// A hold that waits for ends is on its way, and acknowledges so many.
    pub(super) waiting: Option<u64>,
    /// A hold that does not wait is on its way, and acknowledges so many.
    pub(super) looking: Option<u64>,
    /// Another look is wanted once that one is back.
    pub(super) looks_again: bool,
    /// An answer told a clock that is not that of the known incarnation.
    pub(super) is_suspect: bool,
    /// Holds without an answer in a row.
    pub(super) misses: u32,
    pub(super) heard: Timestamp,
    pub(super) runs: BTreeMap<TaskKey, Run>,
    pub(super) used: Resources,
    /// Parts of it that its fillers use, by image.
    pub(super) filler_shares: Shares,
    /// The same, averaged over the time that a reported tail tells of, and until when.
    pub(super) felt_shares: Shares,
    pub(super) felt_until: Timestamp,
    /// Load, in thousandths, that fillers which few executors bear would bring here.
    pub(super) sought: i64,
    /// Processors that its fillers wish for.
    pub(super) filler_wish: u64,
    /// Images of the serving tasks.
    pub(super) serving_images: Vec<ServingImage>,
    /// Until when it takes no more fillers, for the sake of its serving tasks.
    pub(super) spares_until: Timestamp,
    pub(super) strikes: u32,
    /// Until when it is not asked, since it refused or called itself unhealthy.
    pub(super) rests_until: Timestamp,
    /// Until when it is only the last choice, since runs failed there.
    pub(super) struck_until: Timestamp,
    /// Its machine is about to go down for its upkeep.
    pub(super) is_closing: bool,
}

impl Executor {
    fn new(target: Target, now: Timestamp) -> Self {
        Self {
            id: target.id.clone(),
            target,
            capacity: Resources::default(),
            registration: None,
            is_recorded: false,
            incarnation: None,
            clock: None,
            is_fenced: false,
            lease_end_ms: 0,
            seen: 0,
            durable: 0,
            acknowledged: 0,
            waiting: None,
            looking: None,
            looks_again: false,
            is_suspect: false,
            misses: 0,
            heard: now,
            runs: BTreeMap::new(),
            used: Resources::default(),
            filler_shares: Shares::new(),
            felt_shares: Shares::new(),
            felt_until: now,
            sought: 0,
            filler_wish: 0,
            serving_images: Vec::new(),
            spares_until: Timestamp(0),
            strikes: 0,
            rests_until: Timestamp(0),
            struck_until: Timestamp(0),
            is_closing: false,
        }
    }

    /// True if serving tasks run there.
    pub(super) fn serves(&self) -> bool {
        !self.serving_images.is_empty()
    }

    /// What is not committed.
    pub(super) fn free(&self) -> Resources {
        self.capacity.minus(&self.used).unwrap_or_default()
    }

    /// Processors that neither commitments nor fillers claim; negative where fillers share.
    pub(super) fn leftover(&self) -> i64 {
        let free = i64::try_from(self.free().processors.0).unwrap_or(i64::MAX);
        free - i64::try_from(self.filler_wish).unwrap_or(i64::MAX)
    }

    /// Its clock at `now`, by its last answer.
    pub(super) fn clock_at(&self, now: Timestamp) -> Option<u64> {
        let (reading, heard) = self.clock?;
        Some(reading + now.since(heard).0)
    }

    /// Compares a reading of its clock to the earlier ones: another incarnation has another clock.
    pub(super) fn check_clock(&mut self, now: Timestamp, reading: u64) {
        let Some((earlier, heard)) = self.clock else {
            return;
        };
        let passed = now.since(heard).0;
        let tolerated = passed * (100 - SLOWEST_CLOCK_PERCENT) / 100 + CLOCK_TOLERANCE.0;
        if reading.abs_diff(earlier + passed) > tolerated {
            self.is_suspect = true;
        }
    }

    /// True if what answers is certainly the incarnation that is known, with nothing unread that an
    /// order without an answer may have begun.
    pub(super) fn may_acknowledge(&self) -> bool {
        let is_confirmed = |run: &Run| matches!(run.phase, Phase::Running(_));
        self.misses == 0
            && self.is_fenced
            && !self.is_suspect
            && self.runs.values().all(is_confirmed)
    }

    /// When its lease has certainly run out.
    pub(super) fn lapses_at(&self) -> Option<Timestamp> {
        let (reading, heard) = self.clock?;
        let left = self.lease_end_ms.saturating_sub(reading);
        Some(heard + Span(left * 100 / SLOWEST_CLOCK_PERCENT + 1))
    }

    /// Load with one more filler, in thousandths of the executor.
    pub(super) fn filler_load(&self, wish: u64) -> u64 {
        let capacity = self.capacity.processors.0.max(1);
        let in_use = self.used.processors.0 * COMMITTED_USE_PERCENT / 100;
        (in_use + self.filler_wish + wish) * 1_000 / capacity
    }

    pub(super) fn add(&mut self, now: Timestamp, task: TaskKey, run: Run) {
        self.feel(now);
        self.used = self.used.plus(&run.size);
        let is_filler = run.is_filler;
        if is_filler {
            self.filler_wish += run.wish;
        }
        if run.tail_target.is_some() {
            let mut known = self.serving_images.iter_mut();
            match known.find(|serving| serving.image == run.image) {
                Some(serving) => serving.count += 1,
                None => self.serving_images.push(ServingImage {
                    image: run.image,
                    count: 1,
                    outlook: UNSEEN_OUTLOOK,
                }),
            }
        }
        self.runs.insert(task, run);
        if is_filler {
            self.sum_filler_shares();
        }
    }

    pub(super) fn remove(&mut self, now: Timestamp, task: TaskKey) -> Option<Run> {
        self.feel(now);
        let run = self.runs.remove(&task)?;
        self.used = self.used.minus(&run.size).unwrap_or_default();
        if run.is_filler {
            self.filler_wish -= run.wish;
            self.sum_filler_shares();
        }
        if run.tail_target.is_some() {
            let image = run.image;
            if let Some(serving) = self.serving_images.iter_mut().find(|s| s.image == image) {
                serving.count -= 1;
            }
            self.serving_images.retain(|serving| serving.count > 0);
        }
        Some(run)
    }

    /// Runs of one step.
    pub(super) fn runs_of(&self, step: crate::StepKey) -> usize {
        self.runs.range(step.task(0)..=step.task(u16::MAX)).count()
    }
}

impl State {
    /// The deadline for an order to that executor; its lease is taken to last until then.
    pub(super) fn extend_lease(&mut self, x: usize) -> Option<u64> {
        let lease = Span(self.bounds.max_lease.0 * LEASE_PERCENT / 100);
        let executor = &mut self.fleet[x];
        let deadline = executor.clock_at(self.now)? + lease.0;
        executor.lease_end_ms = executor.lease_end_ms.max(deadline);
        Some(deadline)
    }

    /// An executor that an earlier owner used.
    pub(super) fn remember(&mut self, target: Target) {
        self.by_id.insert(target.id.clone(), self.fleet.len());
        let mut executor = Executor::new(target, self.now);
        executor.is_recorded = true;
        self.fleet.push(executor);
    }

    /// Executors that may run something, for the store's record.
    pub(super) fn recorded_fleet(&self) -> Vec<Target> {
        let may_run = |(x, executor): &(usize, &Executor)| {
            executor.registration.is_some()
                || !executor.runs.is_empty()
                || self.unresolved.contains(x)
        };
        let fleet = self.fleet.iter().enumerate().filter(may_run);
        fleet.map(|(_, executor)| executor.target.clone()).collect()
    }

    pub(super) fn registered(&mut self, id: &ExecutorId, registration: Option<Registration>) {
        let known = self.by_id.get(id).copied();
        let (x, registration) = match (known, registration) {
            (None, None) => return,
            (Some(x), None) => {
                self.fleet[x].registration = None;
                return;
            }
            (Some(x), Some(registration)) => (x, registration),
            (None, Some(registration)) => {
                let x = self.fleet.len();
                let target = Target {
                    id: id.clone(),
                    address: registration.address,
                };
                self.fleet.push(Executor::new(target, self.now));
                self.by_id.insert(id.clone(), x);
                self.replace_others_at(x, &registration);
                (x, registration)
            }
        };
        // Entries are written about once a second, mostly without a change.
        if self.fleet[x].registration.as_ref() == Some(&registration) {
            self.hold_if_wanted(x);
            return;
        }
        let executor = &mut self.fleet[x];
        executor.target.address = registration.address;
        executor.capacity = registration.capacity;
        let must_record = !executor.is_recorded;
        let is_reborn = match (registration.incarnation, executor.incarnation) {
            (Some(told), Some(known)) => told > known,
            _ => false,
        };
        let drains = registration.is_draining;
        executor.registration = Some(registration);
        if is_reborn {
            executor.is_fenced = false;
            executor.misses = 0;
        }
        if must_record {
            self.saving.must_record_fleet = true;
            self.saving.is_due = true;
        }
        if drains {
            self.leave(x);
        }
        self.must_place = true;
        self.hold_if_wanted(x);
    }

    /// An executor with another id at the address of `x` is gone, with everything on it.
    fn replace_others_at(&mut self, x: usize, registration: &Registration) {
        let same = |other: &usize| {
            *other != x && self.fleet[*other].target.address == registration.address
        };
        let gone: Vec<usize> = (0..self.fleet.len()).filter(same).collect();
        for other in gone {
            self.fleet[other].registration = None;
            self.lose_all(other, Loss::Reborn);
            self.resolve(other);
        }
    }

    /// Moves lasting tasks off an executor that drains; the others end or go with it.
    fn leave(&mut self, x: usize) {
        let lasting: Vec<TaskKey> = self.fleet[x]
            .runs
            .keys()
            .filter(|task| self.is_lasting(**task))
            .copied()
            .collect();
        for task in lasting {
            self.stop_run(x, task, "the executor drains");
        }
    }

    pub(super) fn is_usable(&self, x: usize) -> bool {
        self.fleet[x].struck_until <= self.now && self.takes_orders(x)
    }

    /// True if it can be given work, be it as the last choice.
    pub(super) fn takes_orders(&self, x: usize) -> bool {
        let executor = &self.fleet[x];
        let Some(registration) = &executor.registration else {
            return false;
        };
        executor.is_fenced
            && executor.is_recorded
            && !registration.is_draining
            && !executor.is_closing
            && executor.misses == 0
            && executor.rests_until <= self.now
            && executor.clock.is_some()
    }

    /// Nothing of an earlier owner is unknown on that executor any more.
    pub(super) fn resolve(&mut self, x: usize) {
        if self.unresolved.remove(&x) && self.unresolved.is_empty() {
            self.must_place = true;
        }
    }

    /// Takes all its runs as over.
    pub(super) fn lose_all(&mut self, x: usize, why: Loss) {
        let tasks: Vec<TaskKey> = self.fleet[x].runs.keys().copied().collect();
        for task in tasks {
            self.lose(x, task, why);
        }
    }

    /// Takes one run as over without a listed end.
    pub(super) fn lose(&mut self, x: usize, task: TaskKey, why: Loss) {
        let Some(run) = self.fleet[x].remove(self.now, task) else {
            return;
        };
        let executor = self.fleet[x].id.clone();
        self.effects.push(Effect::Log(Decision::Lost {
            task,
            run: run.run,
            executor,
            why,
        }));
        self.wait_again(task, run.run, run.checkpoint);
        self.must_place = true;
    }

    /// Counts a failed run against an executor.
    pub(super) fn strike(&mut self, x: usize, why: &'static str) {
        let executor = &mut self.fleet[x];
        executor.strikes += 1;
        if executor.strikes < STRIKES_TO_REST {
            return;
        }
        let doublings = (executor.strikes - STRIKES_TO_REST).min(4);
        let rest = Span(FIRST_REST.0 << doublings).min(LONGEST_REST);
        executor.struck_until = self.now + rest;
        let decision = Decision::Trusted {
            executor: executor.id.clone(),
            is_trusted: false,
            why,
        };
        self.effects.push(Effect::Log(decision));
        self.set_timer(rest, Timer::Place);
    }

    pub(super) fn clear_strikes(&mut self, x: usize) {
        self.fleet[x].strikes = 0;
    }
}
