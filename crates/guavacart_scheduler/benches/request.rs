//! Time that the reducer takes for one request, with 65 and with 1,200 endpoints.

#![expect(
    missing_docs,
    reason = "criterion_group generates a function without a doc comment"
)]

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use guavacart_config::{Configuration, Service, Team};
use guavacart_scheduler::{
    Effect, Event, Start, State,
    config::ConfigEvent,
    directory::{ListedInstance, Role},
    membership::{Member, MembershipEffect, MembershipEvent, Swap},
    request::{DispatchEnd, ProbeReport, RequestEffect, RequestEvent, RequestHead},
};
use guavacart_types::{
    ByteSize, CallId, Class, ConfigNumber, Incarnation, Revision, Span, Timestamp,
};

fn id<T: std::str::FromStr>(text: &str) -> T {
    text.parse()
        .ok()
        .expect("the ids in this benchmark are valid")
}

fn configuration() -> Box<Configuration> {
    let mut configuration = Configuration {
        number: ConfigNumber(1),
        ..Configuration::default()
    };
    let services = &mut configuration.services;
    services.insert(id("quote"), Service::default());
    configuration.teams.insert(id("red"), Team::default());
    Box::new(configuration)
}

fn listed(endpoints: u16) -> Vec<ListedInstance> {
    let listed_instance = |port: u16, role| ListedInstance {
        data_centre: id("dc"),
        address: ([127, 0, 0, 1], port).into(),
        leaving: false,
        role,
    };
    let endpoint = |i: u16| {
        let role = Role::Endpoint {
            id: id(&format!("e{i}")),
            service: id("quote"),
            worker: None,
        };
        listed_instance(i + 1, role)
    };
    let mut listed: Vec<ListedInstance> = (0..endpoints).map(endpoint).collect();
    listed.push(listed_instance(60_000, Role::Entry { id: id("i0") }));
    listed
}

/// Returns the answers of the store and the endpoints to the effects of an instance that starts.
fn answers(now: Timestamp, effects: Vec<Effect>) -> Vec<Event> {
    let answer = |effect| match effect {
        Effect::Membership(MembershipEffect::SwapView { view, .. }) => {
            let swap = Swap::Written(view, Revision(1));
            Some(Event::Membership(MembershipEvent::ViewSwapEnded(swap)))
        }
        Effect::Membership(MembershipEffect::ReadView) => {
            Some(Event::Membership(MembershipEvent::ViewRead {
                requested_at: now,
                view: None,
                revision: Revision(0),
            }))
        }
        Effect::Request(RequestEffect::Probe { endpoint, .. }) => {
            let report = ProbeReport {
                busy: 0,
                leaving: false,
            };
            Some(Event::Request(RequestEvent::Probed {
                endpoint,
                requested_at: now,
                report: Some(report),
            }))
        }
        _ => None,
    };
    effects.into_iter().filter_map(answer).collect()
}

/// Starts an instance that owns `endpoints` endpoints with all slots free.
fn ready(endpoints: u16) -> (State, Timestamp) {
    let mut now = Timestamp(1_000);
    let member = Member {
        id: id("i0"),
        incarnation: Incarnation(1),
    };
    let mut state = State::new(&Start {
        member,
        data_centre: id("dc"),
        now,
        linger: Span::ZERO,
    });
    let config = ConfigEvent::Read(configuration());
    state.apply(now, Event::Config(config));
    state.apply(now, Event::ListRead(listed(endpoints)));
    for _ in 0..40 {
        now = now + Span::millis(50);
        let effects = state.apply(now, Event::Tick);
        for event in answers(now, effects) {
            state.apply(now, event);
        }
    }
    let load = state.requests().load();
    assert_eq!(load.services[0].free, u32::from(endpoints) * 8);
    (state, now)
}

/// Applies the arrival of a request and the end of its dispatch.
fn one_request(state: &mut State, now: Timestamp, call: u64, head: &RequestHead) {
    let call = CallId(call);
    let head = head.clone();
    let effects = state.apply(now, Event::Request(RequestEvent::Arrived { call, head }));
    let Some(Effect::Request(RequestEffect::Dispatch { dispatch, .. })) = effects.first() else {
        panic!("not dispatched: {effects:?}");
    };
    let event = RequestEvent::DispatchEnded {
        dispatch: *dispatch,
        end: DispatchEnd::Answered,
    };
    state.apply(now, Event::Request(event));
}

fn request(c: &mut Criterion) {
    let mut group = c.benchmark_group("request");
    for endpoints in [65, 1_200] {
        let (mut state, now) = ready(endpoints);
        let head = RequestHead {
            service: id("quote"),
            team: id("red"),
            class: Class::Short,
            id: id("r"),
            idempotent: true,
            deadline: Span::secs(2),
            size: ByteSize::kib(1),
        };
        let mut call = 0;
        group.bench_function(BenchmarkId::from_parameter(endpoints), |b| {
            b.iter(|| {
                call += 1;
                one_request(&mut state, now, call, &head);
            });
        });
    }
    group.finish();
}

criterion_group!(benches, request);
criterion_main!(benches);
