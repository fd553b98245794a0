//! Journal records and batch messages there and back, and damaged ones.

#![allow(clippy::unwrap_used)]

use guavacart_scheduler::{
    batch::{
        PeerBatch,
        call::{JobCall, JobReply, NotAccepted},
        job::{AttemptEnd, Job, JobSpec, Priority, StopReason, Task, TaskState},
        journal::{Change, JournalError, Record, Snapshot},
    },
    membership::Member,
};
use guavacart_types::{Attempt, CallId, Epoch, Incarnation, Resources, Span, TaskId};
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
        payload: "{}".into(),
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
                task,
                attempt,
                end: AttemptEnd::Stopped {
                    checkpoint: Some("saved".into()),
                },
            },
            Change::Cancelled("j".parse().unwrap()),
        ],
    }
}

#[test]
fn a_record_decodes_to_what_was_encoded() {
    let value = encode_record(record()).unwrap();
    assert_eq!(decode_record(KEY, &value).unwrap(), record());
}

#[test]
fn a_snapshot_decodes_to_what_was_encoded() {
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
            tasks: vec![task],
        }],
        failing: vec![("w2".parse().unwrap(), 5)],
    };
    let value = encode_snapshot(snapshot.clone()).unwrap();
    assert_eq!(decode_snapshot(KEY, &value).unwrap(), snapshot);
}

#[test]
fn a_damaged_record_names_its_key() {
    let value = encode_record(record()).unwrap();
    for len in 0..value.len() {
        let err = decode_record(KEY, &value[..len]).unwrap_err();
        assert!(matches!(&err, JournalError::Damaged { key, .. } if key == KEY));
    }
    let longer = [&value[..], &[0]].concat();
    assert!(decode_record(KEY, &longer).is_err());
}

#[test]
fn a_record_of_a_later_version_is_named_as_such() {
    let mut value = encode_record(record()).unwrap();
    value[0] = 2;
    let err = decode_record(KEY, &value).unwrap_err();
    let key = KEY.into();
    assert_eq!(err, JournalError::UnknownVersion { key, version: 2 });
}

macro_rules! travels {
    ($($name:ident: $message:expr;)*) => {$(
        #[test]
        fn $name() {
            let message = $message;
            let encoded = encode_peer_batch(message.clone()).unwrap();
            assert_eq!(decode_peer_batch(&encoded).unwrap(), message);
        }
    )*};
}

travels! {
    a_submission_travels: PeerBatch::Call {
        call: CallId(3),
        cell: "c1".parse().unwrap(),
        request: JobCall::Submit(Box::new(spec())),
    };
    a_refusal_travels: PeerBatch::Reply {
        call: CallId(3),
        reply: JobReply::NotAccepted(NotAccepted::StoreUnavailable),
    };
}
