//! Journal records, snapshots and batch messages decode to what was encoded; damaged records are refused.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;

use guavacart_scheduler::{
    batch::{
        PeerBatch,
        call::{JobCall, JobReply, NotAccepted},
        handoff::{FreeCapacity, HandOff, Offer, ReturnedTasks, ShareOrder, ShareReport, Ticket},
        job::{AttemptEnd, Job, JobSpec, Origin, Priority, Spread, StopReason, Task, TaskState},
        journal::{Change, JournalError, Received, Record, Share, Snapshot},
    },
    membership::Member,
};
use guavacart_types::{Attempt, CallId, Epoch, Incarnation, Resources, Span, TaskId, Timestamp};
use guavacart_wire::{
    decode_peer_batch, decode_record, decode_snapshot, encode_peer_batch, encode_record,
    encode_snapshot,
};

const KEY: &str = "cell/c1/000000000007";

fn spec() -> JobSpec {
    JobSpec {
        id: "j".parse().unwrap(),
        team: "red".parse().unwrap(),
        class: "recode".parse().unwrap(),
        resources: Resources::default(),
        tasks: 1,
        run_time: Span::millis(700),
        priority: Priority::Urgent,
        deadline: Some(Span::secs(9)),
        spread: Some(Spread::DataCentre),
        payload: "{}".into(),
    }
}

fn share() -> Share {
    Share {
        sequence: 4,
        amount: Resources::default(),
    }
}

fn origin() -> Origin {
    Origin {
        cell: "c1".parse().unwrap(),
        epoch: Epoch(3),
    }
}

fn tasks() -> Vec<(u32, Task)> {
    let task = Task {
        state: TaskState::Finished,
        attempt: Attempt(4),
        checkpoint: Some("saved".into()),
        ..Task::default()
    };
    vec![(7, task)]
}

fn ticket() -> Ticket {
    Ticket {
        epoch: Epoch(5),
        issued: Timestamp(77),
    }
}

fn record() -> Record {
    let task = TaskId {
        job: "j".parse().unwrap(),
        index: 0,
    };
    let attempt = Attempt(1);
    Record {
        writer: Member {
            id: "i1".parse().unwrap(),
            incarnation: Incarnation(4),
        },
        sequence: 9,
        changes: vec![
            Change::TakenOver(Epoch(2)),
            Change::Admitted(Box::new(spec())),
            Change::Placed {
                task: task.clone(),
                attempt,
                worker: "w1".parse().unwrap(),
            },
            Change::Stopping {
                task: task.clone(),
                attempt,
                reason: StopReason::Displaced,
            },
            Change::Ended {
                task: task.clone(),
                attempt,
                end: AttemptEnd::Stopped {
                    checkpoint: Some("saved".into()),
                },
            },
            Change::Cancelled("j".parse().unwrap()),
            Change::Sent {
                task: task.clone(),
                attempt,
                to: "c2".parse().unwrap(),
            },
            Change::Received(Box::new(Received {
                spec: spec(),
                origin: origin(),
                cancelled: true,
                tasks: tasks(),
            })),
            Change::Returned {
                job: "j".parse().unwrap(),
                tasks: tasks(),
            },
            Change::Acknowledged { task, attempt },
            Change::Granted {
                team: "red".parse().unwrap(),
                cell: "c2".parse().unwrap(),
                share: share(),
            },
            Change::Allowed {
                team: "red".parse().unwrap(),
                share: share(),
            },
        ],
    }
}

#[test]
fn record_round_trips() {
    let value = encode_record(record()).unwrap();
    assert_eq!(decode_record(KEY, &value).unwrap(), record());
}

#[test]
fn snapshot_round_trips() {
    let worker = "w1".parse().unwrap();
    let stopping = Some(StopReason::WorkerLeaving);
    let task = Task {
        state: TaskState::Placed { worker, stopping },
        attempt: Attempt(3),
        ..Task::default()
    };
    let snapshot = Snapshot {
        through: 7,
        epoch: Epoch(2),
        next_order: 1,
        next_ended: 0,
        jobs: vec![Job {
            spec: spec(),
            order: 0,
            cancelled: false,
            ended: None,
            origin: Some(origin()),
            tasks: BTreeMap::from([(4, task)]),
        }],
        failing: vec![("w2".parse().unwrap(), 5)],
        granted: BTreeMap::from([(
            "red".parse().unwrap(),
            BTreeMap::from([("c2".parse().unwrap(), share())]),
        )]),
        allowed: BTreeMap::from([("blue".parse().unwrap(), share())]),
    };
    let value = encode_snapshot(snapshot.clone()).unwrap();
    assert_eq!(decode_snapshot(KEY, &value).unwrap(), snapshot);
}

#[test]
fn error_for_a_damaged_record_names_its_key() {
    let value = encode_record(record()).unwrap();
    for len in 0..value.len() {
        let err = decode_record(KEY, &value[..len]).unwrap_err();
        assert!(matches!(&err, JournalError::Damaged { key, .. } if key == KEY));
    }
    let longer = [&value[..], &[0]].concat();
    assert!(decode_record(KEY, &longer).is_err());
}

#[test]
fn record_of_a_later_version_is_reported_as_unknown_version() {
    let mut value = encode_record(record()).unwrap();
    value[0] = 3;
    let err = decode_record(KEY, &value).unwrap_err();
    let key = KEY.into();
    assert_eq!(err, JournalError::UnknownVersion { key, version: 3 });
}

macro_rules! round_trips {
    ($($name:ident: $message:expr;)*) => {$(
        #[test]
        fn $name() {
            let message = $message;
            let encoded = encode_peer_batch(message.clone()).unwrap();
            assert_eq!(decode_peer_batch(&encoded).unwrap(), message);
        }
    )*};
}

round_trips! {
    submission_round_trips: PeerBatch::Call {
        call: CallId(3),
        cell: "c1".parse().unwrap(),
        request: JobCall::Submit(Box::new(spec())),
    };
    not_accepted_reply_round_trips: PeerBatch::Reply {
        call: CallId(3),
        reply: JobReply::NotAccepted(NotAccepted::StoreUnavailable),
    };
    free_capacity_round_trips: PeerBatch::FreeCapacity {
        cell: "c2".parse().unwrap(),
        free_capacity: FreeCapacity {
            ticket: ticket(),
            free: vec![Resources::default()],
            waiting: 3,
            shares: vec![ShareReport {
                team: "red".parse().unwrap(),
                share: share(),
                used: Resources::default(),
                wants_more: true,
                capped: false,
            }],
        },
    };
    task_offer_round_trips: PeerBatch::HandOff {
        cell: "c2".parse().unwrap(),
        message: HandOff::Offer(Box::new(Offer {
            from: "c1".parse().unwrap(),
            epoch: Epoch(3),
            ticket: ticket(),
            spec: spec(),
            cancelled: true,
            tasks: tasks(),
        })),
    };
    returned_tasks_round_trip: PeerBatch::HandOff {
        cell: "c1".parse().unwrap(),
        message: HandOff::Return(Box::new(ReturnedTasks {
            from: "c2".parse().unwrap(),
            epoch: Epoch(3),
            job: "j".parse().unwrap(),
            tasks: tasks(),
        })),
    };
    share_order_round_trips: PeerBatch::HandOff {
        cell: "c2".parse().unwrap(),
        message: HandOff::Share(Box::new(ShareOrder {
            from: "c1".parse().unwrap(),
            team: "red".parse().unwrap(),
            share: share(),
            cap: Some(Resources::default()),
        })),
    };
    acknowledgement_round_trips: PeerBatch::HandOff {
        cell: "c1".parse().unwrap(),
        message: HandOff::Acknowledged {
            from: "c2".parse().unwrap(),
            tasks: vec![(TaskId { job: "j".parse().unwrap(), index: 7 }, Attempt(4))],
        },
    };
}
