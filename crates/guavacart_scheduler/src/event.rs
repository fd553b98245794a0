//! Events that an entry instance handles and effects that it asks the runtime for.

use serde::{Deserialize, Serialize};

use crate::{
    batch::{BatchEffect, BatchEvent},
    config::{ConfigEffect, ConfigEvent},
    directory::ListedInstance,
    membership::{MembershipEffect, MembershipEvent},
    request::{RequestEffect, RequestEvent},
};

/// An input of [`crate::State::apply`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Event {
    /// Time has passed; the runtime sends a tick at least every
    /// [`crate::membership::MAX_TICK_INTERVAL`].
    Tick,
    /// The platform's instance list was read and may have changed.
    ListRead(Vec<ListedInstance>),
    /// The platform's instance list was read and has not changed.
    ListUnchanged,
    /// An operator or the platform asked this instance to stop gracefully.
    StopRequested,
    /// Views, heartbeats and the ownership lease.
    Membership(MembershipEvent),
    /// Requests from callers.
    Request(RequestEvent),
    /// Batch jobs, cells and workers.
    Batch(BatchEvent),
    /// The numbered configuration.
    Config(ConfigEvent),
}

/// An action that the runtime has to carry out.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Effect {
    /// Views, heartbeats and the ownership lease.
    Membership(MembershipEffect),
    /// Requests from callers.
    Request(RequestEffect),
    /// Batch jobs, cells and workers.
    Batch(BatchEffect),
    /// The numbered configuration.
    Config(ConfigEffect),
    /// The graceful stop after [`Event::StopRequested`] is complete; the process may exit.
    Stopped,
}

macro_rules! into_effect {
    ($($part:ident($effect:ident);)*) => {$(
        impl From<$effect> for Effect {
            fn from(effect: $effect) -> Self {
                Self::$part(effect)
            }
        }
    )*};
}

into_effect! {
    Membership(MembershipEffect);
    Request(RequestEffect);
    Batch(BatchEffect);
    Config(ConfigEffect);
}

impl From<MembershipEvent> for Event {
    fn from(event: MembershipEvent) -> Self {
        Self::Membership(event)
    }
}
