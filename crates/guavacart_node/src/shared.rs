//! State shared by the tasks of one node; all of them run on one thread.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
};

use guavacart_jobs::MaintenanceWave;
use guavacart_types::{Epoch, Span, Timestamp};
use smol_str::SmolStr;
use tokio::sync::Notify;

use crate::{
    NodeSettings, StoreError, clock, configuration::CurrentConfiguration, evacuations::Evacuations,
    metrics::Counters, owner::Owner, ports::Platform,
};

/// Time for which calls fail before this counts as an outage, in which executors may miss writes.
const SHORTEST_OUTAGE: Span = Span::millis(1_000);

/// The owner that this node knows of, which may be the node itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct KnownOwner {
    pub(crate) epoch: Epoch,
    pub(crate) name: SmolStr,
    pub(crate) links: SocketAddr,
}

/// State shared by the tasks of one node.
pub(crate) struct Shared<P> {
    pub(crate) platform: P,
    pub(crate) settings: NodeSettings,
    pub(crate) configuration: CurrentConfiguration,
    pub(crate) waves: RefCell<Vec<MaintenanceWave>>,
    pub(crate) evacuations: Evacuations,
    /// The owner that this node knows of, if any.
    pub(crate) known_owner: RefCell<Option<KnownOwner>>,
    /// This node's term, while it is the owner.
    pub(crate) owner: RefCell<Option<Rc<Owner<P>>>>,
    pub(crate) health: StoreHealth,
    pub(crate) counters: Counters,
    pub(crate) is_stopping: Cell<bool>,
    /// Signalled when the node begins to stop.
    pub(crate) stopping: Notify,
    /// True once the node closes its open connections.
    pub(crate) is_closing_connections: Cell<bool>,
    /// Signalled when the node begins to close its open connections.
    pub(crate) close_connections: Notify,
    /// Number of open connections of submitters.
    pub(crate) connections: Cell<usize>,
}

impl<P: Platform> Shared<P> {
    pub(crate) fn new(platform: P, settings: NodeSettings) -> Self {
        Self {
            platform,
            settings,
            configuration: CurrentConfiguration::default(),
            waves: RefCell::new(Vec::new()),
            evacuations: Evacuations::default(),
            known_owner: RefCell::new(None),
            owner: RefCell::new(None),
            health: StoreHealth::default(),
            counters: Counters::default(),
            is_stopping: Cell::new(false),
            stopping: Notify::new(),
            is_closing_connections: Cell::new(false),
            close_connections: Notify::new(),
            connections: Cell::new(0),
        }
    }

    pub(crate) fn owner(&self) -> Option<Rc<Owner<P>>> {
        self.owner.borrow().clone()
    }
}

/// Whether the store serves this node, judged by the results of the node's calls.
#[derive(Debug, Default)]
pub(crate) struct StoreHealth {
    failing_since: Cell<Option<Timestamp>>,
    /// When the store served this node again after the last outage.
    available_since: Cell<Timestamp>,
    /// Signalled when calls begin to fail.
    began_failing: Notify,
}

impl StoreHealth {
    /// Records the result of a call.
    pub(crate) fn record<T>(&self, result: &Result<T, StoreError>) {
        let is_failing = matches!(
            result,
            Err(StoreError::Refused(_) | StoreError::NotSent | StoreError::NoAnswer)
        );
        let since = self.failing_since.get();
        match (is_failing, since) {
            (true, None) => {
                self.failing_since.set(Some(clock::now()));
                self.began_failing.notify_one();
                tracing::warn!(event = "store_lost", "the store does not serve this node");
            }
            (false, Some(since)) => {
                self.failing_since.set(None);
                let lost = clock::now().since(since);
                if lost >= SHORTEST_OUTAGE {
                    self.available_since.set(clock::now());
                }
                tracing::info!(
                    event = "store_regained",
                    lost_ms = lost.0,
                    "the store serves again"
                );
            }
            _ => {}
        }
    }

    /// When the last outage ended; 0 if the node has seen none.
    pub(crate) fn available_since(&self) -> Timestamp {
        self.available_since.get()
    }

    /// Waits until the store no longer serves this node.
    pub(crate) async fn wait_until_failing(&self) {
        self.began_failing.notified().await;
    }

    /// How long the store has not served this node.
    pub(crate) fn failing_for(&self) -> Span {
        let since = self.failing_since.get();
        since.map_or(Span::ZERO, |since| clock::now().since(since))
    }

    /// False while the store does not serve this node. Writes for submitters are not sent then,
    /// since their outcome would not be known; reads find out when the store serves again.
    pub(crate) fn is_serving(&self) -> bool {
        self.failing_since.get().is_none()
    }
}
