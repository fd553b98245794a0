//! Keeps room on executors for service tasks that find none, so that smaller tasks do not take each
//! part of it that becomes free.

use std::collections::{BTreeMap, BTreeSet};

use guavacart_types::{Resources, Span, Timestamp};

use super::{
    State, Timer,
    candidates::{Candidates, Search},
    executors::Executor,
    placement::{Requirements, Reservations},
};
use crate::StepKey;

/// Time without progress after which a claim is given up, so that another executor may be chosen.
const MAX_STALL: Span = Span::millis(1_000);
/// Executors on which room is kept at the same time: one of this many.
const EXECUTORS_PER_CLAIM: usize = 32;

/// Room on one executor that only tasks of one service step may take.
#[derive(Debug)]
struct Claim {
    step: StepKey,
    size: Resources,
    /// The least [`shortage`] that was seen, and since when.
    shortage: u64,
    since: Timestamp,
}

/// The claims by executor; an executor has at most one.
#[derive(Debug, Default)]
pub(super) struct Claims {
    by_executor: BTreeMap<usize, Claim>,
}

impl Claims {
    /// Room on executor `x` that is kept from a task with these requirements, of the resources that
    /// the task takes.
    pub(super) fn kept_from(&self, x: usize, requirements: &Requirements<'_>) -> Resources {
        let claim = self.by_executor.get(&x);
        let mut kept = claim
            .filter(|claim| claim.step != requirements.key)
            .map_or_else(Resources::default, |claim| claim.size);
        let size = &requirements.size;
        if size.processors.0 == 0 {
            kept.processors.0 = 0;
        }
        if size.memory.0 == 0 {
            kept.memory.0 = 0;
        }
        if size.accelerators.0 == 0 {
            kept.accelerators.0 = 0;
        }
        kept
    }

    fn count_of(&self, step: StepKey) -> usize {
        let claims = self.by_executor.values();
        claims.filter(|claim| claim.step == step).count()
    }

    /// Gives up the claim of the step on executor `x`, or another of its claims if it has none there.
    fn release(&mut self, x: usize, step: StepKey) {
        let is_of_step = |claim: &Claim| claim.step == step;
        let released = if self.by_executor.get(&x).is_some_and(is_of_step) {
            Some(x)
        } else {
            let mut claims = self.by_executor.iter();
            claims.find(|(_, claim)| is_of_step(claim)).map(|(x, _)| *x)
        };
        if let Some(x) = released {
            self.by_executor.remove(&x);
        }
    }
}

/// The largest part of an executor's resources, in thousandths, that a task of this size lacks there.
fn shortage(executor: &Executor, size: &Resources) -> u64 {
    let (free, all) = (executor.free(), &executor.capacity);
    let part = |size: u64, free: u64, all: u64| size.saturating_sub(free) * 1_000 / all.max(1);
    let mib = |memory: guavacart_types::ByteSize| memory.0 >> 20;
    part(size.processors.0, free.processors.0, all.processors.0)
        .max(part(mib(size.memory), mib(free.memory), mib(all.memory)))
        .max(part(
            u64::from(size.accelerators.0),
            u64::from(free.accelerators.0),
            u64::from(all.accelerators.0),
        ))
}

impl State {
    /// Gives up claims that gain no room or serve no purpose, and places the tasks whose room is free.
    pub(super) fn place_claimed(&mut self) {
        let mut claims = std::mem::take(&mut self.claims);
        claims.by_executor.retain(|x, claim| {
            let shortage = shortage(&self.executors[*x], &claim.size);
            if shortage < claim.shortage {
                claim.shortage = shortage;
                claim.since = self.now;
            }
            let is_open = self
                .jobs
                .get(&claim.step.job)
                .is_some_and(|entry| !entry.is_over());
            is_open && self.now.since(claim.since) < MAX_STALL && self.accepts_work(*x)
        });
        let has_room =
            |(x, claim): &(&usize, &Claim)| claim.size.fits_in(&self.executors[**x].free());
        let with_room = claims.by_executor.iter().filter(has_room);
        let steps: BTreeSet<StepKey> = with_room.map(|(_, claim)| claim.step).collect();
        self.claims = claims;
        for step in steps {
            if self.ready.contains(&step) {
                self.place_step(step);
            }
        }
    }

    /// The executor for the next of `waiting` tasks of a service step. Without a better one, room is
    /// claimed, and the executors with a penalty are candidates, apart from the one on which the
    /// task failed shortly before.
    pub(super) fn best_for_service(
        &mut self,
        candidates: &mut Candidates,
        requirements: &mut Requirements<'_>,
        (avoid, not_before): (Option<usize>, Timestamp),
        waiting: usize,
    ) -> Option<usize> {
        let is_other = |x: &usize| Some(*x) != avoid;
        let best = candidates.best(avoid);
        if best.is_some_and(|x| is_other(&x)) {
            return best;
        }
        let waits_for_room =
            self.claim_room(requirements, avoid, waiting) && self.now.since(not_before) < MAX_STALL;
        if !requirements.allows_penalized {
            requirements.allows_penalized = true;
            *candidates = self.candidates(requirements, Search::All);
        }
        candidates
            .best(avoid)
            .filter(|x| !waits_for_room || is_other(x))
    }

    /// Claims room for the waiting tasks of a step where the least is lacking and where tasks run
    /// that will end. True if the step has a claim.
    fn claim_room(
        &mut self,
        requirements: &Requirements<'_>,
        avoid: Option<usize>,
        waiting: usize,
    ) -> bool {
        let step = requirements.key;
        let has = self.claims.count_of(step);
        let most = (self.executors.len() / EXECUTORS_PER_CLAIM).max(1);
        let missing = waiting
            .saturating_sub(has)
            .min(most.saturating_sub(self.claims.by_executor.len()));
        if missing == 0 {
            return has > 0;
        }
        self.pass_work.count(self.executors.len());
        let apart_from_room = Requirements {
            size: Resources::default(),
            ..requirements.clone()
        };
        let nothing_reserved = Reservations::new();
        let suits = |x: &usize| {
            Some(*x) != avoid
                && !self.claims.by_executor.contains_key(x)
                && self.fits(*x, &apart_from_room, &nothing_reserved)
        };
        let suitable = (0..self.executors.len()).filter(suits);
        let mut suitable: Vec<(u64, usize)> = suitable
            .map(|x| (shortage(&self.executors[x], &requirements.size), x))
            .collect();
        suitable.sort_unstable();
        let chosen = suitable
            .into_iter()
            .filter(|(_, x)| self.will_have_room(*x, &requirements.size))
            .take(missing);
        let chosen: Vec<(u64, usize)> = chosen.collect();
        for (shortage, x) in &chosen {
            let claim = Claim {
                step,
                size: requirements.size,
                shortage: *shortage,
                since: self.now,
            };
            self.claims.by_executor.insert(*x, claim);
            self.set_timer(MAX_STALL, Timer::Place);
        }
        has > 0 || !chosen.is_empty()
    }

    /// True if the executor has room for a task of this size once its tasks have ended that are no
    /// service tasks or are being stopped.
    fn will_have_room(&self, x: usize, size: &Resources) -> bool {
        size.fits_in(&self.room_beside_services(&self.executors[x]))
    }

    /// Gives up a claim of the step after one of its tasks was started on executor `x`. A task on an
    /// executor with a penalty may soon need the claimed room.
    pub(super) fn release_claim(&mut self, x: usize, step: StepKey) {
        if self.executors[x].penalty_until <= self.now {
            self.claims.release(x, step);
        }
    }
}
