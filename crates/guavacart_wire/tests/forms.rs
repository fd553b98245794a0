//! Compares every message between entry instances and every stored record with fixed bytes.
//!
//! A test fails if the encoded form changes, since an instance of an earlier build would then misread
//! it. The values within one type differ, so that a test also notices swapped fields.

#![allow(clippy::unwrap_used)]

use std::{
    collections::BTreeMap,
    fmt::{Debug, Write as _},
    str::FromStr,
};

use guavacart_scheduler::{
    batch::{
        PeerBatch,
        call::{
            JobCall, JobReply, JobStatus, JobSummary, NotAccepted, RejectReason, TaskCounts,
            TaskStatus,
        },
        handoff::{FreeCapacity, HandOff, Offer, ReturnedTasks, ShareOrder, ShareReport, Ticket},
        job::{
            AttemptEnd, Job, JobSpec, Origin, ParkReason, Priority, Spread, StopReason, Task,
            TaskState,
        },
        journal::{Change, Received, Record, Share, Snapshot},
    },
    membership::{
        Delegation, EarlierView, Echo, Heartbeat, Load, Member, ServiceLoad, View, ViewMember,
    },
    request::{ClaimAnswer, RecordedId, RequestHead, RequestMessage},
};
use guavacart_types::{
    Accelerators, Attempt, ByteSize, CallId, Class, ConfigNumber, Epoch, Incarnation, Outcome,
    Processors, Reason, Resources, Span, TaskId, Timestamp, ViewNumber,
};
use guavacart_wire::{
    AnswerWire, ForwardWire, Frame, Hello, LinkSeal, Manifest, OutcomeWire, Question, Welcome,
    decode_manifest, decode_peer_batch, decode_record, decode_snapshot, decode_view,
    encode_manifest, encode_peer_batch, encode_record, encode_snapshot, encode_view, open_datagram,
    seal_datagram,
};

const PEER_KEY: &[u8] = b"a key that all instances share";
const STORE_KEY: &str = "cell/c1/000000000007";

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        write!(text, "{byte:02x}").unwrap();
        text
    })
}

fn from_hex(hex: &str) -> Vec<u8> {
    let digits: Vec<char> = hex.chars().filter(|c| !c.is_whitespace()).collect();
    let pairs = digits.chunks(2).map(|pair| pair.iter().collect::<String>());
    pairs
        .map(|pair| u8::from_str_radix(&pair, 16).unwrap())
        .collect()
}

/// Asserts that `value` encodes to exactly `fixed` (hex) and that `fixed` decodes to exactly `value`.
fn assert_form<T: Debug + PartialEq>(
    value: &T,
    fixed: &str,
    encode: impl FnOnce(&T) -> Vec<u8>,
    decode: impl FnOnce(&[u8]) -> T,
) {
    let fixed = from_hex(fixed);
    assert_eq!(to_hex(&encode(value)), to_hex(&fixed), "the encoded form");
    assert_eq!(decode(&fixed), *value, "the decoded value");
}

/// Defines one test for each case. A case has a name, a value and its fixed bytes in hex.
macro_rules! forms {
    ($check:ident: $($name:ident: $value:expr => $fixed:literal;)*) => {$(
        #[test]
        fn $name() {
            $check(&$value, $fixed);
        }
    )*};
}

fn id<T: FromStr<Err: Debug>>(text: &str) -> T {
    text.parse().unwrap()
}

fn member(text: &str, incarnation: u64) -> Member {
    Member {
        id: id(text),
        incarnation: Incarnation(incarnation),
    }
}

fn view_member(text: &str, incarnation: u64, data_centre: &str) -> ViewMember {
    ViewMember {
        member: member(text, incarnation),
        data_centre: id(data_centre),
    }
}

fn view() -> View {
    View {
        number: ViewNumber(9),
        members: vec![view_member("a", 300, "dc1"), view_member("b", 301, "dc2")],
        open: vec![
            EarlierView {
                number: ViewNumber(7),
                members: vec![view_member("c", 302, "dc3")],
            },
            EarlierView {
                number: ViewNumber(8),
                members: Vec::new(),
            },
        ],
    }
}

fn load() -> Load {
    Load {
        services: vec![ServiceLoad {
            service: id("engine"),
            slots: 21,
            free: 22,
            queued: 23,
            teams: vec![(id("red"), 24), (id("blue"), 25)],
        }],
    }
}

fn heartbeat() -> Heartbeat {
    Heartbeat {
        from: member("a", 300),
        data_centre: id("dc1"),
        sent_at: Timestamp(70_000),
        echo: Some(Echo {
            incarnation: Incarnation(303),
            sent_at: Timestamp(60_000),
        }),
        view_number: ViewNumber(9),
        view: Some(Box::new(view())),
        confirming: true,
        leaving: false,
        delegation: Some(Delegation {
            view: ViewNumber(10),
            to: vec![id("d"), id("e")],
        }),
        reachable: vec![member("b", 301), member("c", 302)],
        config: ConfigNumber(11),
        load: load(),
    }
}

fn short_heartbeat() -> Heartbeat {
    Heartbeat {
        echo: None,
        view: None,
        confirming: false,
        leaving: true,
        delegation: None,
        reachable: Vec::new(),
        load: Load::default(),
        ..heartbeat()
    }
}

fn assert_heartbeat_form(value: &Heartbeat, fixed: &str) {
    assert_form(
        value,
        fixed,
        |value| seal_datagram(PEER_KEY, "b", value.clone()).unwrap(),
        |bytes| open_datagram(PEER_KEY, "b", bytes).unwrap(),
    );
}

forms! { assert_heartbeat_form:
    sealed_heartbeat: heartbeat() => "
        010161ac0203646331f0a20401af02e0d403090109020161ac02036463310162ad020364633202070101
        63ae020364633308000100010a0201640165020162ad020163ae020b0106656e67696e65151617020372
        65641804626c7565192e749cb632ef7434c338ad0d72eba152
    ";
    sealed_heartbeat_without_options: short_heartbeat() => "
        010161ac0203646331f0a204000900000100000b005d622db823848e0cea86202272ae1ce1
    ";
}

fn assert_view_form(value: &View, fixed: &str) {
    assert_form(
        value,
        fixed,
        |value| encode_view(value.clone()).unwrap(),
        |bytes| decode_view(bytes).unwrap(),
    );
}

forms! { assert_view_form:
    stored_view: view() => "0109020161ac02036463310162ad02036463320207010163ae02036463330800";
}

fn hello() -> Hello {
    Hello {
        from: id("a"),
        incarnation: Incarnation(300),
        to: id("b"),
        nonce: *b"0123456789abcdef",
    }
}

fn welcome() -> Welcome {
    Welcome {
        from: id("b"),
        nonce: *b"fedcba9876543210",
    }
}

fn assert_hello_form(value: &Hello, fixed: &str) {
    assert_form(
        value,
        fixed,
        |value| postcard::to_stdvec(value).unwrap(),
        |bytes| postcard::from_bytes(bytes).unwrap(),
    );
}

fn assert_welcome_form(value: &Welcome, fixed: &str) {
    assert_form(
        value,
        fixed,
        |value| postcard::to_stdvec(value).unwrap(),
        |bytes| postcard::from_bytes(bytes).unwrap(),
    );
}

forms! { assert_hello_form:
    link_hello: hello() => "0161ac02016230313233343536373839616263646566";
}

forms! { assert_welcome_form:
    link_welcome: welcome() => "016266656463626139383736353433323130";
}

/// Compares the tags of the first two frames of a link, and checks that the other end accepts them.
fn assert_seal_form(payload: &[u8; 7], fixed: &str) {
    let seal = || LinkSeal::new(PEER_KEY, &hello(), &welcome());
    let (mut writer, mut reader) = (seal(), seal());
    let tags = [writer.seal(payload), writer.seal(payload)].concat();
    let fixed = from_hex(fixed);
    assert_eq!(to_hex(&tags), to_hex(&fixed), "the tags");
    for tag in fixed.chunks(16) {
        reader.open(payload, tag).unwrap();
    }
}

forms! { assert_seal_form:
    link_tags: *b"payload" => "eab17d028b761dc6dd4359b1b25927340a9354fd26cc5c283a068811520badde";
}

fn head(class: Class, idempotent: bool) -> RequestHead {
    RequestHead {
        service: id("engine"),
        team: id("north"),
        class,
        id: id("r1"),
        idempotent,
        deadline: Span(250),
        size: ByteSize(3),
    }
}

fn assert_forward_form(value: &(RequestHead, Option<&str>), fixed: &str) {
    let (head, content_type) = value.clone();
    let frame = Frame::Forward(ForwardWire {
        call: 4,
        head: head.clone().into(),
        content_type: content_type.map(Into::into),
        body: b"abc".to_vec(),
    });
    assert_frame_form(&frame, fixed);
    let Frame::Forward(decoded) = Frame::decode(&from_hex(fixed)).unwrap() else {
        panic!("the frame was decoded as another kind of frame");
    };
    assert_eq!(decoded.head.into_head(ByteSize(3)), head);
}

forms! { assert_forward_form:
    forward_long: (head(Class::Long, false), Some("text/plain")) => "
        01000406656e67696e65056e6f7274680102723100fa01010a746578742f706c61696e03616263
    ";
    forward_short: (head(Class::Short, true), None)
        => "01000406656e67696e65056e6f7274680002723101fa010003616263";
}

fn assert_frame_form(value: &Frame, fixed: &str) {
    assert_form(
        value,
        fixed,
        |value| value.encode().unwrap(),
        |bytes| Frame::decode(bytes).unwrap(),
    );
}

forms! { assert_frame_form:
    frame_batch: Frame::Batch(b"batch".to_vec()) => "0103056261746368";
    frame_question_configuration: Frame::Question { id: 300, question: Question::Configuration }
        => "0104ac0200";
    frame_question_burn: Frame::Question { id: 301, question: Question::Burn } => "0104ad0201";
    frame_question_status: Frame::Question { id: 302, question: Question::Status } => "0104ae0202";
    frame_reply: Frame::Reply { id: 303, body: b"{}".to_vec() } => "0105af02027b7d";
}

fn answer(content_type: Option<&str>) -> AnswerWire {
    AnswerWire {
        status: 404,
        content_type: content_type.map(Into::into),
        body: b"whole".to_vec(),
    }
}

fn assert_outcome_form(value: &(Outcome, Load, Option<AnswerWire>), fixed: &str) {
    let (outcome, load, answer) = value.clone();
    let wire = OutcomeWire::new(4, outcome, load.clone(), answer.clone());
    assert_frame_form(&Frame::Outcome(wire), fixed);
    let Frame::Outcome(decoded) = Frame::decode(&from_hex(fixed)).unwrap() else {
        panic!("the frame was decoded as another kind of frame");
    };
    assert_eq!(decoded.call, 4);
    assert_eq!(decoded.outcome(), outcome);
    assert_eq!(decoded.load(), load);
    assert_eq!(decoded.answer, answer);
}

fn not_run(reason: Reason) -> (Outcome, Load, Option<AnswerWire>) {
    (Outcome::NotRun(reason), Load::default(), None)
}

fn may_have_run(reason: Reason) -> (Outcome, Load, Option<AnswerWire>) {
    (Outcome::MayHaveRun(reason), Load::default(), None)
}

forms! { assert_outcome_form:
    outcome_answered: (Outcome::Answered, load(), Some(answer(Some("text/plain")))) => "
        010104000106656e67696e6515161702037265641804626c756519019403010a746578742f706c61696e
        0577686f6c65
    ";
    outcome_answered_without_type: (Outcome::Answered, Load::default(), Some(answer(None)))
        => "0101040000019403000577686f6c65";
    outcome_overloaded: not_run(Reason::Overloaded) => "01010401000000";
    outcome_queue_full: not_run(Reason::QueueFull) => "01010401010000";
    outcome_deadline_passed: not_run(Reason::DeadlinePassed) => "01010401020000";
    outcome_no_endpoint: not_run(Reason::NoEndpoint) => "01010401030000";
    outcome_unknown: not_run(Reason::Unknown) => "01010401040000";
    outcome_endpoint_failed: not_run(Reason::EndpointFailed) => "01010401050000";
    outcome_peer_lost: may_have_run(Reason::PeerLost) => "01010402060000";
    outcome_repeated: may_have_run(Reason::Repeated) => "01010402070000";
    outcome_stopping: may_have_run(Reason::Stopping) => "01010402080000";
    outcome_caller_gone: may_have_run(Reason::CallerGone) => "01010402090000";
}

fn assert_request_form(value: &RequestMessage, fixed: &str) {
    assert_form(
        value,
        fixed,
        |value| Frame::Request(value.clone().into()).encode().unwrap(),
        |bytes| match Frame::decode(bytes).unwrap() {
            Frame::Request(wire) => wire.into(),
            other => panic!("the frame was decoded as another kind of frame: {other:?}"),
        },
    );
}

fn claimed(answer: ClaimAnswer) -> RequestMessage {
    RequestMessage::ClaimAnswered {
        claimant: member("a", 300),
        call: CallId(301),
        view: ViewNumber(302),
        answer,
    }
}

fn held(text: &str, call: u64) -> RecordedId {
    RecordedId {
        id: id(text),
        claimant: member("a", 300),
        call: CallId(call),
        age: Span(call + 100),
    }
}

forms! { assert_request_form:
    request_cancel: RequestMessage::Cancel { call: CallId(300) } => "010200ac02";
    request_claim: RequestMessage::Claim {
        claimant: member("a", 300),
        call: CallId(301),
        id: id("r"),
        view: ViewNumber(302),
    } => "0102010161ac02ad020172ae02";
    request_claimed_new: claimed(ClaimAnswer::New) => "0102020161ac02ad02ae0200";
    request_claimed_history_unknown: claimed(ClaimAnswer::HistoryUnknown) => "0102020161ac02ad02ae0201";
    request_claimed_seen: claimed(ClaimAnswer::Seen) => "0102020161ac02ad02ae0202";
    request_claimed_wrong_view: claimed(ClaimAnswer::WrongView) => "0102020161ac02ad02ae0203";
    request_release: RequestMessage::Release {
        claimant: member("a", 300),
        call: CallId(301),
        id: id("r"),
    } => "0102030161ac02ad020172";
    request_handover: RequestMessage::Handover {
        view: ViewNumber(302),
        previous_members: vec![id("c"), id("d")],
        ids: vec![held("r1", 303), held("r2", 304)],
        complete: true,
    } => "010204ae020201630164020272310161ac02af0293030272320161ac02b002940301";
}

fn resources(first: u32) -> Resources {
    Resources {
        processors: Processors(u64::from(first)),
        memory: ByteSize(u64::from(first) + 1),
        accelerators: Accelerators(first + 2),
    }
}

fn spec(priority: Priority, deadline: Option<Span>, spread: Option<Spread>) -> JobSpec {
    JobSpec {
        id: id("j1"),
        team: id("red"),
        class: id("recode"),
        resources: resources(31),
        tasks: 34,
        run_time: Span(35),
        priority,
        deadline,
        spread,
        payload: "{}".into(),
    }
}

fn urgent_spec() -> JobSpec {
    spec(Priority::Urgent, Some(Span(36)), Some(Spread::Rack))
}

fn task_id(index: u32) -> TaskId {
    TaskId {
        job: id("j2"),
        index,
    }
}

fn placed(stopping: Option<StopReason>) -> TaskState {
    TaskState::Placed {
        worker: id("w1"),
        stopping,
    }
}

/// Returns one task in each state, so that every variant occurs.
fn tasks() -> Vec<(u32, Task)> {
    let states = [
        TaskState::Queued,
        placed(None),
        placed(Some(StopReason::Cancelled)),
        placed(Some(StopReason::Displaced)),
        placed(Some(StopReason::Interference)),
        placed(Some(StopReason::WorkerLeaving)),
        placed(Some(StopReason::MemoryExceeded)),
        TaskState::Finished,
        TaskState::Cancelled,
        TaskState::Parked(ParkReason::FailedOn(vec![id("w2"), id("w3")])),
        TaskState::Parked(ParkReason::FailedTimes(41)),
        TaskState::HandedOff {
            to: id("c2"),
            acknowledged: true,
        },
    ];
    let task = |state| Task {
        state,
        ..Task::default()
    };
    let mut tasks: Vec<(u32, Task)> = (50..).zip(states.map(task)).collect();
    tasks.push((
        70,
        Task {
            state: TaskState::Queued,
            attempt: Attempt(42),
            checkpoint: Some("saved".into()),
            failed_on: vec![id("w4"), id("w5")],
            failures: 43,
        },
    ));
    tasks
}

fn last_task() -> Vec<(u32, Task)> {
    tasks().split_off(12)
}

fn share(sequence: u64) -> Share {
    Share {
        sequence,
        amount: resources(81),
    }
}

fn summary(text: &str, priority: Priority) -> JobSummary {
    JobSummary {
        id: id(text),
        team: id("red"),
        priority,
        cancelled: true,
        counts: TaskCounts {
            queued: 11,
            placed: 12,
            finished: 13,
            cancelled: 14,
            parked: 15,
            elsewhere: 16,
        },
    }
}

fn assert_batch_form(value: &PeerBatch, fixed: &str) {
    assert_form(
        value,
        fixed,
        |value| encode_peer_batch(value.clone()).unwrap(),
        |bytes| decode_peer_batch(bytes).unwrap(),
    );
}

fn assert_call_form(request: &JobCall, fixed: &str) {
    let message = PeerBatch::Call {
        call: CallId(300),
        cell: id("c1"),
        request: request.clone(),
    };
    assert_batch_form(&message, fixed);
}

forms! { assert_call_form:
    call_submit_urgent: JobCall::Submit(Box::new(urgent_spec()))
        => "0100ac0202633100026a3103726564067265636f64651f202122230001240100027b7d";
    call_submit_normal: JobCall::Submit(Box::new(spec(Priority::Normal, None, None)))
        => "0100ac0202633100026a3103726564067265636f64651f20212223010000027b7d";
    call_submit_background: JobCall::Submit(Box::new(
        spec(Priority::Background, None, Some(Spread::DataCentre)),
    )) => "0100ac0202633100026a3103726564067265636f64651f2021222302000101027b7d";
    call_query: JobCall::Query(id("j1")) => "0100ac0202633101026a31";
    call_cancel: JobCall::Cancel(vec![id("j1"), id("j2")]) => "0100ac020263310202026a31026a32";
    call_list_all: JobCall::List(None) => "0100ac020263310300";
    call_list_team: JobCall::List(Some(id("red"))) => "0100ac02026331030103726564";
}

fn assert_reply_form(reply: &JobReply, fixed: &str) {
    let message = PeerBatch::Reply {
        call: CallId(300),
        reply: reply.clone(),
    };
    assert_batch_form(&message, fixed);
}

forms! { assert_reply_form:
    reply_accepted: JobReply::Accepted(summary("j1", Priority::Urgent))
        => "0101ac0200026a310372656400010b0c0d0e0f10";
    reply_conflict: JobReply::Conflict(id("j1")) => "0101ac0201026a31";
    reply_rejected_tasks: JobReply::Rejected(RejectReason::Tasks { limit: 301 })
        => "0101ac020200ad02";
    reply_rejected_payload: JobReply::Rejected(RejectReason::Payload { limit: 302 })
        => "0101ac020201ae02";
    reply_rejected_too_large: JobReply::Rejected(
        RejectReason::TooLarge { largest: resources(61) },
    ) => "0101ac0202023d3e3f";
    reply_rejected_over_quota: JobReply::Rejected(
        RejectReason::OverQuota { quota: resources(71) },
    ) => "0101ac020203474849";
    reply_rejected_unknown_team: JobReply::Rejected(RejectReason::UnknownTeam) => "0101ac020204";
    reply_store_unavailable: JobReply::NotAccepted(NotAccepted::StoreUnavailable) => "0101ac020300";
    reply_no_owner: JobReply::NotAccepted(NotAccepted::NoOwner) => "0101ac020301";
    reply_cell_full: JobReply::NotAccepted(NotAccepted::CellFull) => "0101ac020302";
    reply_cell_stopped: JobReply::NotAccepted(NotAccepted::CellStopped) => "0101ac020303";
    reply_no_cells: JobReply::NotAccepted(NotAccepted::NoCells) => "0101ac020304";
    reply_held_elsewhere: JobReply::NotAccepted(NotAccepted::HeldElsewhere) => "0101ac020305";
    reply_unknown: JobReply::Unknown => "0101ac0204";
    reply_status: JobReply::Status(Box::new(JobStatus {
        summary: summary("j1", Priority::Normal),
        cell: id("c1"),
        tasks: vec![
            TaskStatus {
                index: 17,
                attempt: Attempt(18),
                worker: Some(id("w1")),
                decision: "placed".into(),
            },
            TaskStatus { index: 19, attempt: Attempt(20), worker: None, decision: "waits".into() },
        ],
    })) => "
        0101ac0205026a310372656401010b0c0d0e0f100263310211120102773106706c616365641314000577
        61697473
    ";
    reply_not_found: JobReply::NotFound(id("j1")) => "0101ac0206026a31";
    reply_cancelled: JobReply::Cancelled(vec![summary("j1", Priority::Background)])
        => "0101ac020701026a310372656402010b0c0d0e0f10";
    reply_listing: JobReply::Listing(
        vec![summary("j1", Priority::Urgent), summary("j2", Priority::Normal)],
    ) => "
        0101ac020802026a310372656400010b0c0d0e0f10026a320372656401010b0c0d0e0f10
    ";
}

fn ticket() -> Ticket {
    Ticket {
        epoch: Epoch(91),
        issued: Timestamp(92),
    }
}

fn share_report(team: &str, wants_more: bool) -> ShareReport {
    ShareReport {
        team: id(team),
        share: share(93),
        used: resources(94),
        wants_more,
        capped: !wants_more,
    }
}

fn assert_hand_off_form(message: &HandOff, fixed: &str) {
    let message = PeerBatch::HandOff {
        cell: id("c1"),
        message: message.clone(),
    };
    assert_batch_form(&message, fixed);
}

forms! { assert_batch_form:
    free_capacity: PeerBatch::FreeCapacity {
        cell: id("c1"),
        free_capacity: FreeCapacity {
            ticket: ticket(),
            free: vec![resources(101), resources(104)],
            waiting: 107,
            shares: vec![share_report("red", true), share_report("blue", false)],
        },
    } => "
        01020263315b5c0265666768696a6b02037265645d5152535e5f60010004626c75655d5152535e5f6000
        01
    ";
}

fn share_order(cap: Option<Resources>) -> HandOff {
    HandOff::Share(Box::new(ShareOrder {
        from: id("c2"),
        team: id("red"),
        share: share(95),
        cap,
    }))
}

forms! { assert_hand_off_form:
    hand_off_offer: HandOff::Offer(Box::new(Offer {
        from: id("c2"),
        epoch: Epoch(90),
        ticket: ticket(),
        spec: urgent_spec(),
        cancelled: true,
        tasks: last_task(),
    })) => "
        0103026331000263325a5b5c026a3103726564067265636f64651f202122230001240100027b7d010146
        002a01057361766564020277340277352b
    ";
    hand_off_return: HandOff::Return(Box::new(ReturnedTasks {
        from: id("c2"),
        epoch: Epoch(90),
        job: id("j1"),
        tasks: tasks(),
    })) => "
        0103026331010263325a026a310d32000000000033010277310000000000340102773101000000000035
        010277310101000000003601027731010200000000370102773101030000000038010277310104000000
        003902000000003a03000000003b040002027732027733000000003c040129000000003d050263320100
        00000046002a01057361766564020277340277352b
    ";
    hand_off_acknowledged: HandOff::Acknowledged {
        from: id("c2"),
        tasks: vec![(task_id(96), Attempt(97)), (task_id(98), Attempt(99))],
    } => "01030263310202633202026a326061026a326263";
    hand_off_share: share_order(Some(resources(108)))
        => "010302633103026332037265645f515253016c6d6e";
    hand_off_share_without_cap: share_order(None) => "010302633103026332037265645f51525300";
}

fn assert_record_form(changes: &[Change], fixed: &str) {
    let record = Record {
        writer: member("a", 300),
        sequence: 301,
        changes: changes.to_vec(),
    };
    assert_form(
        &record,
        fixed,
        |record| encode_record(record.clone()).unwrap(),
        |bytes| decode_record(STORE_KEY, bytes).unwrap(),
    );
}

fn ended(end: AttemptEnd) -> Change {
    Change::Ended {
        task: task_id(121),
        attempt: Attempt(122),
        end,
    }
}

fn stopping(reason: StopReason) -> Change {
    Change::Stopping {
        task: task_id(123),
        attempt: Attempt(124),
        reason,
    }
}

forms! { assert_record_form:
    record_taken_over: [Change::TakenOver(Epoch(111))] => "020161ac02ad0201006f";
    record_admitted: [Change::Admitted(Box::new(urgent_spec()))] => "
        020161ac02ad020101026a3103726564067265636f64651f202122230001240100027b7d
    ";
    record_cancelled: [Change::Cancelled(id("j1"))] => "020161ac02ad020102026a31";
    record_placed: [Change::Placed {
        task: task_id(112),
        attempt: Attempt(113),
        worker: id("w1"),
    }] => "020161ac02ad020103026a327071027731";
    record_stopping: [
        stopping(StopReason::Cancelled),
        stopping(StopReason::Displaced),
        stopping(StopReason::Interference),
        stopping(StopReason::WorkerLeaving),
        stopping(StopReason::MemoryExceeded),
    ] => "
        020161ac02ad020504026a327b7c0004026a327b7c0104026a327b7c0204026a327b7c0304026a327b7c
        04
    ";
    record_ended: [
        ended(AttemptEnd::Finished),
        ended(AttemptEnd::Failed),
        ended(AttemptEnd::Stopped { checkpoint: None }),
        ended(AttemptEnd::Stopped { checkpoint: Some("saved".into()) }),
        ended(AttemptEnd::Lapsed),
        ended(AttemptEnd::Refused),
    ] => "
        020161ac02ad020605026a32797a0005026a32797a0105026a32797a020005026a32797a020105736176
        656405026a32797a0305026a32797a04
    ";
    record_sent: [Change::Sent {
        task: task_id(114),
        attempt: Attempt(115),
        to: id("c2"),
    }] => "020161ac02ad020106026a327273026332";
    record_received: [Change::Received(Box::new(Received {
        spec: spec(Priority::Normal, None, Some(Spread::DataCentre)),
        origin: Origin { cell: id("c3"), epoch: Epoch(116) },
        cancelled: true,
        tasks: tasks(),
    }))] => "
        020161ac02ad020107026a3103726564067265636f64651f2021222301000101027b7d02633374010d32
        000000000033010277310000000000340102773101000000000035010277310101000000003601027731
        010200000000370102773101030000000038010277310104000000003902000000003a03000000003b04
        0002027732027733000000003c040129000000003d05026332010000000046002a010573617665640202
        77340277352b
    ";
    record_returned: [Change::Returned { job: id("j1"), tasks: last_task() }]
        => "020161ac02ad020108026a310146002a01057361766564020277340277352b";
    record_granted: [Change::Granted {
        team: id("red"),
        cell: id("c2"),
        share: share(117),
    }] => "020161ac02ad02010a0372656402633275515253";
    record_allowed: [Change::Allowed { team: id("red"), share: share(118) }]
        => "020161ac02ad02010b0372656476515253";
    record_acknowledged: [Change::Acknowledged {
        task: task_id(119),
        attempt: Attempt(120),
    }] => "020161ac02ad020109026a327778";
}

fn snapshot() -> Snapshot {
    let job = |order, ended, origin| Job {
        spec: urgent_spec(),
        order,
        cancelled: true,
        ended,
        origin,
        tasks: last_task().into_iter().collect(),
    };
    let origin = Origin {
        cell: id("c3"),
        epoch: Epoch(106),
    };
    Snapshot {
        through: 101,
        epoch: Epoch(102),
        next_order: 103,
        next_ended: 104,
        jobs: vec![job(105, Some(107), Some(origin)), job(108, None, None)],
        failing: vec![(id("w1"), 109), (id("w2"), 110)],
        granted: BTreeMap::from([
            (
                id("blue"),
                BTreeMap::from([(id("c2"), share(111)), (id("c3"), share(112))]),
            ),
            (id("red"), BTreeMap::from([(id("c4"), share(113))])),
        ]),
        allowed: BTreeMap::from([(id("green"), share(114)), (id("red"), share(115))]),
    }
}

fn assert_snapshot_form(value: &Snapshot, fixed: &str) {
    assert_form(
        value,
        fixed,
        |value| encode_snapshot(value.clone()).unwrap(),
        |bytes| decode_snapshot(STORE_KEY, bytes).unwrap(),
    );
}

forms! { assert_snapshot_form:
    stored_snapshot: snapshot() => "
        026566676802026a3103726564067265636f64651f202122230001240100027b7d6901016b010263336a
        0146002a01057361766564020277340277352b026a3103726564067265636f64651f2021222300012401
        00027b7d6c0100000146002a01057361766564020277340277352b020277316d0277326e0304626c7565
        0263326f51525304626c75650263337051525303726564026334715152530205677265656e7251525303
        72656473515253
    ";
}

fn assert_manifest_form(value: &Manifest, fixed: &str) {
    assert_form(
        value,
        fixed,
        |value| encode_manifest(value).unwrap(),
        |bytes| decode_manifest(STORE_KEY, bytes).unwrap(),
    );
}

forms! { assert_manifest_form:
    stored_manifest: Manifest { through: 300, parts: 3, inline: b"inline".to_vec() }
        => "02ac020306696e6c696e65";
}
