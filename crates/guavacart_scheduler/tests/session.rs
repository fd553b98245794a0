//! A golden test of a whole session of one instance: all events and their effects.

use std::fmt::Write;

use guavacart_config::{Configuration, Service, Team};
use guavacart_scheduler::{
    Effect, Event, Start, State,
    config::{ConfigEffect, ConfigEvent},
    directory::{ListedInstance, Role},
    membership::{MAX_TICK_INTERVAL, Member, MembershipEffect, MembershipEvent, Swap},
    request::{DispatchEnd, ProbeReport, RequestEffect, RequestEvent, RequestHead},
};
use guavacart_types::{
    ByteSize, CallId, Class, ConfigNumber, DispatchId, Incarnation, Revision, Span, Timestamp,
};

/// One instance with a platform that always answers, and the record of events and effects.
struct Session {
    state: State,
    now: Timestamp,
    revision: Revision,
    record: String,
}

impl Session {
    fn start() -> Self {
        let member = Member {
            id: "e1".parse().expect("an id"),
            incarnation: Incarnation(1),
        };
        let start = Start {
            member,
            data_centre: "dc1".parse().expect("a data centre"),
            now: Timestamp(0),
            linger: Span::millis(200),
        };
        Self {
            state: State::new(&start),
            now: Timestamp(0),
            revision: Revision(0),
            record: String::new(),
        }
    }

    /// Applies an event, records it with its effects and applies the platform's answers.
    fn apply(&mut self, event: Event) {
        let effects = self.state.apply(self.now, event.clone());
        let is_recorded = event != Event::Tick || !effects.is_empty();
        if is_recorded {
            self.write('>', &event);
        }
        for effect in &effects {
            self.write('<', effect);
        }
        let answers: Vec<Event> = effects.iter().filter_map(|e| self.answer(e)).collect();
        answers.into_iter().for_each(|answer| self.apply(answer));
    }

    fn write<T: serde::Serialize>(&mut self, mark: char, value: &T) {
        let line = serde_json::to_string(value).expect("events and effects have a JSON form");
        writeln!(self.record, "{:>6} {mark} {line}", self.now.0)
            .expect("writing to a string does not fail");
    }

    /// Advances time by `span`, with a tick at each interval.
    fn wait(&mut self, span: Span) {
        let until = self.now + span;
        while self.now < until {
            self.now = self.now + MAX_TICK_INTERVAL;
            self.apply(Event::Tick);
        }
    }

    /// Returns the answer of the platform or the endpoint to an effect.
    fn answer(&mut self, effect: &Effect) -> Option<Event> {
        match effect {
            Effect::Membership(effect) => self.answer_membership(effect).map(Event::Membership),
            Effect::Config(ConfigEffect::ReadStore) => {
                let configuration = Box::new(configuration());
                Some(Event::Config(ConfigEvent::Read(configuration)))
            }
            Effect::Request(RequestEffect::Probe { endpoint, .. }) => {
                let report = ProbeReport {
                    busy: 0,
                    leaving: false,
                };
                Some(Event::Request(RequestEvent::Probed {
                    endpoint: endpoint.clone(),
                    requested_at: self.now,
                    report: Some(report),
                }))
            }
            _ => None,
        }
    }

    fn answer_membership(&mut self, effect: &MembershipEffect) -> Option<MembershipEvent> {
        match effect {
            MembershipEffect::ReadView => Some(MembershipEvent::ViewRead {
                requested_at: self.now,
                view: (self.revision > Revision(0)).then(|| self.state.membership().view().clone()),
                revision: self.revision,
            }),
            MembershipEffect::SwapView { view, .. } => {
                self.revision = self.revision.next();
                let written = Swap::Written(view.clone(), self.revision);
                Some(MembershipEvent::ViewSwapEnded(written))
            }
            _ => None,
        }
    }

    fn arrive(&mut self, call: u64, id: &str, idempotent: bool) {
        let head = RequestHead {
            service: "engine".parse().expect("a service"),
            team: "north".parse().expect("a team"),
            class: Class::Short,
            id: id.parse().expect("a request id"),
            idempotent,
            deadline: Span::millis(500),
            size: ByteSize(100),
        };
        let call = CallId(call);
        self.apply(Event::Request(RequestEvent::Arrived { call, head }));
    }

    fn end_dispatch(&mut self, dispatch: u64, end: DispatchEnd) {
        let dispatch = DispatchId(dispatch);
        self.apply(Event::Request(RequestEvent::DispatchEnded {
            dispatch,
            end,
        }));
    }
}

fn configuration() -> Configuration {
    let mut configuration = Configuration {
        number: ConfigNumber(1),
        ..Configuration::default()
    };
    let service = "engine".parse().expect("a service");
    configuration.services.insert(service, Service::default());
    let team = "north".parse().expect("a team");
    configuration.teams.insert(team, Team::default());
    configuration
}

fn listed() -> Vec<ListedInstance> {
    let listed_instance = |port, role| ListedInstance {
        data_centre: "dc1".parse().expect("a data centre"),
        address: ([127, 0, 0, 1], port).into(),
        leaving: false,
        role,
    };
    let entry = Role::Entry {
        id: "e1".parse().expect("an id"),
    };
    let endpoint = Role::Endpoint {
        id: "x1".parse().expect("an endpoint"),
        service: "engine".parse().expect("a service"),
        worker: None,
    };
    vec![listed_instance(1, entry), listed_instance(2, endpoint)]
}

#[test]
fn one_instance_from_start_to_stop() {
    let mut session = Session::start();
    session.apply(Event::ListRead(listed()));
    session.wait(Span::millis(1_500));
    session.arrive(1, "answered", false);
    session.now = session.now + Span::millis(30);
    session.end_dispatch(1, DispatchEnd::Answered);
    session.arrive(2, "answered", false);
    session.arrive(3, "broken", false);
    session.end_dispatch(2, DispatchEnd::Broken);
    session.arrive(4, "retried", true);
    session.end_dispatch(3, DispatchEnd::Busy);
    session.wait(Span::millis(100));
    session.end_dispatch(4, DispatchEnd::Answered);
    session.arrive(5, "late", true);
    session.wait(Span::millis(600));
    session.end_dispatch(5, DispatchEnd::Answered);
    session.apply(Event::StopRequested);
    session.wait(Span::millis(300));
    insta::assert_snapshot!(session.record);
}
