//! The waiting requests of one service: deficit round robin over the teams of each class.

use std::collections::{BTreeMap, VecDeque};

use guavacart_types::{CallId, TeamName, Timestamp};
use smol_str::SmolStr;

/// Milliseconds of service time that a team of weight 1 may take in one round.
const QUANTUM_MS: u64 = 20;

/// A request that waits.
#[derive(Clone, Debug)]
pub(super) struct Waiting {
    pub(super) call: CallId,
    /// Expected service time, in milliseconds.
    pub(super) cost: u64,
    pub(super) bytes: u64,
    pub(super) since: Timestamp,
}

#[derive(Debug, Default)]
struct TeamQueue {
    entries: VecDeque<Waiting>,
    weight: u64,
    deficit: u64,
    cost: u64,
}

/// The waiting requests of one class of one service.
#[derive(Debug, Default)]
pub(super) struct Lane {
    teams: BTreeMap<SmolStr, TeamQueue>,
    round: VecDeque<SmolStr>,
    pub(super) entries: u32,
    pub(super) bytes: u64,
    pub(super) cost: u64,
}

impl Lane {
    /// Puts a request at the end of its team's queue.
    pub(super) fn push(&mut self, team: &str, weight: u32, waiting: Waiting) {
        self.entries += 1;
        self.bytes += waiting.bytes;
        self.cost += waiting.cost;
        let queue = self.teams.entry(SmolStr::new(team)).or_default();
        if queue.entries.is_empty() {
            self.round.push_back(SmolStr::new(team));
        }
        queue.weight = u64::from(weight.max(1));
        queue.cost += waiting.cost;
        queue.entries.push_back(waiting);
    }

    /// Takes the request whose turn it is.
    pub(super) fn pop(&mut self) -> Option<Waiting> {
        loop {
            let team = self.round.front()?.clone();
            let queue = self.teams.get_mut(&team)?;
            let cost = queue.entries.front()?.cost;
            if queue.deficit < cost && self.round.len() > 1 {
                queue.deficit += queue.weight * QUANTUM_MS;
                self.round.rotate_left(1);
                continue;
            }
            queue.deficit = queue.deficit.saturating_sub(cost);
            let waiting = queue.entries.pop_front()?;
            self.took(&team, &waiting);
            return Some(waiting);
        }
    }

    /// Takes a given request out, wherever it waits.
    pub(super) fn remove(&mut self, team: &str, call: CallId) -> Option<Waiting> {
        let queue = self.teams.get_mut(team)?;
        let place = queue.entries.iter().position(|w| w.call == call)?;
        let waiting = queue.entries.remove(place)?;
        self.took(team, &waiting);
        Some(waiting)
    }

    /// The team with most requests waiting, and how many.
    fn largest(&self) -> Option<(&SmolStr, usize)> {
        let sizes = self.teams.iter().map(|(team, q)| (team, q.entries.len()));
        sizes.max_by_key(|(_, len)| *len)
    }

    /// The request of a team that came last.
    fn newest(&self, team: &str) -> Option<CallId> {
        let queue = self.teams.get(team)?;
        queue.entries.back().map(|waiting| waiting.call)
    }

    /// Requests of a team that wait.
    fn len(&self, team: &str) -> usize {
        self.teams.get(team).map_or(0, |q| q.entries.len())
    }

    /// When the request that has waited longest came.
    pub(super) fn oldest(&self) -> Option<Timestamp> {
        let fronts = self.teams.values().filter_map(|q| q.entries.front());
        fronts.map(|w| w.since).min()
    }

    /// Service time, in milliseconds, that goes before a new request of the team.
    pub(super) fn cost_before(&self, team: &str, weight: u32) -> u64 {
        let own = self.teams.get(team).map_or(0, |q| q.cost);
        let others = self.teams.iter().filter(|(name, _)| *name != team);
        let weight = u64::from(weight.max(1));
        let before = |q: &TeamQueue| q.cost.min((own + QUANTUM_MS) * q.weight / weight);
        own + others.map(|(_, q)| before(q)).sum::<u64>()
    }

    /// All requests that wait, in no order.
    pub(super) fn calls(&self) -> Vec<CallId> {
        let entries = self.teams.values().flat_map(|q| &q.entries);
        entries.map(|w| w.call).collect()
    }

    fn took(&mut self, team: &str, waiting: &Waiting) {
        self.entries -= 1;
        self.bytes -= waiting.bytes;
        self.cost -= waiting.cost;
        let Some(queue) = self.teams.get_mut(team) else {
            return;
        };
        queue.cost -= waiting.cost;
        if queue.entries.is_empty() {
            self.teams.remove(team);
            self.round.retain(|name| name != team);
        }
    }
}

/// The waiting requests of one service.
#[derive(Debug, Default)]
pub(super) struct ServiceQueue {
    pub(super) short: Lane,
    pub(super) long: Lane,
}

impl ServiceQueue {
    pub(super) fn lane(&mut self, long: bool) -> &mut Lane {
        if long {
            &mut self.long
        } else {
            &mut self.short
        }
    }

    pub(super) fn entries(&self) -> u32 {
        self.short.entries + self.long.entries
    }

    pub(super) fn bytes(&self) -> u64 {
        self.short.bytes + self.long.bytes
    }

    /// The teams that wait, and how many requests of each.
    pub(super) fn teams(&self) -> Vec<(TeamName, u32)> {
        let mut teams: BTreeMap<&SmolStr, u32> = BTreeMap::new();
        for (team, queue) in self.short.teams.iter().chain(&self.long.teams) {
            *teams.entry(team).or_default() += queue.entries.len() as u32;
        }
        let named = |(team, n): (&SmolStr, u32)| Some((team.parse().ok()?, n));
        teams.into_iter().filter_map(named).collect()
    }

    /// The request that should give way to one of `team`: the last of a team that has more.
    pub(super) fn gives_way_to(&self, team: &str) -> Option<CallId> {
        let own = self.short.len(team) + self.long.len(team);
        let lanes = [&self.short, &self.long];
        let largest = lanes
            .iter()
            .filter_map(|lane| Some((*lane, lane.largest()?)));
        let (lane, (largest, len)) = largest.max_by_key(|(_, (_, len))| *len)?;
        let more = largest != team && len > own + 1;
        more.then(|| lane.newest(largest)).flatten()
    }

    pub(super) fn calls(&self) -> Vec<CallId> {
        let mut calls = self.short.calls();
        calls.extend(self.long.calls());
        calls
    }
}
