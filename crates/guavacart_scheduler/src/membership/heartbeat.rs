//! What one entry instance tells another at each heartbeat.

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
    /// The sender.
    pub from: Member,
    /// Where the sender runs.
    pub data_centre: DataCentre,
    /// The sender's clock; grows with each heartbeat to the same peer.
    pub sent_at: Timestamp,
    /// The last heartbeat that the sender had from the receiver.
    pub echo: Option<Echo>,
    /// The newest view that the sender knows; it attests no earlier one.
    pub view_number: ViewNumber,
    /// The content of that view, sent when the receiver seems to be behind.
    pub view: Option<Box<View>>,
    /// False after a pause until the sender has fresh news of the view.
    pub attesting: bool,
    /// True once the sender leaves.
    pub leaving: bool,
    /// What the sender has delegated, from then on in every heartbeat.
    pub delegation: Option<Delegation>,
    /// Whom the sender hears, in order of id.
    pub hears: Vec<Member>,
    /// The configuration in force at the sender.
    pub config: ConfigNumber,
    /// What the sender has to spare.
    pub load: Load,
}

/// A heartbeat received, as told back to its sender.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Echo {
    /// The incarnation that sent it.
    pub incarnation: Incarnation,
    /// Its sender's clock.
    pub sent_at: Timestamp,
}

/// What an entry instance has to spare.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load {
    /// One entry a service.
    pub services: Vec<ServiceLoad>,
}

/// What an entry instance has to spare for one service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceLoad {
    /// The service.
    pub service: ServiceName,
    /// Slots of the endpoints that it owns.
    pub slots: u32,
    /// Those of them that are free.
    pub free: u32,
    /// Requests that wait there.
    pub queued: u32,
    /// Those of them of each team; empty where the order is by arrival.
    pub teams: Vec<(TeamName, u32)>,
}
