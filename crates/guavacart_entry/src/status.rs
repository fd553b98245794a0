//! The status of one instance, as shown to operators.

mod cell;
mod endpoint;

use guavacart_config::Configuration;
use guavacart_scheduler::State;
use guavacart_types::{ConfigNumber, DataCentre, Incarnation, InstanceId, Timestamp, ViewNumber};
use serde::Serialize;
use tracing::warn;

use self::{cell::CellStatus, endpoint::EndpointStatus};
use crate::{
    status_counters::{ChannelStatus, StatusCounters},
    store_health::StoreStatus,
};

/// The status of one instance; written as JSON by its field names.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Status {
    instance: InstanceId,
    incarnation: Incarnation,
    data_centre: DataCentre,
    config: ConfigNumber,
    view: ViewNumber,
    members: Vec<InstanceId>,
    /// Numbers of earlier views whose owners may still act.
    open_views: Vec<ViewNumber>,
    /// Peers whose last heartbeat is within the heartbeat timeout.
    heard: Vec<InstanceId>,
    /// Milliseconds until the ownership lease expires; absent if the instance has none.
    right_ms: Option<u64>,
    leaving: bool,
    endpoints_listed: usize,
    workers_listed: usize,
    services: Vec<ServiceStatus>,
    /// The number of the configuration in force at this instance and at each peer in `heard`.
    configs: Vec<ConfigStatus>,
    /// The endpoints that this instance owns.
    endpoints: Vec<EndpointStatus>,
    /// The cells that this instance owns.
    cells: Vec<CellStatus>,
    store: StoreStatus,
    /// Bytes sent and received on each control channel.
    control: Vec<ChannelStatus>,
    /// Milliseconds since the process started.
    up_ms: u64,
}

#[derive(Clone, Debug, Serialize)]
struct ConfigStatus {
    instance: InstanceId,
    number: ConfigNumber,
}

#[derive(Clone, Debug, Serialize)]
struct ServiceStatus {
    service: String,
    slots: u32,
    free: u32,
    queued: u32,
}

/// The view's members, to whom questions about the deployment can be sent, and the configuration in
/// force at this instance.
#[derive(Debug)]
pub(crate) struct Roster {
    pub(crate) me: InstanceId,
    /// The view's other members, whether or not they can be reached.
    pub(crate) others: Vec<InstanceId>,
    pub(crate) configuration: Configuration,
}

impl Roster {
    pub(crate) fn of(state: &State) -> Self {
        let me = state.membership().me().id.clone();
        let members = state.membership().view().members.iter();
        let others = members.map(|m| m.member.id.clone());
        Self {
            others: others.filter(|id| *id != me).collect(),
            configuration: state.config().current().clone(),
            me,
        }
    }
}

/// Returns the status as JSON.
pub(crate) fn status(state: &State, counters: &StatusCounters, now: Timestamp) -> Vec<u8> {
    to_json(&build_status(state, counters, now))
}

/// Returns the configuration in force as JSON.
pub(crate) fn configuration(state: &State) -> Vec<u8> {
    to_json(state.config().current())
}

fn build_status(state: &State, counters: &StatusCounters, now: Timestamp) -> Status {
    let membership = state.membership();
    let view = membership.view();
    let load = state.requests().load();
    let services = load.services.into_iter();
    Status {
        instance: membership.me().id.clone(),
        incarnation: membership.me().incarnation,
        data_centre: membership.data_centre().clone(),
        config: state.config().current().number,
        view: view.number,
        members: view.members.iter().map(|m| m.member.id.clone()).collect(),
        open_views: view.open.iter().map(|e| e.number).collect(),
        heard: membership
            .reachable_members(now)
            .into_iter()
            .cloned()
            .collect(),
        right_ms: membership.lease_expires_at(now).map(|at| at.since(now).0),
        leaving: membership.is_leaving(),
        endpoints_listed: state.directory().endpoints.len(),
        workers_listed: state.directory().workers.len(),
        services: services
            .map(|s| ServiceStatus {
                service: s.service.to_string(),
                slots: s.slots,
                free: s.free,
                queued: s.queued,
            })
            .collect(),
        configs: configs(state, now),
        endpoints: state.requests().endpoints().map(Into::into).collect(),
        cells: state
            .batch()
            .summaries()
            .map(|c| CellStatus::of(c, now))
            .collect(),
        store: counters.store_status(now),
        control: counters.channels(),
        up_ms: now.0,
    }
}

fn configs(state: &State, now: Timestamp) -> Vec<ConfigStatus> {
    let here = ConfigStatus {
        instance: state.membership().me().id.clone(),
        number: state.config().current().number,
    };
    let peers = state.membership().peer_configs(now).into_iter();
    let peers = peers.map(|(instance, number)| ConfigStatus { instance, number });
    std::iter::once(here).chain(peers).collect()
}

fn to_json<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).unwrap_or_else(|err| {
        warn!(event = "status_unencoded", error = %err, "the status or configuration cannot be encoded as JSON");
        Vec::new()
    })
}
