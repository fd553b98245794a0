//! What an operator sees of one instance.

use guavacart_config::Configuration;
use guavacart_scheduler::State;
use guavacart_types::{ConfigNumber, DataCentre, Incarnation, InstanceId, Timestamp, ViewNumber};
use serde::{Deserialize, Serialize};
use tracing::warn;

/// One instance's status.
#[derive(Clone, Debug, Deserialize, Serialize)]
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
}

#[derive(Clone, Debug, Deserialize, Serialize)]
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
pub(crate) fn status(state: &State, now: Timestamp) -> Vec<u8> {
    encode(&describe(state, now))
}

/// The configuration in force as JSON.
pub(crate) fn configuration(state: &State) -> Vec<u8> {
    encode(state.config().current())
}

fn describe(state: &State, now: Timestamp) -> Status {
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
    }
}

fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).unwrap_or_else(|err| {
        warn!(event = "status_unencoded", error = %err, "the status has no JSON form");
        Vec::new()
    })
}
