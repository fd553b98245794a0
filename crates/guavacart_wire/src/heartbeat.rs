//! Encoded form of heartbeats, views and loads.

use guavacart_scheduler::membership::{
    Delegation, EarlierView, Echo, Heartbeat, Load, Member, ServiceLoad, View, ViewMember,
};
use guavacart_types::{
    ConfigNumber, DataCentre, Incarnation, InstanceId, ServiceName, TeamName, Timestamp, ViewNumber,
};
use serde::{Deserialize, Serialize};

use crate::WireError;

/// Encoded form of [`Heartbeat`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HeartbeatWire {
    from: MemberWire,
    data_centre: DataCentre,
    sent_at: u64,
    /// The receiver's incarnation and clock, from the last heartbeat that the sender had from it.
    echo: Option<(u64, u64)>,
    view_number: u64,
    view: Option<ViewWire>,
    confirming: bool,
    leaving: bool,
    /// The number of the delegated view, and the members that receive its keys.
    delegation: Option<(u64, Vec<InstanceId>)>,
    reachable: Vec<MemberWire>,
    config: u64,
    load: Vec<ServiceLoadWire>,
}

#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct MemberWire {
    id: InstanceId,
    incarnation: u64,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct ViewMemberWire {
    member: MemberWire,
    data_centre: DataCentre,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct ViewWire {
    number: u64,
    members: Vec<ViewMemberWire>,
    /// Number and members of each earlier view that is not yet known to be closed.
    open: Vec<(u64, Vec<ViewMemberWire>)>,
}

/// Encoded form of [`ServiceLoad`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct ServiceLoadWire {
    service: ServiceName,
    slots: u32,
    free: u32,
    queued: u32,
    /// Number of queued requests of each team.
    teams: Vec<(TeamName, u32)>,
}

impl From<Heartbeat> for HeartbeatWire {
    fn from(heartbeat: Heartbeat) -> Self {
        Self {
            from: heartbeat.from.into(),
            data_centre: heartbeat.data_centre,
            sent_at: heartbeat.sent_at.0,
            echo: heartbeat.echo.map(|e| (e.incarnation.0, e.sent_at.0)),
            view_number: heartbeat.view_number.0,
            view: heartbeat.view.map(|view| (*view).into()),
            confirming: heartbeat.confirming,
            leaving: heartbeat.leaving,
            delegation: heartbeat.delegation.map(|d| (d.view.0, d.to)),
            reachable: heartbeat.reachable.into_iter().map(Into::into).collect(),
            config: heartbeat.config.0,
            load: load_to_wire(heartbeat.load),
        }
    }
}

impl TryFrom<HeartbeatWire> for Heartbeat {
    type Error = WireError;

    fn try_from(wire: HeartbeatWire) -> Result<Self, WireError> {
        let view = wire.view.map(View::try_from).transpose()?;
        let view_number = ViewNumber(wire.view_number);
        if view.as_ref().is_some_and(|v| v.number != view_number) {
            let what = "the number of the enclosed view differs from the heartbeat's view number";
            return Err(WireError::Invalid { what });
        }
        Ok(Self {
            from: wire.from.into(),
            data_centre: wire.data_centre,
            sent_at: Timestamp(wire.sent_at),
            echo: wire.echo.map(|(incarnation, sent_at)| Echo {
                incarnation: Incarnation(incarnation),
                sent_at: Timestamp(sent_at),
            }),
            view_number,
            view: view.map(Box::new),
            confirming: wire.confirming,
            leaving: wire.leaving,
            delegation: wire.delegation.map(|(view, to)| Delegation {
                view: ViewNumber(view),
                to,
            }),
            reachable: wire.reachable.into_iter().map(Into::into).collect(),
            config: ConfigNumber(wire.config),
            load: load_from_wire(wire.load),
        })
    }
}

/// Converts a load to its encoded form.
pub(crate) fn load_to_wire(load: Load) -> Vec<ServiceLoadWire> {
    let services = load.services.into_iter();
    services.map(ServiceLoadWire::from).collect()
}

/// Converts the encoded form of a load back.
pub(crate) fn load_from_wire(wire: Vec<ServiceLoadWire>) -> Load {
    Load {
        services: wire.into_iter().map(ServiceLoad::from).collect(),
    }
}

impl From<ServiceLoad> for ServiceLoadWire {
    fn from(load: ServiceLoad) -> Self {
        Self {
            service: load.service,
            slots: load.slots,
            free: load.free,
            queued: load.queued,
            teams: load.teams,
        }
    }
}

impl From<ServiceLoadWire> for ServiceLoad {
    fn from(wire: ServiceLoadWire) -> Self {
        Self {
            service: wire.service,
            slots: wire.slots,
            free: wire.free,
            queued: wire.queued,
            teams: wire.teams,
        }
    }
}

impl From<Member> for MemberWire {
    fn from(member: Member) -> Self {
        Self {
            id: member.id,
            incarnation: member.incarnation.0,
        }
    }
}

impl From<MemberWire> for Member {
    fn from(wire: MemberWire) -> Self {
        Self {
            id: wire.id,
            incarnation: Incarnation(wire.incarnation),
        }
    }
}

impl From<ViewMember> for ViewMemberWire {
    fn from(member: ViewMember) -> Self {
        Self {
            member: member.member.into(),
            data_centre: member.data_centre,
        }
    }
}

impl From<ViewMemberWire> for ViewMember {
    fn from(wire: ViewMemberWire) -> Self {
        Self {
            member: wire.member.into(),
            data_centre: wire.data_centre,
        }
    }
}

impl From<View> for ViewWire {
    fn from(view: View) -> Self {
        let open = view.open.into_iter();
        Self {
            number: view.number.0,
            members: view.members.into_iter().map(Into::into).collect(),
            open: open
                .map(|e| (e.number.0, e.members.into_iter().map(Into::into).collect()))
                .collect(),
        }
    }
}

impl TryFrom<ViewWire> for View {
    type Error = WireError;

    fn try_from(wire: ViewWire) -> Result<Self, WireError> {
        let open = wire.open.into_iter();
        let view = Self {
            number: ViewNumber(wire.number),
            members: wire.members.into_iter().map(Into::into).collect(),
            open: open
                .map(|(number, members)| EarlierView {
                    number: ViewNumber(number),
                    members: members.into_iter().map(Into::into).collect(),
                })
                .collect(),
        };
        if view.open.iter().any(|e| e.number >= view.number) {
            let what =
                "the number of an earlier view is not less than the number of the view itself";
            return Err(WireError::Invalid { what });
        }
        Ok(view)
    }
}
