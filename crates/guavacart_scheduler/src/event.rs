//! All that can happen to an entry instance and all that it can do.

use serde::{Deserialize, Serialize};

use crate::{
    batch::{BatchEffect, BatchEvent},
    config::{ConfigEffect, ConfigEvent},
    directory::ListedInstance,
    membership::{MembershipEffect, MembershipEvent},
    request::{RequestEffect, RequestEvent},
};

/// Something that happened.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Event {
    /// Time has passed; comes at least every [`crate::membership::TICK`].
    Tick,
    /// The platform's instance list was read.
    Listed(Vec<ListedInstance>),
    /// The platform's instance list was read and is as before.
    ListUnchanged,
    /// An operator or the platform asked this instance to stop gracefully.
    StopRequested,
    /// Views, heartbeats and the right to act.
    Membership(MembershipEvent),
    /// Requests of callers.
    Request(RequestEvent),
    /// Batch jobs, cells and workers.
    Batch(BatchEvent),
    /// The numbered configuration.
    Config(ConfigEvent),
}

/// Something to be done by the runtime.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Effect {
    /// Views, heartbeats and the right to act.
    Membership(MembershipEffect),
    /// Requests of callers.
    Request(RequestEffect),
    /// Batch jobs, cells and workers.
    Batch(BatchEffect),
    /// The numbered configuration.
    Config(ConfigEffect),
    /// All work is done after [`Event::StopRequested`]; the process may exit.
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
