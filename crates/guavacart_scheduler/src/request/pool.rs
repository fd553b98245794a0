//! The endpoints that this instance owns or still runs requests on, by service.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

use guavacart_types::{ConfigNumber, EndpointId, ServiceName, Timestamp, ViewNumber};

use super::endpoint::Endpoint;
use crate::{Cx, directory::ListedEndpoint, membership::Standing};

/// Most endpoints of a service on probation at once, in percent.
const PROBATION_PERCENT: usize = 20;

/// Free slots, last use and id: the last in order is the one to use next.
type Key = (u32, Reverse<u64>, EndpointId);

/// The endpoints of one service.
#[derive(Debug, Default)]
pub(super) struct Group {
    short: BTreeSet<Key>,
    long: BTreeSet<Key>,
    probation: BTreeSet<EndpointId>,
    owned: BTreeSet<EndpointId>,
    /// Slots of the endpoints owned.
    pub(super) slots: u32,
    /// Those of them that are free.
    pub(super) free: u32,
}

/// What ownership was last worked out from.
type Version = (ViewNumber, u64, u64, ConfigNumber);

/// All endpoints at hand.
#[derive(Debug, Default)]
pub(super) struct Pool {
    endpoints: BTreeMap<EndpointId, Endpoint>,
    groups: BTreeMap<ServiceName, Group>,
    version: Option<Version>,
    pending: bool,
    uses: u64,
}

impl Pool {
    /// Works out ownership again if what it rests on has changed.
    pub(super) fn refresh(&mut self, cx: &Cx<'_>, is_tick: bool) {
        let view = cx.membership.view().number;
        let standings = cx.membership.generation();
        let listed = cx.directory.generation;
        let version = (view, standings, listed, cx.configuration.number);
        let changed = self.version != Some(version);
        let looked_for = is_tick && self.pending;
        if !(changed || looked_for) {
            return;
        }
        let before = self.version.replace(version).map(|(view, ..)| view);
        let skipped = before.is_some_and(|before| view > before.next());
        self.pending = false;
        for (id, listed) in &cx.directory.endpoints {
            self.review(cx, id, listed, skipped);
        }
        self.forget_unlisted(cx);
    }

    /// The endpoint that a request should go to now.
    pub(super) fn pick(
        &self,
        service: &ServiceName,
        long: bool,
        idempotent: bool,
        used: &[EndpointId],
        now: Timestamp,
    ) -> Option<EndpointId> {
        let group = self.groups.get(service)?;
        if idempotent && let Some(trial) = self.trial(group, long, now) {
            return Some(trial);
        }
        let free = group.lane(long);
        let fresh = |key: &&Key| key.0 > 0 && !used.contains(&key.2);
        let unused = free.iter().rev().take(used.len() + 1).find(fresh);
        let any = || free.last().filter(|key| key.0 > 0);
        unused.or_else(any).map(|key| key.2.clone())
    }

    /// The endpoints that are owned.
    pub(super) fn owned(&self) -> impl Iterator<Item = (&EndpointId, &Endpoint)> {
        self.endpoints.iter().filter(|(_, endpoint)| endpoint.owned)
    }

    pub(super) fn group(&self, service: &ServiceName) -> Option<&Group> {
        self.groups.get(service)
    }

    pub(super) fn groups(&self) -> impl Iterator<Item = (&ServiceName, &Group)> {
        self.groups.iter()
    }

    /// Changes an endpoint and keeps the order of the free ones right.
    pub(super) fn with<T>(
        &mut self,
        id: &EndpointId,
        change: impl FnOnce(&mut Endpoint) -> T,
    ) -> Option<T> {
        let endpoint = self.endpoints.get_mut(id)?;
        let group = self.groups.entry(endpoint.service.clone()).or_default();
        group.take_out(id, endpoint);
        let result = change(endpoint);
        group.put_in(id, endpoint);
        Some(result)
    }

    /// The number of the next use of an endpoint.
    pub(super) fn next_use(&mut self) -> u64 {
        self.uses += 1;
        self.uses
    }

    /// Endpoints that are owned or whose slots are in doubt.
    pub(super) fn in_doubt(&self) -> Vec<EndpointId> {
        let doubtful = |e: &Endpoint| e.owned && e.residual > 0;
        let all = self.endpoints.iter();
        all.filter(|(_, e)| doubtful(e))
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Ends the probations that have lasted too long without a trial.
    pub(super) fn lapse(&mut self, now: Timestamp) {
        let groups = self.groups.values();
        let all: Vec<EndpointId> = groups.flat_map(|g| &g.probation).cloned().collect();
        for id in all {
            self.with(&id, |e| e.probation.lapse(now));
        }
    }

    /// Puts an outlier on probation unless too many of its service are; true if it was.
    pub(super) fn put_on_probation(&mut self, id: &EndpointId, now: Timestamp) -> bool {
        let Some(endpoint) = self.endpoints.get(id) else {
            return false;
        };
        let Some(group) = self.groups.get(&endpoint.service) else {
            return false;
        };
        let most = group.owned.len() * PROBATION_PERCENT / 100;
        if !endpoint.probation.is_outlier() || group.probation.len() >= most {
            return false;
        }
        self.with(id, |e| e.probation.begin(now));
        true
    }

    fn trial(&self, group: &Group, long: bool, now: Timestamp) -> Option<EndpointId> {
        let is_due = |id: &&EndpointId| {
            let endpoint = self.endpoints.get(*id);
            endpoint.is_some_and(|e| {
                e.probation.is_trial_due(now) && e.running.is_empty() && e.free(long) > 0
            })
        };
        group.probation.iter().find(is_due).cloned()
    }

    /// Works out whether an endpoint is owned; `skipped` if another may have owned it unseen.
    fn review(&mut self, cx: &Cx<'_>, id: &EndpointId, listed: &ListedEndpoint, skipped: bool) {
        let key = format!("endpoint/{id}");
        let standing = cx.membership.standing(&key, Some(&listed.data_centre));
        self.pending |= standing == Standing::Pending;
        let owned = standing == Standing::Owner;
        if !owned && !self.endpoints.contains_key(id) {
            return;
        }
        let fresh = || Endpoint::new(listed.service.clone(), listed.address, cx.now);
        self.endpoints.entry(id.clone()).or_insert_with(fresh);
        self.with(id, |endpoint| {
            let restarted = endpoint.address != listed.address;
            endpoint.address = listed.address;
            endpoint.leaving = listed.leaving || (endpoint.leaving && !restarted);
            if let Some(service) = cx.configuration.services.get(&listed.service) {
                endpoint.limit(service);
            }
            if owned && (!endpoint.owned || skipped || restarted) {
                endpoint.own(cx.now);
            }
            endpoint.owned = owned;
        });
        self.forget_if_unused(id);
    }

    fn forget_unlisted(&mut self, cx: &Cx<'_>) {
        let listed = &cx.directory.endpoints;
        let gone = |id: &&EndpointId| !listed.contains_key(*id);
        let gone: Vec<EndpointId> = self.endpoints.keys().filter(gone).cloned().collect();
        for id in gone {
            self.with(&id, |endpoint| endpoint.owned = false);
            self.forget_if_unused(&id);
        }
    }

    /// Forgets an endpoint that is not owned and runs nothing for this instance.
    pub(super) fn forget_if_unused(&mut self, id: &EndpointId) {
        let unused = |e: &Endpoint| !e.owned && e.running.is_empty();
        if self.endpoints.get(id).is_some_and(unused) {
            self.endpoints.remove(id);
        }
    }
}

impl Group {
    /// True if an endpoint has a slot free for such a request.
    pub(super) fn has_free(&self, long: bool) -> bool {
        !self.lane(long).is_empty()
    }

    fn lane(&self, long: bool) -> &BTreeSet<Key> {
        if long { &self.long } else { &self.short }
    }

    fn take_out(&mut self, id: &EndpointId, endpoint: &Endpoint) {
        self.short.remove(&key(id, endpoint, false));
        self.long.remove(&key(id, endpoint, true));
        self.probation.remove(id);
        self.owned.remove(id);
        let (slots, free) = spare(endpoint);
        self.slots -= slots;
        self.free -= free;
    }

    fn put_in(&mut self, id: &EndpointId, endpoint: &Endpoint) {
        let (slots, free) = spare(endpoint);
        self.slots += slots;
        self.free += free;
        if endpoint.owned {
            self.owned.insert(id.clone());
        }
        if endpoint.probation.is_on() && endpoint.owned {
            self.probation.insert(id.clone());
            return;
        }
        if endpoint.free(false) > 0 {
            self.short.insert(key(id, endpoint, false));
        }
        if endpoint.free(true) > 0 {
            self.long.insert(key(id, endpoint, true));
        }
    }
}

/// Slots in use for ordinary requests, and those of them that are free.
fn spare(endpoint: &Endpoint) -> (u32, u32) {
    if endpoint.probation.is_on() {
        (0, 0)
    } else {
        (endpoint.usable_slots(), endpoint.free(false))
    }
}

fn key(id: &EndpointId, endpoint: &Endpoint, long: bool) -> Key {
    (endpoint.free(long), Reverse(endpoint.last_used), id.clone())
}
