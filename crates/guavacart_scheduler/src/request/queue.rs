//! The queued requests of one service: deficit round robin over the teams in each of two lanes, one
//! for short and one for long requests.

use std::collections::{BTreeMap, VecDeque};

use guavacart_types::{CallId, TeamName, Timestamp};
use smol_str::SmolStr;

/// Service time that a team of weight 1 may use in one round, in milliseconds.
const QUANTUM_MS: u64 = 20;

/// A queued request.
#[derive(Clone, Debug)]
pub(super) struct QueuedRequest {
    pub(super) call: CallId,
    /// Expected service time, in milliseconds.
    pub(super) cost: u64,
    pub(super) bytes: u64,
    /// When the request was queued.
    pub(super) queued_at: Timestamp,
}

/// The queued requests of one team in one lane.
#[derive(Debug, Default)]
struct TeamQueue {
    entries: VecDeque<QueuedRequest>,
    weight: u64,
    /// Service time that the team has left in this round, in milliseconds.
    deficit: u64,
    /// Sum of the expected service times, in milliseconds.
    cost: u64,
}

/// The queued requests of one service that are short, or those that are long.
#[derive(Debug, Default)]
pub(super) struct Lane {
    teams: BTreeMap<SmolStr, TeamQueue>,
    /// Teams with queued requests, in the order of their turns.
    turns: VecDeque<SmolStr>,
    pub(super) entries: u32,
    pub(super) bytes: u64,
    /// Sum of the expected service times, in milliseconds.
    pub(super) cost: u64,
}

impl Lane {
    /// Appends a request to its team's queue.
    pub(super) fn push(&mut self, team: &str, weight: u32, request: QueuedRequest) {
        self.entries += 1;
        self.bytes += request.bytes;
        self.cost += request.cost;
        let queue = self.teams.entry(SmolStr::new(team)).or_default();
        if queue.entries.is_empty() {
            self.turns.push_back(SmolStr::new(team));
        }
        queue.weight = u64::from(weight.max(1));
        queue.cost += request.cost;
        queue.entries.push_back(request);
    }

    /// Removes and returns the request whose turn it is.
    pub(super) fn pop(&mut self) -> Option<QueuedRequest> {
        loop {
            let team = self.turns.front()?.clone();
            let queue = self.teams.get_mut(&team)?;
            let cost = queue.entries.front()?.cost;
            if queue.deficit < cost && self.turns.len() > 1 {
                queue.deficit += queue.weight * QUANTUM_MS;
                self.turns.rotate_left(1);
                continue;
            }
            queue.deficit = queue.deficit.saturating_sub(cost);
            let request = queue.entries.pop_front()?;
            self.record_removal(&team, &request);
            return Some(request);
        }
    }

    /// Removes a request from any position of its team's queue.
    pub(super) fn remove(&mut self, team: &str, call: CallId) -> Option<QueuedRequest> {
        let queue = self.teams.get_mut(team)?;
        let index = queue
            .entries
            .iter()
            .position(|request| request.call == call)?;
        let request = queue.entries.remove(index)?;
        self.record_removal(team, &request);
        Some(request)
    }

    /// Returns the team with the most queued requests, and their number.
    fn largest(&self) -> Option<(&SmolStr, usize)> {
        let sizes = self.teams.iter().map(|(team, q)| (team, q.entries.len()));
        sizes.max_by_key(|(_, len)| *len)
    }

    /// Returns the request of a team that was queued last.
    fn newest(&self, team: &str) -> Option<CallId> {
        let queue = self.teams.get(team)?;
        queue.entries.back().map(|request| request.call)
    }

    /// Returns the number of queued requests of a team.
    fn len(&self, team: &str) -> usize {
        self.teams.get(team).map_or(0, |q| q.entries.len())
    }

    /// Returns when the request that has waited longest was queued.
    pub(super) fn oldest(&self) -> Option<Timestamp> {
        let fronts = self.teams.values().filter_map(|q| q.entries.front());
        fronts.map(|request| request.queued_at).min()
    }

    /// Returns the expected service time, in milliseconds, of the queued requests that are dispatched
    /// before a new request of the team.
    pub(super) fn cost_before(&self, team: &str, weight: u32) -> u64 {
        let own = self.teams.get(team).map_or(0, |q| q.cost);
        let others = self.teams.iter().filter(|(name, _)| *name != team);
        let weight = u64::from(weight.max(1));
        let before = |q: &TeamQueue| q.cost.min((own + QUANTUM_MS) * q.weight / weight);
        own + others.map(|(_, q)| before(q)).sum::<u64>()
    }

    /// Returns all queued requests, in no particular order.
    pub(super) fn calls(&self) -> Vec<CallId> {
        let entries = self.teams.values().flat_map(|q| &q.entries);
        entries.map(|request| request.call).collect()
    }

    fn record_removal(&mut self, team: &str, request: &QueuedRequest) {
        self.entries -= 1;
        self.bytes -= request.bytes;
        self.cost -= request.cost;
        let Some(queue) = self.teams.get_mut(team) else {
            return;
        };
        queue.cost -= request.cost;
        if queue.entries.is_empty() {
            self.teams.remove(team);
            self.turns.retain(|name| name != team);
        }
    }
}

/// The queued requests of one service.
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

    /// Returns the teams with queued requests, and how many requests each has.
    pub(super) fn teams(&self) -> Vec<(TeamName, u32)> {
        let mut teams: BTreeMap<&SmolStr, u32> = BTreeMap::new();
        for (team, queue) in self.short.teams.iter().chain(&self.long.teams) {
            *teams.entry(team).or_default() += queue.entries.len() as u32;
        }
        let named = |(team, n): (&SmolStr, u32)| Some((team.parse().ok()?, n));
        teams.into_iter().filter_map(named).collect()
    }

    /// Returns the request to drop from a full queue in favour of one of `team`: the newest of the
    /// team with the most requests, if that team has more than `team` would have.
    pub(super) fn drop_candidate_for(&self, team: &str) -> Option<CallId> {
        let own = self.short.len(team) + self.long.len(team);
        let lanes = [&self.short, &self.long];
        let largest = lanes
            .iter()
            .filter_map(|lane| Some((*lane, lane.largest()?)));
        let (lane, (largest, len)) = largest.max_by_key(|(_, (_, len))| *len)?;
        let has_more = largest != team && len > own + 1;
        has_more.then(|| lane.newest(largest)).flatten()
    }

    pub(super) fn calls(&self) -> Vec<CallId> {
        let mut calls = self.short.calls();
        calls.extend(self.long.calls());
        calls
    }
}
