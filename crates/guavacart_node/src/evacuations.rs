//! The operator's requests to evacuate data centres, as the store shows them to this node.

#[cfg(test)]
mod tests;

use std::{
    cell::{Cell, RefCell},
    collections::BTreeSet,
    rc::Rc,
};

use guavacart_jobs::Event;
use guavacart_types::{DataCentre, Revision, Span, Timestamp};
use tokio::time;

use crate::{Content, Item, Platform, Space, clock, shared::Shared, watching};

/// Lists of the requests in the time until an evacuation has to be in force. A watch may miss a change,
/// so that two lists in a row may fail without a start that is too late.
const LISTS_PER_BOUND: u64 = 4;

/// The data centres that are to be evacuated.
#[derive(Debug, Default)]
pub(crate) struct Evacuations {
    data_centres: RefCell<BTreeSet<DataCentre>>,
    /// Revision up to which all changes are known.
    revision: Cell<Revision>,
    /// When the newest list of all requests was sent.
    listed_at: Cell<Timestamp>,
}

impl Evacuations {
    pub(crate) fn data_centres(&self) -> BTreeSet<DataCentre> {
        self.data_centres.borrow().clone()
    }

    /// When the newest list of all requests was sent.
    pub(crate) fn listed_at(&self) -> Timestamp {
        self.listed_at.get()
    }

    /// Applies a list as of a revision; one that is older than what is known changes nothing.
    fn replace(&self, data_centres: BTreeSet<DataCentre>, at: Revision, sent: Timestamp) {
        if at < self.revision.get() {
            return;
        }
        self.revision.set(at);
        self.listed_at.set(self.listed_at.get().max(sent));
        self.data_centres.replace(data_centres);
    }

    /// Applies the changes of one answer to a watch; older ones than what was known before it change
    /// nothing. The keys of one transaction have the same revision.
    fn change<'a>(&self, changes: impl Iterator<Item = (Revision, &'a DataCentre, bool)>) {
        let known = self.revision.get();
        let mut data_centres = self.data_centres.borrow_mut();
        for (revision, data_centre, is_requested) in changes.filter(|(at, ..)| *at > known) {
            self.revision.set(self.revision.get().max(revision));
            if is_requested {
                data_centres.insert(data_centre.clone());
            } else {
                data_centres.remove(data_centre);
            }
        }
    }
}

/// Applies a list of the operator's keys or of the requests alone.
pub(crate) fn apply_list<P: Platform>(
    shared: &Shared<P>,
    items: &[Item],
    at: Revision,
    sent: Timestamp,
) {
    let requested = items.iter().filter_map(|item| match &item.content {
        Content::Evacuation(data_centre, true) => Some(data_centre.clone()),
        _ => None,
    });
    shared.evacuations.replace(requested.collect(), at, sent);
    notify_owner(shared);
}

/// Applies the changes that a watch of the operator's keys reports.
pub(crate) fn apply_changes<P: Platform>(shared: &Shared<P>, items: &[Item]) {
    let changes = items.iter().filter_map(|item| match &item.content {
        Content::Evacuation(data_centre, is_requested) => {
            Some((item.revision, data_centre, *is_requested))
        }
        _ => None,
    });
    let changes: Vec<_> = changes.collect();
    if changes.is_empty() {
        return;
    }
    for (revision, data_centre, is_requested) in &changes {
        tracing::info!(event = "evacuation_read", %data_centre, is_requested, %revision);
    }
    shared.evacuations.change(changes.into_iter());
    notify_owner(shared);
}

/// Passes the requests to this node's reducer, if it is the owner.
fn notify_owner<P: Platform>(shared: &Shared<P>) {
    if let Some(owner) = shared.owner() {
        owner.apply(Event::EvacuationsRead {
            as_of: shared.evacuations.listed_at(),
            data_centres: shared.evacuations.data_centres(),
        });
    }
}

/// Lists the requests often enough for the bound of the deployment, until `keep_listing` returns
/// false; does nothing in a deployment without that bound.
pub(crate) async fn keep_listed<P: Platform>(
    shared: &Rc<Shared<P>>,
    keep_listing: impl Fn() -> bool,
) {
    let Some(bound) = shared.settings.bounds.evacuation else {
        return;
    };
    let interval = Span(bound.0 / LISTS_PER_BOUND);
    while keep_listing() {
        let sent = clock::now();
        let listed = shared.platform.list(Space::Evacuations).await;
        shared.counters.store_reads.add(1);
        shared.health.record(&listed);
        match listed {
            Ok((items, at)) => {
                apply_list(shared, &items, at, sent);
                time::sleep(interval.into()).await;
            }
            Err(err) => {
                shared.counters.store_follows_failed.add(1);
                let age_ms = clock::now().since(shared.evacuations.listed_at()).0;
                tracing::debug!(event = "evacuations_not_listed", age_ms, cause = %err);
                watching::pause_after_failure().await;
            }
        }
    }
}
