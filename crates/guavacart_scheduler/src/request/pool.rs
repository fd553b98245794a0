//! The endpoints that this instance owns or still runs requests on, grouped by service.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

use guavacart_types::{ConfigNumber, EndpointId, ServiceName, Timestamp, ViewNumber};

use super::endpoint::Endpoint;
use crate::{Cx, directory::ListedEndpoint, membership::Ownership};

/// Maximum share of a service's endpoints that are on probation at the same time, in percent.
const PROBATION_PERCENT: usize = 20;

/// Free slots, last use and id of an endpoint. The greatest key is used next: most free slots, then
/// least recently used.
type Key = (u32, Reverse<u64>, EndpointId);

/// The endpoints of one service.
#[derive(Debug, Default)]
pub(super) struct Group {
    short: BTreeSet<Key>,
    long: BTreeSet<Key>,
    probation: BTreeSet<EndpointId>,
    owned: BTreeSet<EndpointId>,
    /// Slots of the owned endpoints that are not on probation.
    pub(super) slots: u32,
    /// Free slots among them.
    pub(super) free: u32,
}

/// The inputs that ownership was last computed from: view number, generation of the membership,
/// generation of the instance list, configuration number.
type Version = (ViewNumber, u64, u64, ConfigNumber);

/// The endpoints that this instance owns or still runs requests on.
#[derive(Debug, Default)]
pub(super) struct Pool {
    endpoints: BTreeMap<EndpointId, Endpoint>,
    groups: BTreeMap<ServiceName, Group>,
    version: Option<Version>,
    has_pending: bool,
    last_use: u64,
}

impl Pool {
    /// Computes ownership again if its inputs have changed, and on a tick also while an earlier
    /// owner may still act.
    pub(super) fn refresh(&mut self, cx: &Cx<'_>, is_tick: bool) {
        let view = cx.membership.view().number;
        let membership = cx.membership.generation();
        let listed = cx.directory.generation;
        let version = (view, membership, listed, cx.configuration.number);
        let changed = self.version != Some(version);
        let recheck_pending = is_tick && self.has_pending;
        if !(changed || recheck_pending) {
            return;
        }
        let before = self.version.replace(version).map(|(view, ..)| view);
        let view_skipped = before.is_some_and(|before| view > before.next());
        self.has_pending = false;
        for (id, listed) in &cx.directory.endpoints {
            self.update_ownership(cx, id, listed, view_skipped);
        }
        self.forget_unlisted(cx);
    }

    /// Returns the endpoint to dispatch a request to, or `None` if no slot is free.
    ///
    /// Idempotent requests serve as trials of endpoints on probation. Endpoints that the request was
    /// dispatched to before are used only if no other has a free slot.
    pub(super) fn pick(
        &self,
        service: &ServiceName,
        long: bool,
        idempotent: bool,
        tried: &[EndpointId],
        now: Timestamp,
    ) -> Option<EndpointId> {
        let group = self.groups.get(service)?;
        if idempotent && let Some(trial) = self.trial_endpoint(group, long, now) {
            return Some(trial);
        }
        let lane = group.lane(long);
        let is_untried = |key: &&Key| key.0 > 0 && !tried.contains(&key.2);
        let untried = lane.iter().rev().take(tried.len() + 1).find(is_untried);
        let any = || lane.last().filter(|key| key.0 > 0);
        untried.or_else(any).map(|key| key.2.clone())
    }

    /// Returns the owned endpoints in order of id.
    pub(super) fn owned(&self) -> impl Iterator<Item = (&EndpointId, &Endpoint)> {
        self.endpoints.iter().filter(|(_, endpoint)| endpoint.owned)
    }

    pub(super) fn group(&self, service: &ServiceName) -> Option<&Group> {
        self.groups.get(service)
    }

    pub(super) fn groups(&self) -> impl Iterator<Item = (&ServiceName, &Group)> {
        self.groups.iter()
    }

    /// Changes an endpoint and updates the indexes and totals of its service.
    pub(super) fn update<T>(
        &mut self,
        id: &EndpointId,
        change: impl FnOnce(&mut Endpoint) -> T,
    ) -> Option<T> {
        let endpoint = self.endpoints.get_mut(id)?;
        let group = self.groups.entry(endpoint.service.clone()).or_default();
        group.remove_endpoint(id, endpoint);
        let result = change(endpoint);
        group.insert_endpoint(id, endpoint);
        Some(result)
    }

    /// Returns the sequence number for the next use of an endpoint.
    pub(super) fn next_use(&mut self) -> u64 {
        self.last_use += 1;
        self.last_use
    }

    /// Returns the owned endpoints with residual slots.
    pub(super) fn with_residual(&self) -> Vec<EndpointId> {
        let has_residual = |e: &Endpoint| e.owned && e.residual > 0;
        let all = self.endpoints.iter();
        all.filter(|(_, e)| has_residual(e))
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Ends probations for which no trial request came in time.
    pub(super) fn expire_probations(&mut self, now: Timestamp) {
        let groups = self.groups.values();
        let all: Vec<EndpointId> = groups.flat_map(|g| &g.probation).cloned().collect();
        for id in all {
            self.update(&id, |e| e.probation.expire(now));
        }
    }

    /// Puts an outlier on probation, unless [`PROBATION_PERCENT`] of its service's endpoints already
    /// are; returns whether it did.
    pub(super) fn put_on_probation(&mut self, id: &EndpointId, now: Timestamp) -> bool {
        let Some(endpoint) = self.endpoints.get(id) else {
            return false;
        };
        let Some(group) = self.groups.get(&endpoint.service) else {
            return false;
        };
        let max = group.owned.len() * PROBATION_PERCENT / 100;
        if !endpoint.probation.is_outlier() || group.probation.len() >= max {
            return false;
        }
        self.update(id, |e| e.probation.begin(now));
        true
    }

    /// Returns an endpoint on probation that is due for a trial request.
    fn trial_endpoint(&self, group: &Group, long: bool, now: Timestamp) -> Option<EndpointId> {
        let is_due = |id: &&EndpointId| {
            let endpoint = self.endpoints.get(*id);
            endpoint.is_some_and(|e| {
                e.probation.is_trial_due(now) && e.running.is_empty() && e.free_slots(long) > 0
            })
        };
        group.probation.iter().find(is_due).cloned()
    }

    /// Computes whether a listed endpoint is owned; `view_skipped` if this instance missed a view in
    /// which another instance may have owned the endpoint.
    fn update_ownership(
        &mut self,
        cx: &Cx<'_>,
        id: &EndpointId,
        listed: &ListedEndpoint,
        view_skipped: bool,
    ) {
        let key = format!("endpoint/{id}");
        let ownership = cx.membership.ownership(&key, Some(&listed.data_centre));
        self.has_pending |= ownership == Ownership::Pending;
        let owned = ownership == Ownership::Owner;
        if !owned && !self.endpoints.contains_key(id) {
            return;
        }
        let new_endpoint = || Endpoint::new(listed.service.clone(), listed.address, cx.now);
        self.endpoints
            .entry(id.clone())
            .or_insert_with(new_endpoint);
        self.update(id, |endpoint| {
            let restarted = endpoint.address != listed.address;
            endpoint.address = listed.address;
            endpoint.leaving = listed.leaving || (endpoint.leaving && !restarted);
            if let Some(service) = cx.configuration.services.get(&listed.service) {
                endpoint.apply_limits(service);
            }
            if owned && (!endpoint.owned || view_skipped || restarted) {
                endpoint.take_ownership(cx.now);
            }
            endpoint.owned = owned;
        });
        self.forget_if_unused(id);
    }

    fn forget_unlisted(&mut self, cx: &Cx<'_>) {
        let listed = &cx.directory.endpoints;
        let is_unlisted = |id: &&EndpointId| !listed.contains_key(*id);
        let unlisted: Vec<EndpointId> =
            self.endpoints.keys().filter(is_unlisted).cloned().collect();
        for id in unlisted {
            self.update(&id, |endpoint| endpoint.owned = false);
            self.forget_if_unused(&id);
        }
    }

    /// Forgets an endpoint that is not owned and runs no request of this instance.
    pub(super) fn forget_if_unused(&mut self, id: &EndpointId) {
        let is_unused = |e: &Endpoint| !e.owned && e.running.is_empty();
        if self.endpoints.get(id).is_some_and(is_unused) {
            self.endpoints.remove(id);
        }
    }
}

impl Group {
    /// True if an endpoint has a free slot for a short or a long request.
    pub(super) fn has_free(&self, long: bool) -> bool {
        !self.lane(long).is_empty()
    }

    fn lane(&self, long: bool) -> &BTreeSet<Key> {
        if long { &self.long } else { &self.short }
    }

    fn remove_endpoint(&mut self, id: &EndpointId, endpoint: &Endpoint) {
        self.short.remove(&key(id, endpoint, false));
        self.long.remove(&key(id, endpoint, true));
        self.probation.remove(id);
        self.owned.remove(id);
        let (slots, free) = ordinary_slots(endpoint);
        self.slots -= slots;
        self.free -= free;
    }

    fn insert_endpoint(&mut self, id: &EndpointId, endpoint: &Endpoint) {
        let (slots, free) = ordinary_slots(endpoint);
        self.slots += slots;
        self.free += free;
        if endpoint.owned {
            self.owned.insert(id.clone());
        }
        if endpoint.probation.is_active() && endpoint.owned {
            self.probation.insert(id.clone());
            return;
        }
        if endpoint.free_slots(false) > 0 {
            self.short.insert(key(id, endpoint, false));
        }
        if endpoint.free_slots(true) > 0 {
            self.long.insert(key(id, endpoint, true));
        }
    }
}

/// Returns the usable and the free slots of an endpoint; none while it is on probation.
fn ordinary_slots(endpoint: &Endpoint) -> (u32, u32) {
    if endpoint.probation.is_active() {
        (0, 0)
    } else {
        (endpoint.usable_slots(), endpoint.free_slots(false))
    }
}

fn key(id: &EndpointId, endpoint: &Endpoint, long: bool) -> Key {
    (
        endpoint.free_slots(long),
        Reverse(endpoint.last_used),
        id.clone(),
    )
}
