//! Messages between the owners of cells, by which tasks and shares of team quotas move.

use guavacart_scheduler::batch::handoff::{
    FreeCapacity, HandOff, Offer, ReturnedTasks, ShareOrder, ShareReport, Ticket,
};
use guavacart_types::{Attempt, CellId, Epoch, JobId, Resources, TaskId, TeamName, Timestamp};
use serde::{Deserialize, Serialize};

use crate::journal::{
    JobSpecWire, ShareWire, TaskIdWire, TaskWire, tasks_from_wire, tasks_to_wire,
};

/// Encoded form of [`Ticket`]: the epoch, and the time of issue in milliseconds by the issuer's clock.
type TicketWire = (u64, u64);

/// Encoded form of [`FreeCapacity`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(super) struct FreeCapacityWire {
    ticket: TicketWire,
    free: Vec<Resources>,
    waiting: u32,
    shares: Vec<ShareReportWire>,
}

/// Encoded form of [`ShareReport`]: team, share, used, wants_more and capped, in this order.
type ShareReportWire = (TeamName, ShareWire, Resources, bool, bool);

/// Encoded form of [`HandOff`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(super) enum HandOffWire {
    Offer(OfferWire),
    /// The sending cell, the epoch, the job and its tasks.
    Return(CellId, u64, JobId, Vec<(u32, TaskWire)>),
    /// The sending cell, and the tasks with their attempts.
    Acknowledged(CellId, Vec<(TaskIdWire, u32)>),
    /// The sending cell, the team, its share and the cap.
    Share(CellId, TeamName, ShareWire, Option<Resources>),
}

/// Encoded form of [`Offer`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(super) struct OfferWire {
    from: CellId,
    epoch: u64,
    ticket: TicketWire,
    spec: JobSpecWire,
    cancelled: bool,
    tasks: Vec<(u32, TaskWire)>,
}

fn ticket_to_wire(ticket: Ticket) -> TicketWire {
    (ticket.epoch.0, ticket.issued.0)
}

fn ticket_from_wire((epoch, issued): TicketWire) -> Ticket {
    Ticket {
        epoch: Epoch(epoch),
        issued: Timestamp(issued),
    }
}

fn share_report_from_wire((team, share, used, wants_more, capped): ShareReportWire) -> ShareReport {
    ShareReport {
        team,
        share: share.into(),
        used,
        wants_more,
        capped,
    }
}

impl From<FreeCapacity> for FreeCapacityWire {
    fn from(free_capacity: FreeCapacity) -> Self {
        Self {
            ticket: ticket_to_wire(free_capacity.ticket),
            free: free_capacity.free,
            waiting: free_capacity.waiting,
            shares: (free_capacity.shares.into_iter())
                .map(|s| (s.team, s.share.into(), s.used, s.wants_more, s.capped))
                .collect(),
        }
    }
}

impl From<FreeCapacityWire> for FreeCapacity {
    fn from(wire: FreeCapacityWire) -> Self {
        Self {
            ticket: ticket_from_wire(wire.ticket),
            free: wire.free,
            waiting: wire.waiting,
            shares: wire
                .shares
                .into_iter()
                .map(share_report_from_wire)
                .collect(),
        }
    }
}

impl From<Offer> for OfferWire {
    fn from(offer: Offer) -> Self {
        Self {
            from: offer.from,
            epoch: offer.epoch.0,
            ticket: ticket_to_wire(offer.ticket),
            spec: offer.spec.into(),
            cancelled: offer.cancelled,
            tasks: tasks_to_wire(offer.tasks),
        }
    }
}

impl From<OfferWire> for Offer {
    fn from(wire: OfferWire) -> Self {
        Self {
            from: wire.from,
            epoch: Epoch(wire.epoch),
            ticket: ticket_from_wire(wire.ticket),
            spec: wire.spec.into(),
            cancelled: wire.cancelled,
            tasks: tasks_from_wire(wire.tasks),
        }
    }
}

impl From<HandOff> for HandOffWire {
    fn from(message: HandOff) -> Self {
        match message {
            HandOff::Offer(offer) => Self::Offer((*offer).into()),
            HandOff::Return(returned) => {
                let tasks = tasks_to_wire(returned.tasks);
                Self::Return(returned.from, returned.epoch.0, returned.job, tasks)
            }
            HandOff::Share(order) => {
                let ShareOrder {
                    from,
                    team,
                    share,
                    cap,
                } = *order;
                Self::Share(from, team, share.into(), cap)
            }
            HandOff::Acknowledged { from, tasks } => {
                let tasks = tasks.into_iter();
                let tasks = tasks.map(|(task, attempt)| (TaskIdWire::from(task), attempt.0));
                Self::Acknowledged(from, tasks.collect())
            }
        }
    }
}

impl From<HandOffWire> for HandOff {
    fn from(wire: HandOffWire) -> Self {
        match wire {
            HandOffWire::Offer(offer) => Self::Offer(Box::new(offer.into())),
            HandOffWire::Return(from, epoch, job, tasks) => Self::Return(Box::new(ReturnedTasks {
                from,
                epoch: Epoch(epoch),
                job,
                tasks: tasks_from_wire(tasks),
            })),
            HandOffWire::Share(from, team, share, cap) => Self::Share(Box::new(ShareOrder {
                from,
                team,
                share: share.into(),
                cap,
            })),
            HandOffWire::Acknowledged(from, tasks) => {
                let tasks = tasks.into_iter();
                let tasks = tasks.map(|(task, attempt)| (TaskId::from(task), Attempt(attempt)));
                let tasks = tasks.collect();
                Self::Acknowledged { from, tasks }
            }
        }
    }
}
