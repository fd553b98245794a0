//! Messages between instances decode to what was encoded, forged or damaged messages are refused, and
//! no input makes a decoder panic.

#![allow(clippy::unwrap_used)]

use guavacart_scheduler::{
    membership::{
        Delegation, EarlierView, Echo, Heartbeat, Load, Member, ServiceLoad, View, ViewMember,
    },
    request::{ClaimAnswer, RecordedId, RequestHead, RequestMessage},
};
use guavacart_types::{
    ByteSize, CallId, Class, ConfigNumber, Incarnation, Outcome, Reason, Span, Timestamp,
    ViewNumber,
};
use guavacart_wire::{
    AnswerWire, ForwardWire, Frame, Hello, LinkSeal, OutcomeWire, VERSION, Welcome, WireError,
    decode_view, encode_view, open_datagram, seal_datagram,
};
use proptest::prelude::*;

const KEY: &[u8] = b"a key that all instances share";

fn member(id: &str) -> ViewMember {
    ViewMember {
        member: Member {
            id: id.parse().unwrap(),
            incarnation: Incarnation(7),
        },
        data_centre: "dc1".parse().unwrap(),
    }
}

fn view() -> View {
    View {
        number: ViewNumber(5),
        members: vec![member("a"), member("b")],
        open: vec![EarlierView {
            number: ViewNumber(4),
            members: vec![member("a")],
        }],
    }
}

fn heartbeat() -> Heartbeat {
    Heartbeat {
        from: member("a").member,
        data_centre: "dc1".parse().unwrap(),
        sent_at: Timestamp(12),
        echo: Some(Echo {
            incarnation: Incarnation(9),
            sent_at: Timestamp(3),
        }),
        view_number: ViewNumber(5),
        view: Some(Box::new(view())),
        confirming: true,
        leaving: true,
        delegation: Some(Delegation {
            view: ViewNumber(5),
            to: vec!["b".parse().unwrap()],
        }),
        reachable: vec![member("b").member],
        config: ConfigNumber(2),
        load: Load {
            services: vec![ServiceLoad {
                service: "engine".parse().unwrap(),
                slots: 8,
                free: 3,
                queued: 1,
                teams: vec![("red".parse().unwrap(), 1)],
            }],
        },
    }
}

fn head() -> RequestHead {
    RequestHead {
        service: "engine".parse().unwrap(),
        team: "north".parse().unwrap(),
        class: Class::Long,
        id: "r1".parse().unwrap(),
        idempotent: false,
        deadline: Span::millis(250),
        size: ByteSize(3),
    }
}

#[test]
fn heartbeat_round_trips() {
    let datagram = seal_datagram(KEY, "b", heartbeat()).unwrap();
    let opened = open_datagram(KEY, "b", &datagram).unwrap();
    assert_eq!(opened, heartbeat());
}

macro_rules! refused_datagrams {
    ($($name:ident: $error:pat => $change:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut datagram = seal_datagram(KEY, "b", heartbeat()).unwrap();
            let change: fn(&mut Vec<u8>) = $change;
            change(&mut datagram);
            let opened = open_datagram(KEY, "b", &datagram);
            assert!(matches!(opened, Err($error)), "{opened:?}");
        }
    )*};
}

refused_datagrams! {
    datagram_with_a_changed_byte_is_refused: WireError::Tag => |d| d[9] ^= 1;
    truncated_datagram_is_refused: WireError::Tag => |d| d.truncate(40);
    datagram_shorter_than_its_tag_is_refused: WireError::Short { len: 3 } => |d| d.truncate(3);
    datagram_with_a_changed_version_is_refused: WireError::Tag => |d| d[0] = VERSION + 1;
}

#[test]
fn heartbeat_for_another_instance_is_refused() {
    let datagram = seal_datagram(KEY, "b", heartbeat()).unwrap();
    let opened = open_datagram(KEY, "c", &datagram);
    assert!(matches!(opened, Err(WireError::Tag)));
}

#[test]
fn heartbeat_with_another_key_is_refused() {
    let datagram = seal_datagram(b"another key", "b", heartbeat()).unwrap();
    let opened = open_datagram(KEY, "b", &datagram);
    assert!(matches!(opened, Err(WireError::Tag)));
}

#[test]
fn heartbeat_with_inconsistent_view_numbers_is_refused() {
    let mut heartbeat = heartbeat();
    heartbeat.view_number = ViewNumber(4);
    let datagram = seal_datagram(KEY, "b", heartbeat).unwrap();
    let opened = open_datagram(KEY, "b", &datagram);
    assert!(matches!(opened, Err(WireError::Invalid { .. })));
}

#[test]
fn view_round_trips() {
    let record = encode_view(view()).unwrap();
    assert_eq!(decode_view(&record).unwrap(), view());
}

#[test]
fn view_of_another_version_is_refused() {
    let mut record = encode_view(view()).unwrap();
    record[0] = VERSION + 1;
    assert!(matches!(
        decode_view(&record),
        Err(WireError::Version { .. })
    ));
}

macro_rules! peer_requests_round_trip {
    ($($name:ident: $message:expr;)*) => {$(
        #[test]
        fn $name() {
            let message: RequestMessage = $message;
            let frame = Frame::Request(message.clone().into());
            let Frame::Request(wire) = Frame::decode(&frame.encode().unwrap()).unwrap() else {
                panic!("the frame was decoded as another kind of frame");
            };
            assert_eq!(RequestMessage::from(wire), message);
        }
    )*};
}

peer_requests_round_trip! {
    cancellation_round_trips: RequestMessage::Cancel { call: CallId(1) };
    claim_round_trips: RequestMessage::Claim { claimant: member("a").member, call: CallId(1), id: "r".parse().unwrap(), view: ViewNumber(2) };
    claim_answer_round_trips: RequestMessage::ClaimAnswered { claimant: member("a").member, call: CallId(1), view: ViewNumber(2), answer: ClaimAnswer::HistoryUnknown };
    release_round_trips: RequestMessage::Release {
        claimant: member("a").member,
        call: CallId(1),
        id: "r".parse().unwrap(),
    };
    handover_round_trips: RequestMessage::Handover {
        view: ViewNumber(3),
        previous_members: vec!["a".parse().unwrap()],
        ids: vec![RecordedId {
            id: "r".parse().unwrap(),
            claimant: member("a").member,
            call: CallId(1),
            age: Span(9),
        }],
        complete: true,
    };
}

#[test]
fn forwarded_request_round_trips() {
    let forward = ForwardWire {
        call: 4,
        head: head().into(),
        content_type: Some("text/plain".into()),
        body: b"abc".to_vec(),
    };
    let frame = Frame::Forward(forward);
    let Frame::Forward(forward) = Frame::decode(&frame.encode().unwrap()).unwrap() else {
        panic!("the frame was decoded as another kind of frame");
    };
    let size = ByteSize(forward.body.len() as u64);
    assert_eq!(forward.head.into_head(size), head());
}

macro_rules! forwarded_outcomes {
    ($($name:ident: $outcome:expr, $answer:expr => $read:expr;)*) => {$(
        #[test]
        fn $name() {
            let wire = OutcomeWire::new(4, $outcome, Load::default(), $answer);
            assert_eq!(wire.outcome(), $read);
        }
    )*};
}

fn answer() -> Option<AnswerWire> {
    Some(AnswerWire {
        status: 200,
        content_type: None,
        body: b"whole".to_vec(),
    })
}

forwarded_outcomes! {
    answered_with_an_answer_stays_answered: Outcome::Answered, answer() => Outcome::Answered;
    answered_without_an_answer_may_have_run:
        Outcome::Answered, None => Outcome::MayHaveRun(Reason::PeerLost);
    not_run_keeps_its_reason:
        Outcome::NotRun(Reason::QueueFull), None => Outcome::NotRun(Reason::QueueFull);
    may_have_run_keeps_its_reason:
        Outcome::MayHaveRun(Reason::EndpointFailed), None
            => Outcome::MayHaveRun(Reason::EndpointFailed);
}

fn link_seals() -> (LinkSeal, LinkSeal) {
    let hello = Hello {
        from: "a".parse().unwrap(),
        incarnation: Incarnation(1),
        to: "b".parse().unwrap(),
        nonce: [1; 16],
    };
    let welcome = Welcome {
        from: "b".parse().unwrap(),
        nonce: [2; 16],
    };
    let seal = || LinkSeal::new(KEY, &hello, &welcome);
    (seal(), seal())
}

#[test]
fn replayed_frame_is_refused() {
    let (mut writer, mut reader) = link_seals();
    let tag = writer.seal(b"payload");
    reader.open(b"payload", &tag).unwrap();
    assert!(matches!(reader.open(b"payload", &tag), Err(WireError::Tag)));
}

#[test]
fn reordered_frame_is_refused() {
    let (mut writer, mut reader) = link_seals();
    writer.seal(b"first");
    let tag = writer.seal(b"second");
    assert!(matches!(reader.open(b"second", &tag), Err(WireError::Tag)));
}

#[test]
fn frame_of_another_version_is_refused() {
    let buf = [VERSION + 1, 0];
    assert!(matches!(
        Frame::decode(&buf),
        Err(WireError::Version { .. })
    ));
}

proptest! {
    #[test]
    fn decoders_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let mut versioned = vec![VERSION];
        versioned.extend(&bytes);
        let _ = Frame::decode(&versioned);
        let _ = decode_view(&versioned);
        let _ = open_datagram(KEY, "b", &bytes);
    }
}
