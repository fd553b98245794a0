//! The context that every part of the scheduler reads while it handles an event.

use guavacart_config::Configuration;
use guavacart_types::Timestamp;

use crate::{directory::Directory, membership::Membership};

/// The time of an event and the shared parts of the state.
#[derive(Clone, Copy, Debug)]
pub struct Cx<'a> {
    /// The time of the event.
    pub now: Timestamp,
    /// Views, ownership and the ownership lease.
    pub membership: &'a Membership,
    /// The platform's instance list as last read.
    pub directory: &'a Directory,
    /// The configuration in force on this instance.
    pub configuration: &'a Configuration,
    /// True once a graceful stop has been requested.
    pub stopping: bool,
}
