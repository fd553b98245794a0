//! What an operator sees of one instance.

mod cell;
mod endpoint;

use guavacart_config::Configuration;
use guavacart_scheduler::State;
use guavacart_types::{ConfigNumber, DataCentre, Incarnation, InstanceId, Timestamp, ViewNumber};
use serde::Serialize;
use tracing::warn;

use self::{cell::CellStatus, endpoint::EndpointStatus};
use crate::{
    meters::{ChannelStatus, Meters},
    store_health::StoreStatus,
};

/// One instance's status.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Status {
    instance: InstanceId,
    incarnation: Incarnation,
    data_centre: DataCentre,
    config: ConfigNumber,
    view: ViewNumber,
    members: Vec<InstanceId>,
    /// Earlier views whose owners may still act.
    open_views: Vec<ViewNumber>,
    /// Peers heard within the silence limit.
    heard: Vec<InstanceId>,
    /// Milliseconds that the right to act still lasts; absent while there is none.
    right_ms: Option<u64>,
    leaving: bool,
    endpoints_listed: usize,
    workers_listed: usize,
    services: Vec<ServiceStatus>,
    /// The configuration in force here and at each heard peer.
    configs: Vec<ConfigStatus>,
    /// The endpoints owned here.
    endpoints: Vec<EndpointStatus>,
    /// The cells owned here.
    cells: Vec<CellStatus>,
    store: StoreStatus,
    /// Bytes that the control channels have carried.
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

/// Who could be asked about the deployment, and the configuration in force here.
#[derive(Debug)]
pub(crate) struct Roster {
    pub(crate) me: InstanceId,
    /// The view's other members, heard or not.
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

/// The status as JSON.
pub(crate) fn status(state: &State, meters: &Meters, now: Timestamp) -> Vec<u8> {
    encode(&describe(state, meters, now))
}

/// The configuration in force as JSON.
pub(crate) fn configuration(state: &State) -> Vec<u8> {
    encode(state.config().current())
}

fn describe(state: &State, meters: &Meters, now: Timestamp) -> Status {
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
        heard: membership.live_members(now).into_iter().cloned().collect(),
        right_ms: membership.right_until(now).map(|at| at.since(now).0),
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
            .standings()
            .map(|c| CellStatus::of(c, now))
            .collect(),
        store: meters.store_status(now),
        control: meters.channels(),
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

fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).unwrap_or_else(|err| {
        warn!(event = "status_unencoded", error = %err, "the status has no JSON form");
        Vec::new()
    })
}
