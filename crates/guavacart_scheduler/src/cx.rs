//! What every part of the reducer may read while it handles an event.

use guavacart_config::Configuration;
use guavacart_types::Timestamp;

use crate::{directory::Directory, membership::Membership};

/// The time and the parts of the state that others read.
#[derive(Clone, Copy, Debug)]
pub struct Cx<'a> {
    /// The time of the event.
    pub now: Timestamp,
    /// Views, ownership and the right to act.
    pub membership: &'a Membership,
    /// The instances that the platform lists.
    pub directory: &'a Directory,
    /// The configuration in force here.
    pub configuration: &'a Configuration,
    /// True once a graceful stop was asked for.
    pub stopping: bool,
}
