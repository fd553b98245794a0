//! The heartbeat that entry instances send each other.

use guavacart_types::{
    ConfigNumber, DataCentre, Incarnation, ServiceName, TeamName, Timestamp, ViewNumber,
};
use serde::{Deserialize, Serialize};

use super::{
    delegation::Delegation,
    view::{Member, View},
};

/// A heartbeat from one entry instance to one other.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Heartbeat {
    /// The sender's id and incarnation.
    pub from: Member,
    /// The sender's data centre.
    pub data_centre: DataCentre,
    /// The sender's clock at sending; increases with each heartbeat to the same peer.
    pub sent_at: Timestamp,
    /// The last heartbeat that the sender received from the receiver.
    pub echo: Option<Echo>,
    /// The newest view that the sender knows. The sender confirms no earlier view.
    pub view_number: ViewNumber,
    /// The content of that view, if the receiver last reported an earlier view.
    pub view: Option<Box<View>>,
    /// True if this heartbeat confirms the view; false after a pause of the sender until its own view
    /// has been confirmed again.
    pub confirming: bool,
    /// True once the sender has started to leave.
    pub leaving: bool,
    /// The sender's delegation, in every heartbeat once it has been made.
    pub delegation: Option<Delegation>,
    /// The members that the sender presumes alive, in order of id.
    pub reachable: Vec<Member>,
    /// The configuration in force at the sender.
    pub config: ConfigNumber,
    /// The sender's load.
    pub load: Load,
}

/// Identifies a received heartbeat in the answer to its sender.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Echo {
    /// The incarnation that sent the heartbeat.
    pub incarnation: Incarnation,
    /// The [`Heartbeat::sent_at`] of the heartbeat.
    pub sent_at: Timestamp,
}

/// The load of an entry instance.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load {
    /// The load of each service.
    pub services: Vec<ServiceLoad>,
}

/// The load of one service at an entry instance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceLoad {
    /// The service's name.
    pub service: ServiceName,
    /// Slots of the service's endpoints that the instance owns.
    pub slots: u32,
    /// Free slots among them.
    pub free: u32,
    /// Requests queued at the instance.
    pub queued: u32,
    /// Queued requests of each team; empty if requests are served in order of arrival.
    pub teams: Vec<(TeamName, u32)>,
}
