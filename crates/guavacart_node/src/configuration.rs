//! The configuration in force on a node, and how recently the store confirmed it.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use guavacart_jobs::Configuration;
use guavacart_types::{Revision, Span, Timestamp};
use tokio::sync::Notify;

use crate::clock;

/// The configuration in force on this node.
#[derive(Debug, Default)]
pub(crate) struct CurrentConfiguration {
    configuration: RefCell<Option<Rc<Configuration>>>,
    /// Revision of the newest item that was read; the item itself may be unusable.
    revision: Cell<Revision>,
    /// When the last read was sent whose answer held the newest item.
    confirmed_at: Cell<Timestamp>,
    /// True during a read that confirms the configuration.
    pub(crate) is_reading: Cell<bool>,
    /// Signalled when such a read has ended.
    pub(crate) read_ended: Notify,
}

impl CurrentConfiguration {
    /// The configuration; `None` until one has been read.
    pub(crate) fn get(&self) -> Option<Rc<Configuration>> {
        self.configuration.borrow().clone()
    }

    /// The configuration and the revision on which writes that rely on it are conditional.
    pub(crate) fn with_revision(&self) -> Option<(Rc<Configuration>, Revision)> {
        Some((self.get()?, self.revision()))
    }

    /// Revision of the newest item that was read.
    pub(crate) fn revision(&self) -> Revision {
        self.revision.get()
    }

    /// When the last call was sent that showed that no newer configuration existed; 0 for never.
    pub(crate) fn confirmed_at(&self) -> Timestamp {
        self.confirmed_at.get()
    }

    /// Time since the store last confirmed that no newer configuration exists.
    pub(crate) fn age(&self) -> Span {
        clock::now().since(self.confirmed_at.get())
    }

    /// Records that a call sent at `sent` showed no newer item than those that were applied. A
    /// watch that reports no change shows nothing: it may have missed one.
    pub(crate) fn confirm(&self, sent: Timestamp) {
        self.confirmed_at.set(self.confirmed_at.get().max(sent));
    }

    /// Applies an item; `None` stands for one that cannot be used. Returns the configuration if it
    /// is newer than the one in force, which it replaces. The version never decreases.
    pub(crate) fn apply(
        &self,
        revision: Revision,
        configuration: Option<Configuration>,
    ) -> Option<Rc<Configuration>> {
        if revision <= self.revision.get() {
            return None;
        }
        self.revision.set(revision);
        let before = self.get().map(|current| current.version);
        let Some(configuration) = configuration else {
            tracing::error!(
                event = "configuration_unreadable", %revision, in_force = before,
                "the operator's configuration cannot be used; correct it"
            );
            return None;
        };
        if before.is_some_and(|before| configuration.version <= before) {
            tracing::warn!(
                event = "configuration_not_newer", %revision, in_force = before,
                version = configuration.version,
            );
            return None;
        }
        tracing::info!(
            event = "configured",
            version = configuration.version,
            before,
            %revision,
            age_ms = self.age().0,
            queues = configuration.queues.len(),
        );
        let configuration = Rc::new(configuration);
        *self.configuration.borrow_mut() = Some(Rc::clone(&configuration));
        Some(configuration)
    }
}
