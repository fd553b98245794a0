//! Keeps the work of a placement pass small: executors are compared once per step, steps that need
//! no less than one that found no room are skipped, steps that found no room are compared with the
//! executors that have new room, and passes are spaced by the work they take.

use std::collections::BinaryHeap;

use guavacart_types::{Resources, Span, Timestamp};
use smol_str::SmolStr;

use super::{
    State,
    interference::ImageId,
    jobs::StepState,
    pacing::has_enough_headroom,
    placement::{Requirements, Reservations, Score},
};
use crate::{PoolName, StepKey};

/// Comparisons of an executor with the requirements of a step that passes may make, on average,
/// per millisecond.
const CHECKS_PER_MS: u64 = 200;
/// The same for an owner that is behind. Comparisons would take the time that it lacks for orders and
/// reports: with an owner at half a core and 490 executors, urgent tasks were late for that reason alone.
const CHECKS_PER_MS_BEHIND: u64 = 80;
/// Comparisons with a [`Room`] that cost as much as one with all requirements.
const QUICK_CHECKS_PER_CHECK: usize = 16;

/// Longest time for which a step without room is compared only with executors that have new room.
/// What else may give it room, such as the end of a penalty, is noticed after this time.
const FULL_SEARCH_INTERVAL: Span = Span::millis(100);

/// The executors that a step is compared with.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Search {
    /// All of them.
    All,
    /// Those with room that the step has not been compared with.
    NewRoom,
}

/// Executors that can run a task of one step, best first.
#[derive(Debug)]
pub(super) struct Candidates {
    by_score: BinaryHeap<(Score, usize)>,
}

/// What the passes cost, and what the current pass has found.
#[derive(Debug, Default)]
pub(super) struct PassWork {
    /// Requirements that no executor meets in the current pass. A pass only takes room, so that
    /// they are not met later in the pass either.
    unmet: Vec<Unmet>,
    checks_in_pass: u64,
    /// Other work of the current pass, as a number of comparisons that take as long.
    overhead_in_pass: u64,
    /// What each executor offers, as of the begin of the pass or the last start there.
    rooms: Vec<Room>,
    /// Comparisons of executors with requirements in all passes.
    pub(super) checks: u64,
    /// The next pass starts at this time or later.
    pub(super) next_pass_at: Timestamp,
}

/// What an executor offers, in a form that is compared quickly.
#[derive(Clone, Copy, Debug)]
struct Room {
    /// Free resources; `None` if the executor gets no work.
    free: Option<Resources>,
    /// The service tasks there have more headroom than best-effort tasks must leave them.
    has_headroom: bool,
}

impl Room {
    /// False if the executor certainly does not meet the requirements.
    fn may_meet(&self, requirements: &Requirements<'_>) -> bool {
        let has_headroom = self.has_headroom
            || requirements.allows_low_headroom
            || !requirements.step.is_best_effort;
        has_headroom
            && self
                .free
                .is_some_and(|free| requirements.size.fits_in(&free))
    }
}

/// The part of a step's requirements that decides whether another step needs at least as much.
#[derive(Debug)]
struct Unmet {
    pool: PoolName,
    size: Resources,
    /// Image and processor demand of a best-effort step.
    best_effort: Option<(ImageId, u64)>,
    label: Option<SmolStr>,
    rack: Option<SmolStr>,
    allows_penalized: bool,
    allows_low_headroom: bool,
}

impl Unmet {
    /// The record of unmet requirements; `None` if they depend on more than an executor's room, so
    /// that they say nothing about other steps.
    fn of(requirements: &Requirements<'_>) -> Option<Self> {
        let step = requirements.step;
        let is_general = step.max_per_executor.is_none() && !requirements.has_advice;
        is_general.then(|| Self {
            pool: requirements.pool.clone(),
            size: requirements.size,
            best_effort: best_effort_of(requirements),
            label: step.required_label.clone(),
            rack: requirements.rack.clone(),
            allows_penalized: requirements.allows_penalized,
            allows_low_headroom: requirements.allows_low_headroom,
        })
    }

    /// True if a step with these requirements needs at least as much.
    fn covers(&self, requirements: &Requirements<'_>) -> bool {
        let is_same_kind = match (self.best_effort, best_effort_of(requirements)) {
            (None, None) => true,
            (Some((image, demand)), Some((other_image, other_demand))) => {
                image == other_image && demand <= other_demand
            }
            _ => false,
        };
        is_same_kind
            && self.pool == requirements.pool
            && self.size.fits_in(&requirements.size)
            && (self.label.is_none() || self.label == requirements.step.required_label)
            && (self.rack.is_none() || self.rack == requirements.rack)
            && (self.allows_penalized || !requirements.allows_penalized)
            && (self.allows_low_headroom || !requirements.allows_low_headroom)
    }
}

fn best_effort_of(requirements: &Requirements<'_>) -> Option<(ImageId, u64)> {
    let step = requirements.step;
    step.is_best_effort
        .then_some((requirements.image, step.resources.processors.0))
}

impl PassWork {
    fn begin(&mut self, rooms: Vec<Room>) {
        self.unmet.clear();
        self.checks_in_pass = 0;
        self.overhead_in_pass = 0;
        self.count_overhead(rooms.len() / 2);
        self.rooms = rooms;
    }

    /// Ends a pass, and sets the time of the next one by the work of this one.
    pub(super) fn end(&mut self, now: Timestamp, is_behind: bool) {
        self.checks += self.checks_in_pass;
        let checks_per_ms = if is_behind {
            CHECKS_PER_MS_BEHIND
        } else {
            CHECKS_PER_MS
        };
        let work = self.checks_in_pass + self.overhead_in_pass;
        self.next_pass_at = now + Span(work / checks_per_ms);
    }

    /// Ends the placement of some steps between two passes, and puts the next one off by its work.
    pub(super) fn end_between_passes(&mut self) {
        self.checks += self.checks_in_pass;
        let work = self.checks_in_pass + self.overhead_in_pass;
        self.next_pass_at = self.next_pass_at + Span(work / CHECKS_PER_MS);
    }

    /// Comparisons in the current pass.
    pub(super) fn checks_in_pass(&self) -> u64 {
        self.checks_in_pass
    }

    pub(super) fn count(&mut self, checks: usize) {
        self.checks_in_pass += u64::try_from(checks).unwrap_or(u64::MAX);
    }

    /// Counts other work of the pass, as a number of comparisons that take as long.
    pub(super) fn count_overhead(&mut self, checks: usize) {
        self.overhead_in_pass += u64::try_from(checks).unwrap_or(u64::MAX);
    }

    /// True if a step that needs no more has found no executor in this pass.
    pub(super) fn is_unmet(&self, requirements: &Requirements<'_>) -> bool {
        self.unmet.iter().any(|unmet| unmet.covers(requirements))
    }

    /// Records that no executor meets the requirements in this pass.
    pub(super) fn record_unmet(&mut self, requirements: &Requirements<'_>) {
        self.unmet.extend(Unmet::of(requirements));
    }
}

impl Candidates {
    pub(super) fn is_empty(&self) -> bool {
        self.by_score.is_empty()
    }

    /// The best executor, or the best apart from `avoid` if there is another.
    pub(super) fn best(&mut self, avoid: Option<usize>) -> Option<usize> {
        let (_, best) = *self.by_score.peek()?;
        if Some(best) != avoid {
            return Some(best);
        }
        let avoided = self.by_score.pop()?;
        let other = self.by_score.peek().map(|(_, x)| *x);
        self.by_score.push(avoided);
        Some(other.unwrap_or(best))
    }
}

impl State {
    /// The executors to compare a step with in this pass.
    pub(super) fn search_for(&self, state: &StepState) -> Search {
        let is_due = |at: Timestamp| self.now.since(at) >= FULL_SEARCH_INTERVAL;
        if state.searched_at.is_none_or(is_due) {
            Search::All
        } else {
            Search::NewRoom
        }
    }

    /// Records that no executor has room for the waiting tasks of a step.
    pub(super) fn record_full_search(&mut self, key: StepKey) {
        let now = self.now;
        let entry = self.jobs.get_mut(&key.job);
        if let Some(state) = entry.and_then(|entry| entry.state_mut(key)) {
            state.searched_at = Some(now);
        }
    }

    /// Begins a pass, with what the executors offer now.
    pub(super) fn begin_pass(&mut self) {
        let rooms = (0..self.executors.len()).map(|x| self.room_on(x));
        let rooms = rooms.collect();
        self.pass_work.begin(rooms);
        self.racks.begin_pass();
    }

    fn room_on(&self, x: usize) -> Room {
        let executor = &self.executors[x];
        let headroom = executor.present_headroom(&self.interference);
        Room {
            free: self.accepts_work(x).then(|| executor.free()),
            has_headroom: executor.no_best_effort_until <= self.now
                && has_enough_headroom(headroom),
        }
    }

    /// The executors of the required rack, or all.
    pub(super) fn compared_executors(&self, requirements: &Requirements<'_>) -> Vec<usize> {
        let rack = requirements.rack.as_ref();
        let members = rack.and_then(|rack| self.racks.members(rack));
        members.map_or_else(|| (0..self.executors.len()).collect(), <[usize]>::to_vec)
    }

    /// Compares executors with the requirements of a step.
    pub(super) fn candidates(
        &mut self,
        requirements: &Requirements<'_>,
        search: Search,
    ) -> Candidates {
        let is_searched = |x: &usize| search == Search::All || self.executors[*x].has_new_room;
        let mut searched = self.compared_executors(requirements);
        searched.retain(is_searched);
        let rooms = &self.pass_work.rooms;
        let may_meet = |x: &usize| rooms.get(*x).is_none_or(|room| room.may_meet(requirements));
        let compared: Vec<usize> = searched.iter().copied().filter(may_meet).collect();
        self.pass_work.count(compared.len());
        self.pass_work
            .count_overhead(searched.len() / QUICK_CHECKS_PER_CHECK);
        let nothing_reserved = Reservations::new();
        let fitting = compared.into_iter();
        let fitting = fitting.filter(|x| self.fits(*x, requirements, &nothing_reserved));
        let scored = fitting.map(|x| (self.score(x, requirements.step, requirements.image), x));
        Candidates {
            by_score: scored.collect(),
        }
    }

    /// Compares executor `x` again after a task was placed there; no other executor has changed.
    pub(super) fn update_candidate(
        &mut self,
        candidates: &mut Candidates,
        x: usize,
        requirements: &Requirements<'_>,
    ) {
        self.pass_work.count(1);
        let room = self.room_on(x);
        if let Some(known) = self.pass_work.rooms.get_mut(x) {
            *known = room;
        }
        let fits = self.fits(x, requirements, &Reservations::new());
        let score = self.score(x, requirements.step, requirements.image);
        let is_best = candidates
            .by_score
            .peek()
            .is_some_and(|(_, best)| *best == x);
        if is_best {
            candidates.by_score.pop();
        } else {
            candidates.by_score.retain(|(_, other)| *other != x);
        }
        if fits {
            candidates.by_score.push((score, x));
        }
    }
}
