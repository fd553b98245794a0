//! Several reducers wired by a small network, a store and endpoints, all under one clock.

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
    request::{Body, DispatchEnd, EndpointReport, RequestEffect, RequestEvent, RequestHead},
};
use guavacart_types::{
    ByteSize, CallId, Class, ConfigNumber, DispatchId, Incarnation, InstanceId, Outcome, Revision,
    Span, Timestamp, mix,
};

/// How late a list reaches an instance; the same for all, so that no older list comes last.
const LIST_DELAY_MS: u64 = 100;

/// What a run is made of.
#[derive(Clone, Debug)]
pub(crate) struct Setup {
    pub(crate) seed: u64,
    pub(crate) instances: usize,
    pub(crate) endpoints: usize,
    pub(crate) service: Service,
    /// Connections to endpoints that break, in percent.
    pub(crate) broken_percent: u64,
    /// Heartbeats and messages between instances that are lost, in percent.
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

/// A call of a caller and what became of it.
#[derive(Clone, Debug)]
pub(crate) struct Sent {
    pub(crate) at: u64,
    pub(crate) head: RequestHead,
    pub(crate) answers: Vec<(u64, Outcome)>,
    pub(crate) runs: u32,
}

#[derive(Debug)]
enum Due {
    Event(usize, u64, Box<Event>),
    Tick(usize, u64),
    Reaches(Flight),
    Ends(usize, Flight),
}

/// A request on its way to or at an endpoint.
#[derive(Clone, Debug)]
struct Flight {
    instance: usize,
    life: u64,
    dispatch: DispatchId,
    root: usize,
    endpoint: usize,
    breaks: bool,
}

struct Node {
    state: Option<State>,
    life: u64,
    paused_until: u64,
    calls: u64,
    /// The caller's call behind each of the instance's calls.
    roots: BTreeMap<CallId, usize>,
    /// Who forwarded a call, under which id.
    origins: BTreeMap<CallId, (usize, u64, CallId)>,
}

/// The whole model.
pub(crate) struct Model {
    pub(crate) setup: Setup,
    pub(crate) now: u64,
    pub(crate) sent: Vec<Sent>,
    pub(crate) violations: Vec<String>,
    /// Runs of each request id.
    pub(crate) runs_by_id: BTreeMap<String, u32>,
    pub(crate) most_running: usize,
    nodes: Vec<Node>,
    running: Vec<BTreeMap<(usize, u64, DispatchId), ()>>,
    leaving: BTreeSet<usize>,
    view: Option<View>,
    revision: u64,
    pub(crate) store_down: bool,
    heap: BinaryHeap<Reverse<(u64, u64)>>,
    due: BTreeMap<u64, Due>,
    seq: u64,
    draws: u64,
}

impl Model {
    pub(crate) fn new(setup: Setup) -> Self {
        let endpoints = setup.endpoints;
        let mut model = Self {
            now: 1_000,
            sent: Vec::new(),
            violations: Vec::new(),
            runs_by_id: BTreeMap::new(),
            most_running: 0,
            nodes: Vec::new(),
            running: vec![BTreeMap::new(); endpoints],
            leaving: BTreeSet::new(),
            view: None,
            revision: 0,
            store_down: false,
            heap: BinaryHeap::new(),
            due: BTreeMap::new(),
            seq: 0,
            draws: 0,
            setup,
        };
        for _ in 0..model.setup.instances {
            model.nodes.push(Node {
                state: None,
                life: 0,
                paused_until: 0,
                calls: 0,
                roots: BTreeMap::new(),
                origins: BTreeMap::new(),
            });
        }
        for node in 0..model.setup.instances {
            model.start(node);
        }
        model
    }

    pub(crate) fn draw(&mut self, below: u64) -> u64 {
        self.draws += 1;
        mix(self.setup.seed, self.draws) % below.max(1)
    }

    pub(crate) fn start(&mut self, node: usize) {
        self.nodes[node].life += 1;
        let life = self.nodes[node].life;
        let start = Start {
            member: Member {
                id: name(node),
                incarnation: Incarnation(life),
            },
            data_centre: id("dc"),
            now: Timestamp(self.now),
            linger: Span::ZERO,
        };
        let entry = &mut self.nodes[node];
        entry.state = Some(State::new(&start));
        entry.roots.clear();
        entry.origins.clear();
        entry.calls = 0;
        self.push(1, Due::Tick(node, life));
        self.list();
    }

    pub(crate) fn kill(&mut self, node: usize) {
        self.nodes[node].state = None;
        for peer in 0..self.nodes.len() {
            let lost = RequestEvent::PeerLost { peer: name(node) };
            self.post(peer, 3, Event::Request(lost));
        }
        self.list();
    }

    pub(crate) fn is_up(&self, node: usize) -> bool {
        self.nodes[node].state.is_some()
    }

    pub(crate) fn pause(&mut self, node: usize, ms: u64) {
        self.nodes[node].paused_until = self.now + ms;
    }

    pub(crate) fn leave_endpoint(&mut self, endpoint: usize) {
        self.leaving.insert(endpoint);
    }

    /// Sends a request to an instance; returns its place in `sent`.
    pub(crate) fn send(&mut self, node: usize, head: RequestHead) -> Option<usize> {
        let root = self.sent.len();
        let entry = &mut self.nodes[node];
        entry.state.as_ref()?;
        entry.calls += 1;
        let call = CallId(entry.calls);
        entry.roots.insert(call, root);
        self.sent.push(Sent {
            at: self.now,
            head: head.clone(),
            answers: Vec::new(),
            runs: 0,
        });
        let event = RequestEvent::Arrived { call, head };
        self.post(node, 0, Event::Request(event));
        Some(root)
    }

    /// Runs until the time `until`.
    pub(crate) fn run(&mut self, until: u64) {
        while let Some(Reverse((at, seq))) = self.heap.peek().copied() {
            if at > until {
                break;
            }
            self.heap.pop();
            self.now = self.now.max(at);
            if let Some(due) = self.due.remove(&seq) {
                self.step(due);
            }
        }
        self.now = until;
    }

    fn step(&mut self, due: Due) {
        match due {
            Due::Tick(node, life) => {
                if self.nodes[node].life == life && self.is_up(node) {
                    self.push(50, Due::Tick(node, life));
                    self.deliver(node, life, Event::Tick);
                }
            }
            Due::Event(node, life, event) => self.deliver(node, life, *event),
            Due::Reaches(flight) => self.reaches(flight),
            Due::Ends(at, flight) => self.ends(at, flight),
        }
    }

    fn deliver(&mut self, node: usize, life: u64, event: Event) {
        if self.nodes[node].life != life {
            return;
        }
        if self.nodes[node].paused_until > self.now {
            if !matches!(event, Event::Tick) {
                let wait = self.nodes[node].paused_until - self.now;
                self.push(wait, Due::Event(node, life, Box::new(event)));
            }
            return;
        }
        let Some(state) = self.nodes[node].state.as_mut() else {
            return;
        };
        for effect in state.apply(Timestamp(self.now), event) {
            self.carry_out(node, effect);
        }
    }

    fn carry_out(&mut self, node: usize, effect: Effect) {
        match effect {
            Effect::Membership(effect) => self.membership(node, effect),
            Effect::Request(effect) => self.request(node, effect),
            Effect::Config(ConfigEffect::ReadStore) => {
                let configuration = Box::new(configuration(&self.setup.service));
                self.post(node, 2, Event::Config(ConfigEvent::Read(configuration)));
            }
            _ => {}
        }
    }

    fn membership(&mut self, node: usize, effect: MembershipEffect) {
        let event = match effect {
            MembershipEffect::SendHeartbeat { to, heartbeat } => {
                let Some(to) = number(&to) else { return };
                if self.draw(100) >= self.setup.lost_percent {
                    let delay = 1 + self.draw(5);
                    let event = MembershipEvent::Heartbeat(heartbeat);
                    self.post(to, delay, Event::Membership(event));
                }
                return;
            }
            MembershipEffect::ReadView if self.store_down => MembershipEvent::ViewUnread,
            MembershipEffect::ReadView => MembershipEvent::ViewRead {
                asked_at: Timestamp(self.now),
                view: self.view.clone(),
                revision: Revision(self.revision),
            },
            MembershipEffect::SwapView { .. } if self.store_down => {
                MembershipEvent::ViewSwapped(Swap::Unknown)
            }
            MembershipEffect::SwapView { expect, view } if expect.0 == self.revision => {
                self.revision += 1;
                self.view = Some(*view.clone());
                MembershipEvent::ViewSwapped(Swap::Written(view, Revision(self.revision)))
            }
            MembershipEffect::SwapView { .. } => MembershipEvent::ViewSwapped(Swap::Conflict),
            MembershipEffect::ViewAdopted(_) => return,
        };
        let delay = 2 + self.draw(4);
        self.post(node, delay, Event::Membership(event));
    }

    fn request(&mut self, node: usize, effect: RequestEffect) {
        match effect {
            RequestEffect::Dispatch {
                dispatch,
                call,
                address,
                valid_until,
                ..
            } => {
                assert!(valid_until.0 > self.now, "dispatched without the right");
                let Some(root) = self.nodes[node].roots.get(&call).copied() else {
                    self.violations
                        .push(format!("{call} dispatched after its end"));
                    return;
                };
                let breaks = self.draw(100) < self.setup.broken_percent;
                let flight = Flight {
                    instance: node,
                    life: self.nodes[node].life,
                    dispatch,
                    root,
                    endpoint: usize::from(address.port()) - 1,
                    breaks,
                };
                let delay = 1 + self.draw(3);
                self.push(delay, Due::Reaches(flight));
            }
            RequestEffect::Forward { call, to, head } => self.forward(node, call, &to, head),
            RequestEffect::Answer {
                call,
                outcome,
                body,
            } => self.answer(node, call, outcome, body),
            RequestEffect::Tell { to, message } => {
                let Some(to) = number(&to) else { return };
                if self.draw(100) >= self.setup.lost_percent {
                    let from = name(node);
                    let delay = 1 + self.draw(5);
                    let event = RequestEvent::Peer { from, message };
                    self.post(to, delay, Event::Request(event));
                }
            }
            RequestEffect::Probe { endpoint, address } => {
                let place = usize::from(address.port()) - 1;
                let report = EndpointReport {
                    busy: self.running[place].len() as u32,
                    leaving: self.leaving.contains(&place),
                };
                let event = RequestEvent::Probed {
                    endpoint,
                    asked_at: Timestamp(self.now),
                    report: Some(report),
                };
                let delay = 2 + self.draw(4);
                self.post(node, delay, Event::Request(event));
            }
            RequestEffect::Discard { .. } | RequestEffect::Count(_) => {}
        }
    }

    fn forward(&mut self, node: usize, call: CallId, to: &InstanceId, head: RequestHead) {
        let Some(to) = number(to) else { return };
        let Some(root) = self.nodes[node].roots.get(&call).copied() else {
            self.violations
                .push(format!("{call} forwarded after its end"));
            return;
        };
        let life = self.nodes[node].life;
        let peer = &mut self.nodes[to];
        if peer.state.is_none() {
            let lost = RequestEvent::PeerLost { peer: name(to) };
            return self.post(node, 3, Event::Request(lost));
        }
        peer.calls += 1;
        let there = CallId(peer.calls);
        peer.roots.insert(there, root);
        peer.origins.insert(there, (node, life, call));
        let event = RequestEvent::ForwardArrived {
            call: there,
            from: name(node),
            remote: call,
            head,
        };
        let delay = 1 + self.draw(3);
        self.post(to, delay, Event::Request(event));
    }

    fn answer(&mut self, node: usize, call: CallId, outcome: Outcome, body: Body) {
        let entry = &mut self.nodes[node];
        let Some(root) = entry.roots.remove(&call) else {
            self.violations.push(format!("{call} answered twice"));
            return;
        };
        assert!(outcome != Outcome::Answered || body != Body::None);
        let Some((origin, life, remote)) = entry.origins.remove(&call) else {
            let at = self.now;
            self.sent[root].answers.push((at, outcome));
            self.check(root);
            return;
        };
        let load = self.nodes[node]
            .state
            .as_ref()
            .expect("the answering instance is up")
            .requests()
            .load();
        let event = RequestEvent::ForwardEnded {
            call: remote,
            from: name(node),
            outcome,
            load,
        };
        if self.nodes[origin].life == life {
            let delay = 1 + self.draw(3);
            self.post(origin, delay, Event::Request(event));
        }
    }

    fn reaches(&mut self, flight: Flight) {
        let key = (flight.instance, flight.life, flight.dispatch);
        let place = flight.endpoint;
        if self.leaving.contains(&place) {
            return self.dispatch_ended(&flight, DispatchEnd::Leaving);
        }
        self.running[place].insert(key, ());
        let running = self.running[place].len();
        self.most_running = self.most_running.max(running);
        if running > self.setup.service.slots as usize {
            let now = self.now;
            let text = format!("endpoint {place} runs {running} requests at {now}");
            self.violations.push(text);
        }
        let sent = &mut self.sent[flight.root];
        sent.runs += 1;
        let head = sent.head.clone();
        *self.runs_by_id.entry(head.id.to_string()).or_default() += 1;
        let runs = self.runs_by_id[head.id.as_str()];
        if !head.idempotent && runs > 1 {
            self.violations
                .push(format!("{} ran {runs} times", head.id));
        }
        self.check(flight.root);
        let took = match head.class {
            Class::Short => 10 + self.draw(20),
            Class::Long => 300 + self.draw(400),
        };
        if flight.breaks {
            self.dispatch_ended(&flight, DispatchEnd::Broken);
        }
        self.push(took, Due::Ends(place, flight));
    }

    fn ends(&mut self, place: usize, flight: Flight) {
        let key = (flight.instance, flight.life, flight.dispatch);
        self.running[place].remove(&key);
        if !flight.breaks {
            self.dispatch_ended(&flight, DispatchEnd::Answered);
        }
    }

    fn dispatch_ended(&mut self, flight: &Flight, end: DispatchEnd) {
        if self.nodes[flight.instance].life != flight.life {
            return;
        }
        let dispatch = flight.dispatch;
        let event = RequestEvent::DispatchEnded { dispatch, end };
        let delay = 1 + self.draw(3);
        self.post(flight.instance, delay, Event::Request(event));
    }

    /// What was answered as not run has not run and never does.
    fn check(&mut self, root: usize) {
        let sent = &self.sent[root];
        let refused = sent
            .answers
            .iter()
            .any(|(_, o)| matches!(o, Outcome::NotRun(_)));
        if refused && sent.runs > 0 {
            let text = format!("{} ran but was answered {:?}", sent.head.id, sent.answers);
            self.violations.push(text);
        }
    }

    fn list(&mut self) {
        let mut listed = Vec::new();
        let line = |port: u16, role| ListedInstance {
            data_centre: id("dc"),
            address: ([127, 0, 0, 1], port).into(),
            leaving: false,
            role,
        };
        for (i, node) in self.nodes.iter().enumerate() {
            if node.state.is_some() {
                listed.push(line(60_000 + i as u16, Role::Entry { id: name(i) }));
            }
        }
        for i in 0..self.setup.endpoints {
            let role = Role::Endpoint {
                id: id(&format!("e{i}")),
                service: id("quote"),
                worker: None,
            };
            listed.push(line(i as u16 + 1, role));
        }
        for node in 0..self.nodes.len() {
            self.post(node, LIST_DELAY_MS, Event::Listed(listed.clone()));
        }
    }

    fn post(&mut self, node: usize, delay: u64, event: Event) {
        let life = self.nodes[node].life;
        self.push(delay, Due::Event(node, life, Box::new(event)));
    }

    fn push(&mut self, delay: u64, due: Due) {
        self.seq += 1;
        self.heap.push(Reverse((self.now + delay, self.seq)));
        self.due.insert(self.seq, due);
    }
}

/// An id of any kind.
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

fn name(node: usize) -> InstanceId {
    id(&format!("i{node}"))
}

fn number(id: &InstanceId) -> Option<usize> {
    id.as_str().strip_prefix('i')?.parse().ok()
}
