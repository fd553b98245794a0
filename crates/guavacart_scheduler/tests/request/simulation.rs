//! A simulated deployment: several reducers with a network, a store and endpoints, under one clock.
//!
//! All times are in milliseconds. Events are delivered in order of time, with delays and faults drawn
//! from the seed, so a run can be repeated exactly.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
    str::FromStr,
};

use guavacart_config::{Configuration, Service, Team};
use guavacart_scheduler::{
    Effect, Event, Start, State,
    config::{ConfigEffect, ConfigEvent},
    directory::{ListedInstance, Role},
    membership::{Member, MembershipEffect, MembershipEvent, Swap, View},
    request::{Body, DispatchEnd, ProbeReport, RequestEffect, RequestEvent, RequestHead},
};
use guavacart_types::{
    ByteSize, CallId, Class, ConfigNumber, DispatchId, Incarnation, InstanceId, Outcome, Revision,
    Span, Timestamp, deterministic_random,
};

/// Delay until an instance list reaches the instances. It is the same for all lists, so that an older
/// list never arrives after a newer one.
const LIST_DELAY_MS: u64 = 100;

/// The size of the deployment and the rates of its faults.
#[derive(Clone, Debug)]
pub(crate) struct Setup {
    /// Seed of all random draws.
    pub(crate) seed: u64,
    pub(crate) instances: usize,
    pub(crate) endpoints: usize,
    pub(crate) service: Service,
    /// Share of the connections to endpoints that break, in percent.
    pub(crate) broken_percent: u64,
    /// Share of the heartbeats and messages between instances that are lost, in percent.
    pub(crate) lost_percent: u64,
}

impl Default for Setup {
    fn default() -> Self {
        let service = Service {
            slots: 4,
            short_slots: 1,
            ..Service::default()
        };
        Self {
            seed: 1,
            instances: 3,
            endpoints: 6,
            service,
            broken_percent: 0,
            lost_percent: 0,
        }
    }
}

/// A request that a caller sent, and its answers.
#[derive(Clone, Debug)]
pub(crate) struct Sent {
    pub(crate) at: u64,
    pub(crate) head: RequestHead,
    /// Times and outcomes of the answers that the caller received.
    pub(crate) answers: Vec<(u64, Outcome)>,
    /// How often an endpoint started the request.
    pub(crate) runs: u32,
}

/// Something that happens at a scheduled time. Events and ticks are for one incarnation of an
/// instance.
#[derive(Debug)]
enum Scheduled {
    Event(usize, u64, Box<Event>),
    Tick(usize, u64),
    RequestArrives(EndpointRequest),
    RequestEnds(usize, EndpointRequest),
}

/// A request that is on its way to an endpoint or running there.
#[derive(Clone, Debug)]
struct EndpointRequest {
    instance: usize,
    incarnation: u64,
    dispatch: DispatchId,
    /// Index of the caller's request in `sent`.
    sent_index: usize,
    endpoint: usize,
    /// True if the connection breaks while the request runs.
    connection_breaks: bool,
}

/// An entry instance; it has no state while its process is down.
struct Instance {
    state: Option<State>,
    incarnation: u64,
    paused_until: u64,
    /// Number of the last call id that was given out.
    calls: u64,
    /// Index in `sent` of the caller's request, by the instance's id of the call.
    sent_indexes: BTreeMap<CallId, usize>,
    /// For each forwarded call: the forwarding instance, its incarnation and its id of the call.
    origins: BTreeMap<CallId, (usize, u64, CallId)>,
}

/// The simulated deployment.
pub(crate) struct Simulation {
    pub(crate) setup: Setup,
    pub(crate) now: u64,
    pub(crate) sent: Vec<Sent>,
    /// Descriptions of the guarantees that were broken.
    pub(crate) violations: Vec<String>,
    /// How often an endpoint started each request id.
    pub(crate) runs_by_id: BTreeMap<String, u32>,
    pub(crate) most_running: usize,
    instances: Vec<Instance>,
    /// The requests that each endpoint is running, by instance, incarnation and dispatch.
    running: Vec<BTreeMap<(usize, u64, DispatchId), ()>>,
    leaving: BTreeSet<usize>,
    view: Option<View>,
    revision: u64,
    pub(crate) store_down: bool,
    /// Times and sequence numbers of what is scheduled.
    schedule_order: BinaryHeap<Reverse<(u64, u64)>>,
    /// What is scheduled, by sequence number.
    scheduled: BTreeMap<u64, Scheduled>,
    seq: u64,
    draws: u64,
}

impl Simulation {
    pub(crate) fn new(setup: Setup) -> Self {
        let endpoints = setup.endpoints;
        let mut simulation = Self {
            now: 1_000,
            sent: Vec::new(),
            violations: Vec::new(),
            runs_by_id: BTreeMap::new(),
            most_running: 0,
            instances: Vec::new(),
            running: vec![BTreeMap::new(); endpoints],
            leaving: BTreeSet::new(),
            view: None,
            revision: 0,
            store_down: false,
            schedule_order: BinaryHeap::new(),
            scheduled: BTreeMap::new(),
            seq: 0,
            draws: 0,
            setup,
        };
        for _ in 0..simulation.setup.instances {
            simulation.instances.push(Instance {
                state: None,
                incarnation: 0,
                paused_until: 0,
                calls: 0,
                sent_indexes: BTreeMap::new(),
                origins: BTreeMap::new(),
            });
        }
        for instance in 0..simulation.setup.instances {
            simulation.start(instance);
        }
        simulation
    }

    /// Draws a pseudorandom number less than `below`.
    pub(crate) fn draw(&mut self, below: u64) -> u64 {
        self.draws += 1;
        deterministic_random(self.setup.seed, self.draws) % below.max(1)
    }

    /// Starts a new incarnation of an instance.
    pub(crate) fn start(&mut self, instance: usize) {
        self.instances[instance].incarnation += 1;
        let incarnation = self.instances[instance].incarnation;
        let start = Start {
            member: Member {
                id: instance_id(instance),
                incarnation: Incarnation(incarnation),
            },
            data_centre: id("dc"),
            now: Timestamp(self.now),
            linger: Span::ZERO,
        };
        let entry = &mut self.instances[instance];
        entry.state = Some(State::new(&start));
        entry.sent_indexes.clear();
        entry.origins.clear();
        entry.calls = 0;
        self.schedule(1, Scheduled::Tick(instance, incarnation));
        self.publish_list();
    }

    /// Ends an instance's process at once; its peers notice the broken links.
    pub(crate) fn kill(&mut self, instance: usize) {
        self.instances[instance].state = None;
        for peer in 0..self.instances.len() {
            let lost = RequestEvent::PeerLost {
                peer: instance_id(instance),
            };
            self.schedule_event(peer, 3, Event::Request(lost));
        }
        self.publish_list();
    }

    pub(crate) fn is_up(&self, instance: usize) -> bool {
        self.instances[instance].state.is_some()
    }

    /// Stalls an instance's process; it handles the events of that time afterwards, but not the
    /// ticks.
    pub(crate) fn pause(&mut self, instance: usize, ms: u64) {
        self.instances[instance].paused_until = self.now + ms;
    }

    /// Makes an endpoint refuse new requests because it is leaving.
    pub(crate) fn leave_endpoint(&mut self, endpoint: usize) {
        self.leaving.insert(endpoint);
    }

    /// Sends a caller's request to an instance and returns its index in `sent`, or `None` if the
    /// instance is down.
    pub(crate) fn send(&mut self, instance: usize, head: RequestHead) -> Option<usize> {
        let sent_index = self.sent.len();
        let entry = &mut self.instances[instance];
        entry.state.as_ref()?;
        entry.calls += 1;
        let call = CallId(entry.calls);
        entry.sent_indexes.insert(call, sent_index);
        self.sent.push(Sent {
            at: self.now,
            head: head.clone(),
            answers: Vec::new(),
            runs: 0,
        });
        let event = RequestEvent::Arrived { call, head };
        self.schedule_event(instance, 0, Event::Request(event));
        Some(sent_index)
    }

    /// Runs the simulation until the time `until`.
    pub(crate) fn run(&mut self, until: u64) {
        while let Some(Reverse((at, seq))) = self.schedule_order.peek().copied() {
            if at > until {
                break;
            }
            self.schedule_order.pop();
            self.now = self.now.max(at);
            if let Some(scheduled) = self.scheduled.remove(&seq) {
                self.step(scheduled);
            }
        }
        self.now = until;
    }

    fn step(&mut self, scheduled: Scheduled) {
        match scheduled {
            Scheduled::Tick(instance, incarnation) => {
                if self.instances[instance].incarnation == incarnation && self.is_up(instance) {
                    self.schedule(50, Scheduled::Tick(instance, incarnation));
                    self.deliver(instance, incarnation, Event::Tick);
                }
            }
            Scheduled::Event(to, incarnation, event) => self.deliver(to, incarnation, *event),
            Scheduled::RequestArrives(request) => self.request_arrives(request),
            Scheduled::RequestEnds(at, request) => self.request_ends(at, request),
        }
    }

    fn deliver(&mut self, instance: usize, incarnation: u64, event: Event) {
        if self.instances[instance].incarnation != incarnation {
            return;
        }
        if self.instances[instance].paused_until > self.now {
            if !matches!(event, Event::Tick) {
                let wait = self.instances[instance].paused_until - self.now;
                self.schedule(
                    wait,
                    Scheduled::Event(instance, incarnation, Box::new(event)),
                );
            }
            return;
        }
        let Some(state) = self.instances[instance].state.as_mut() else {
            return;
        };
        for effect in state.apply(Timestamp(self.now), event) {
            self.apply_effect(instance, effect);
        }
    }

    fn apply_effect(&mut self, instance: usize, effect: Effect) {
        match effect {
            Effect::Membership(effect) => self.apply_membership(instance, effect),
            Effect::Request(effect) => self.apply_request(instance, effect),
            Effect::Config(ConfigEffect::ReadStore) => {
                let configuration = Box::new(configuration(&self.setup.service));
                self.schedule_event(instance, 2, Event::Config(ConfigEvent::Read(configuration)));
            }
            _ => {}
        }
    }

    fn apply_membership(&mut self, instance: usize, effect: MembershipEffect) {
        let event = match effect {
            MembershipEffect::SendHeartbeat { to, heartbeat } => {
                let Some(to) = index_of(&to) else { return };
                if self.draw(100) >= self.setup.lost_percent {
                    let delay = 1 + self.draw(5);
                    let event = MembershipEvent::Heartbeat(heartbeat);
                    self.schedule_event(to, delay, Event::Membership(event));
                }
                return;
            }
            MembershipEffect::ReadView if self.store_down => MembershipEvent::ViewReadFailed,
            MembershipEffect::ReadView => MembershipEvent::ViewRead {
                requested_at: Timestamp(self.now),
                view: self.view.clone(),
                revision: Revision(self.revision),
            },
            MembershipEffect::SwapView { .. } if self.store_down => {
                MembershipEvent::ViewSwapEnded(Swap::Unknown)
            }
            MembershipEffect::SwapView { expect, view } if expect.0 == self.revision => {
                self.revision += 1;
                self.view = Some(*view.clone());
                MembershipEvent::ViewSwapEnded(Swap::Written(view, Revision(self.revision)))
            }
            MembershipEffect::SwapView { .. } => MembershipEvent::ViewSwapEnded(Swap::Conflict),
            MembershipEffect::ViewAdopted(_) => return,
        };
        let delay = 2 + self.draw(4);
        self.schedule_event(instance, delay, Event::Membership(event));
    }

    fn apply_request(&mut self, instance: usize, effect: RequestEffect) {
        match effect {
            RequestEffect::Dispatch {
                dispatch,
                call,
                address,
                valid_until,
                ..
            } => {
                assert!(
                    valid_until.0 > self.now,
                    "dispatched without an ownership lease"
                );
                let Some(sent_index) = self.instances[instance].sent_indexes.get(&call).copied()
                else {
                    self.violations
                        .push(format!("{call} dispatched after its end"));
                    return;
                };
                let connection_breaks = self.draw(100) < self.setup.broken_percent;
                let request = EndpointRequest {
                    instance,
                    incarnation: self.instances[instance].incarnation,
                    dispatch,
                    sent_index,
                    endpoint: usize::from(address.port()) - 1,
                    connection_breaks,
                };
                let delay = 1 + self.draw(3);
                self.schedule(delay, Scheduled::RequestArrives(request));
            }
            RequestEffect::Forward { call, to, head } => self.forward(instance, call, &to, head),
            RequestEffect::Answer {
                call,
                outcome,
                body,
            } => self.answer(instance, call, outcome, body),
            RequestEffect::SendToPeer { to, message } => {
                let Some(to) = index_of(&to) else { return };
                if self.draw(100) >= self.setup.lost_percent {
                    let from = instance_id(instance);
                    let delay = 1 + self.draw(5);
                    let event = RequestEvent::Peer { from, message };
                    self.schedule_event(to, delay, Event::Request(event));
                }
            }
            RequestEffect::Probe { endpoint, address } => {
                let index = usize::from(address.port()) - 1;
                let report = ProbeReport {
                    busy: self.running[index].len() as u32,
                    leaving: self.leaving.contains(&index),
                };
                let event = RequestEvent::Probed {
                    endpoint,
                    requested_at: Timestamp(self.now),
                    report: Some(report),
                };
                let delay = 2 + self.draw(4);
                self.schedule_event(instance, delay, Event::Request(event));
            }
            RequestEffect::Discard { .. } | RequestEffect::Count(_) => {}
        }
    }

    fn forward(&mut self, instance: usize, call: CallId, to: &InstanceId, head: RequestHead) {
        let Some(to) = index_of(to) else { return };
        let Some(sent_index) = self.instances[instance].sent_indexes.get(&call).copied() else {
            self.violations
                .push(format!("{call} forwarded after its end"));
            return;
        };
        let incarnation = self.instances[instance].incarnation;
        let peer = &mut self.instances[to];
        if peer.state.is_none() {
            let lost = RequestEvent::PeerLost {
                peer: instance_id(to),
            };
            return self.schedule_event(instance, 3, Event::Request(lost));
        }
        peer.calls += 1;
        let remote_call = CallId(peer.calls);
        peer.sent_indexes.insert(remote_call, sent_index);
        peer.origins
            .insert(remote_call, (instance, incarnation, call));
        let event = RequestEvent::ForwardArrived {
            call: remote_call,
            from: instance_id(instance),
            remote: call,
            head,
        };
        let delay = 1 + self.draw(3);
        self.schedule_event(to, delay, Event::Request(event));
    }

    fn answer(&mut self, instance: usize, call: CallId, outcome: Outcome, body: Body) {
        let entry = &mut self.instances[instance];
        let Some(sent_index) = entry.sent_indexes.remove(&call) else {
            self.violations.push(format!("{call} answered twice"));
            return;
        };
        assert!(outcome != Outcome::Answered || body != Body::None);
        let Some((origin, incarnation, remote)) = entry.origins.remove(&call) else {
            let at = self.now;
            self.sent[sent_index].answers.push((at, outcome));
            self.check_not_run(sent_index);
            return;
        };
        let load = self.instances[instance]
            .state
            .as_ref()
            .expect("the answering instance is up")
            .requests()
            .load();
        let event = RequestEvent::ForwardEnded {
            call: remote,
            from: instance_id(instance),
            outcome,
            load,
        };
        if self.instances[origin].incarnation == incarnation {
            let delay = 1 + self.draw(3);
            self.schedule_event(origin, delay, Event::Request(event));
        }
    }

    fn request_arrives(&mut self, request: EndpointRequest) {
        let key = (request.instance, request.incarnation, request.dispatch);
        let endpoint = request.endpoint;
        if self.leaving.contains(&endpoint) {
            return self.dispatch_ended(&request, DispatchEnd::Leaving);
        }
        self.running[endpoint].insert(key, ());
        let running = self.running[endpoint].len();
        self.most_running = self.most_running.max(running);
        if running > self.setup.service.slots as usize {
            let now = self.now;
            let text = format!("endpoint {endpoint} runs {running} requests at {now}");
            self.violations.push(text);
        }
        let sent = &mut self.sent[request.sent_index];
        sent.runs += 1;
        let head = sent.head.clone();
        *self.runs_by_id.entry(head.id.to_string()).or_default() += 1;
        let runs = self.runs_by_id[head.id.as_str()];
        if !head.idempotent && runs > 1 {
            self.violations
                .push(format!("{} ran {runs} times", head.id));
        }
        self.check_not_run(request.sent_index);
        let took = match head.class {
            Class::Short => 10 + self.draw(20),
            Class::Long => 300 + self.draw(400),
        };
        if request.connection_breaks {
            self.dispatch_ended(&request, DispatchEnd::Broken);
        }
        self.schedule(took, Scheduled::RequestEnds(endpoint, request));
    }

    fn request_ends(&mut self, endpoint: usize, request: EndpointRequest) {
        let key = (request.instance, request.incarnation, request.dispatch);
        self.running[endpoint].remove(&key);
        if !request.connection_breaks {
            self.dispatch_ended(&request, DispatchEnd::Answered);
        }
    }

    fn dispatch_ended(&mut self, request: &EndpointRequest, end: DispatchEnd) {
        if self.instances[request.instance].incarnation != request.incarnation {
            return;
        }
        let dispatch = request.dispatch;
        let event = RequestEvent::DispatchEnded { dispatch, end };
        let delay = 1 + self.draw(3);
        self.schedule_event(request.instance, delay, Event::Request(event));
    }

    /// Records a violation if a request was answered as not run but an endpoint has started it.
    fn check_not_run(&mut self, sent_index: usize) {
        let sent = &self.sent[sent_index];
        let refused = sent
            .answers
            .iter()
            .any(|(_, o)| matches!(o, Outcome::NotRun(_)));
        if refused && sent.runs > 0 {
            let text = format!("{} ran but was answered {:?}", sent.head.id, sent.answers);
            self.violations.push(text);
        }
    }

    /// Sends the instance list to all instances.
    fn publish_list(&mut self) {
        let mut listed = Vec::new();
        let listed_instance = |port: u16, role| ListedInstance {
            data_centre: id("dc"),
            address: ([127, 0, 0, 1], port).into(),
            leaving: false,
            role,
        };
        for (i, instance) in self.instances.iter().enumerate() {
            if instance.state.is_some() {
                listed.push(listed_instance(
                    60_000 + i as u16,
                    Role::Entry { id: instance_id(i) },
                ));
            }
        }
        for i in 0..self.setup.endpoints {
            let role = Role::Endpoint {
                id: id(&format!("e{i}")),
                service: id("quote"),
                worker: None,
            };
            listed.push(listed_instance(i as u16 + 1, role));
        }
        for instance in 0..self.instances.len() {
            self.schedule_event(instance, LIST_DELAY_MS, Event::ListRead(listed.clone()));
        }
    }

    /// Schedules an event for the current incarnation of an instance.
    fn schedule_event(&mut self, instance: usize, delay: u64, event: Event) {
        let incarnation = self.instances[instance].incarnation;
        self.schedule(
            delay,
            Scheduled::Event(instance, incarnation, Box::new(event)),
        );
    }

    /// Schedules something to happen after `delay`.
    fn schedule(&mut self, delay: u64, scheduled: Scheduled) {
        self.seq += 1;
        self.schedule_order
            .push(Reverse((self.now + delay, self.seq)));
        self.scheduled.insert(self.seq, scheduled);
    }
}

/// Parses an id of any type.
fn id<T: FromStr>(text: &str) -> T {
    text.parse().ok().expect("the tests' ids are valid")
}

/// A request of the service `quote`.
pub(crate) fn head(request: &str, team: &str, class: Class, idempotent: bool) -> RequestHead {
    RequestHead {
        service: id("quote"),
        team: id(team),
        class,
        id: self::id(request),
        idempotent,
        deadline: Span::secs(3),
        size: ByteSize::kib(1),
    }
}

fn configuration(service: &Service) -> Configuration {
    let mut configuration = Configuration {
        number: ConfigNumber(1),
        ..Configuration::default()
    };
    let name = id("quote");
    configuration.services.insert(name, service.clone());
    for team in ["red", "blue"] {
        let name = id(team);
        configuration.teams.insert(name, Team::default());
    }
    configuration
}

/// Returns the id of an instance by its index.
fn instance_id(instance: usize) -> InstanceId {
    id(&format!("i{instance}"))
}

/// Returns the index of the instance with an id.
fn index_of(id: &InstanceId) -> Option<usize> {
    id.as_str().strip_prefix('i')?.parse().ok()
}
