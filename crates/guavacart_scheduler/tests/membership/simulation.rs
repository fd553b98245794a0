//! Several reducers under a model of clocks, processes, network, store and instance list.

use std::collections::{BTreeMap, BTreeSet};

use guavacart_scheduler::{
    Effect, Event, Start, State,
    directory::{ListedInstance, Role},
    membership::{
        Heartbeat, Member, MembershipEffect, MembershipEvent, Standing, Swap, TICK, View,
    },
};
use guavacart_types::{DataCentre, Incarnation, InstanceId, Revision, Span, Timestamp, mix};

use crate::{
    fault::{Fault, Step},
    store::{Condition, Store},
};

/// Keys that have one owner each.
const KEYS: usize = 16;
/// Time after which the runtime gives a store call up, in milliseconds.
const CALL_LIMIT: u64 = 1_000;
/// Most that the instance list lags, in milliseconds.
const LIST_LAG: u64 = 3_000;
/// Most that a clock's rate differs from true time, in thousandths.
const DRIFT: u64 = 40;
/// Time between two reads of the instance list, in milliseconds.
const LIST_INTERVAL: u64 = 1_000;

#[derive(Debug)]
enum Happening {
    Tick(usize, u64),
    ReadList(usize, u64),
    Arrive(usize, Box<Heartbeat>),
    /// A store call takes effect.
    Take(usize, u64, Call),
    Answer(usize, u64, MembershipEvent),
}

#[derive(Debug)]
enum Call {
    Read { asked_at: Timestamp },
    Swap { expect: Revision, view: Box<View> },
}

#[derive(Debug)]
struct Process {
    state: State,
    /// Which start; answers to an earlier one are dropped.
    start: u64,
    rate: u64,
    offset: u64,
    paused_until: u64,
    generation: u64,
    owned: u32,
    view: u64,
}

/// The whole model.
pub(crate) struct Simulation {
    now: u64,
    seed: u64,
    drawn: u64,
    /// Rates of the clocks in thousandths of true time; drawn where none is given.
    rates: Vec<u64>,
    queue: BTreeMap<(u64, u64), Happening>,
    queued: u64,
    processes: Vec<Option<Process>>,
    starts: u64,
    store: Store,
    condition: Condition,
    store_cut: u32,
    cut: BTreeSet<(usize, usize)>,
    loss: u64,
    late: u64,
    listings: Vec<(u64, BTreeSet<usize>)>,
}

fn id(index: usize) -> InstanceId {
    format!("e{index}").parse().expect("a plain id")
}

fn data_centre(index: usize) -> DataCentre {
    format!("dc{}", index % 3).parse().expect("a plain name")
}

fn key(index: usize) -> (String, DataCentre) {
    (format!("endpoint-{index}"), data_centre(index))
}

impl Simulation {
    /// `instances` processes, started at once.
    pub(crate) fn start(instances: usize, seed: u64) -> Self {
        Self::start_with(instances, Vec::new(), seed)
    }

    /// A process for each of `rates`, the rates of their clocks in thousandths.
    pub(crate) fn start_with_rates(rates: &[u64], seed: u64) -> Self {
        Self::start_with(rates.len(), rates.to_vec(), seed)
    }

    fn start_with(instances: usize, rates: Vec<u64>, seed: u64) -> Self {
        let mut sim = Self {
            rates,
            now: 100_000,
            seed,
            drawn: 0,
            queue: BTreeMap::new(),
            queued: 0,
            processes: (0..instances).map(|_| None).collect(),
            starts: 0,
            store: Store::default(),
            condition: Condition::Up,
            store_cut: 0,
            cut: BTreeSet::new(),
            loss: 0,
            late: 0,
            listings: vec![(0, BTreeSet::new())],
        };
        for index in 0..instances {
            sim.spawn(index);
        }
        sim
    }

    /// Lets `ms` milliseconds of true time pass.
    pub(crate) fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while let Some((&(at, order), _)) = self.queue.first_key_value() {
            if at > end {
                break;
            }
            self.now = at;
            if let Some(happening) = self.queue.remove(&(at, order)) {
                self.happen(happening);
            }
        }
        self.now = end;
    }

    /// Runs a script of faults.
    pub(crate) fn run_script(&mut self, script: &[Step]) {
        for (gap, fault) in script {
            self.run(*gap);
            self.inject(fault);
        }
    }

    /// Lets time pass until every key has an acting owner; the milliseconds that it took.
    pub(crate) fn settle(&mut self, limit: u64) -> Option<u64> {
        let started = self.now;
        while self.now - started <= limit {
            if self.acting_keys() == (1 << KEYS) - 1 {
                return Some(self.now - started);
            }
            self.run(10);
        }
        None
    }

    /// The keys that some process may act for now, as a mask.
    pub(crate) fn acting_keys(&self) -> u32 {
        (0..self.processes.len())
            .filter(|i| self.may_act(*i))
            .filter_map(|i| self.processes[i].as_ref())
            .fold(0, |mask, p| mask | p.owned)
    }

    /// The keys that a process owns, whether or not it may act.
    pub(crate) fn owned_by(&self, index: usize) -> u32 {
        self.processes[index].as_ref().map_or(0, |p| p.owned)
    }

    /// True if some process lives and is not leaving.
    pub(crate) fn has_stayers(&self) -> bool {
        let mut live = self.processes.iter().flatten();
        live.any(|p| !p.state.membership().is_leaving())
    }

    /// The largest record that the store holds, in earlier views.
    pub(crate) fn open_views(&self) -> usize {
        self.store.view.as_ref().map_or(0, |v| v.open.len())
    }

    /// The number of the view that the store holds.
    pub(crate) fn view_number(&self) -> u64 {
        self.store.view.as_ref().map_or(0, |v| v.number.0)
    }

    /// What each process knows, for a failure's message.
    pub(crate) fn describe(&self) -> String {
        let each = |(i, p): (usize, &Option<Process>)| match p {
            None => format!("e{i}: dead"),
            Some(p) => {
                let m = p.state.membership();
                let members: Vec<&str> = m
                    .view()
                    .members
                    .iter()
                    .map(|m| m.member.id.as_str())
                    .collect();
                let open: Vec<u64> = m.view().open.iter().map(|e| e.number.0).collect();
                format!(
                    "e{i}: view {} {members:?} open {open:?} acts {} keys {:b} leaving {}",
                    m.view().number,
                    self.may_act(i),
                    p.owned,
                    m.is_leaving()
                )
            }
        };
        let lines: Vec<String> = self.processes.iter().enumerate().map(each).collect();
        lines.join("\n")
    }

    /// Makes a fault happen now.
    pub(crate) fn inject(&mut self, fault: &Fault) {
        match *fault {
            Fault::Kill(i) => {
                self.processes[i] = None;
                self.list();
            }
            Fault::Restart(i) if self.processes[i].is_none() => self.spawn(i),
            Fault::Restart(_) => {}
            Fault::Pause(i, ms) => {
                let until = self.now + ms;
                if let Some(p) = &mut self.processes[i] {
                    p.paused_until = p.paused_until.max(until);
                }
            }
            Fault::Partition(mask) => {
                let n = self.processes.len();
                let side = |i: usize| mask >> i & 1;
                let pairs = (0..n).flat_map(|i| (0..n).map(move |j| (i, j)));
                self.cut.extend(pairs.filter(|(i, j)| side(*i) != side(*j)));
            }
            Fault::Cut(i, j) => {
                self.cut.insert((i, j));
            }
            Fault::StoreCut(mask) => self.store_cut = mask,
            Fault::Store(condition) => self.condition = condition,
            Fault::Loss(percent) => self.loss = percent,
            Fault::Late(percent) => self.late = percent,
            Fault::EmptyList => self.listings = vec![(0, BTreeSet::new())],
            Fault::Leave(i) => self.leave(i),
            Fault::Heal => {
                self.cut.clear();
                self.store_cut = 0;
                self.condition = Condition::Up;
                self.loss = 0;
                self.late = 0;
            }
        }
    }

    fn leave(&mut self, index: usize) {
        let paused = self.processes[index]
            .as_ref()
            .is_some_and(|p| p.paused_until > self.now);
        if !paused {
            self.apply(index, Event::StopRequested);
        }
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.drawn += 1;
        mix(self.seed, self.drawn) % below
    }

    fn queue(&mut self, at: u64, happening: Happening) {
        self.queued += 1;
        self.queue.insert((at, self.queued), happening);
    }

    fn spawn(&mut self, index: usize) {
        self.starts += 1;
        let drawn = 1_000 - DRIFT + DRIFT * self.draw(3);
        let rate = self.rates.get(index).copied().unwrap_or(drawn);
        let offset = self.draw(1_000_000);
        let start = Start {
            member: Member {
                id: id(index),
                incarnation: Incarnation(self.starts),
            },
            data_centre: data_centre(index),
            now: Timestamp(self.now * rate / 1_000 + offset),
            linger: Span::ZERO,
        };
        self.processes[index] = Some(Process {
            state: State::new(&start),
            start: self.starts,
            rate,
            offset,
            paused_until: 0,
            generation: u64::MAX,
            owned: 0,
            view: 0,
        });
        self.list();
        self.queue(self.now, Happening::ReadList(index, self.starts));
        self.queue(self.now, Happening::Tick(index, self.starts));
    }

    fn list(&mut self) {
        let live = |i: &usize| self.processes[*i].is_some();
        let listed = (0..self.processes.len()).filter(live).collect();
        self.listings.push((self.now, listed));
    }

    fn clock(&self, index: usize) -> Timestamp {
        let process = self.processes[index].as_ref().expect("a live process");
        Timestamp(self.now * process.rate / 1_000 + process.offset)
    }

    fn may_act(&self, index: usize) -> bool {
        let Some(process) = &self.processes[index] else {
            return false;
        };
        let awake = process.paused_until <= self.now;
        awake && process.state.membership().may_act(self.clock(index))
    }

    fn is_current(&self, index: usize, start: u64) -> bool {
        self.processes[index]
            .as_ref()
            .is_some_and(|p| p.start == start)
    }

    fn happen(&mut self, happening: Happening) {
        let target = match &happening {
            Happening::Tick(i, start) | Happening::ReadList(i, start) => Some((*i, *start)),
            Happening::Answer(i, start, _) => Some((*i, *start)),
            Happening::Arrive(i, _) => self.processes[*i].as_ref().map(|p| (*i, p.start)),
            Happening::Take(..) => None,
        };
        if let Some((i, start)) = target {
            if !self.is_current(i, start) {
                return;
            }
            let paused_until = self.processes[i].as_ref().map_or(0, |p| p.paused_until);
            if paused_until > self.now {
                self.queue(paused_until, happening);
                return;
            }
        }
        match happening {
            Happening::Tick(i, start) => {
                self.apply(i, Event::Tick);
                let wait = TICK.0 - self.draw(10);
                self.queue(self.now + wait, Happening::Tick(i, start));
            }
            Happening::ReadList(i, start) => {
                let instances = self.lagging_list();
                self.apply(i, Event::Listed(instances));
                self.queue(self.now + LIST_INTERVAL, Happening::ReadList(i, start));
            }
            Happening::Arrive(i, heartbeat) => {
                self.apply(i, MembershipEvent::Heartbeat(heartbeat).into());
            }
            Happening::Take(i, start, call) => self.take(i, start, call),
            Happening::Answer(i, _, event) => self.apply(i, event.into()),
        }
    }

    fn lagging_list(&mut self) -> Vec<ListedInstance> {
        let at = self.now - self.draw(LIST_LAG);
        let listing = self.listings.iter().rev().find(|(since, _)| *since <= at);
        let listed = listing
            .map(|(_, listed)| listed.clone())
            .unwrap_or_default();
        let entry = |index: usize| ListedInstance {
            data_centre: data_centre(index),
            address: ([127, 0, 0, 1], 7_000).into(),
            leaving: false,
            role: Role::Entry { id: id(index) },
        };
        listed.into_iter().map(entry).collect()
    }

    fn apply(&mut self, index: usize, event: Event) {
        if self.processes[index].is_none() {
            return;
        }
        let now = self.clock(index);
        let process = self.processes[index].as_mut().expect("a live process");
        let effects = process.state.apply(now, event);
        let mut ended = false;
        for effect in effects {
            match effect {
                Effect::Membership(effect) => self.carry_out(index, now, effect),
                Effect::Stopped => ended = true,
                _ => {}
            }
        }
        self.note(index);
        self.check_single_owner(index);
        if ended {
            self.inject(&Fault::Kill(index));
        }
    }

    fn carry_out(&mut self, from: usize, now: Timestamp, effect: MembershipEffect) {
        match effect {
            MembershipEffect::SendHeartbeat { to, heartbeat } => {
                let to = to.as_str()[1..].parse().expect("an id of this model");
                self.send(from, to, heartbeat);
            }
            MembershipEffect::ReadView => self.call(from, Call::Read { asked_at: now }),
            MembershipEffect::SwapView { expect, view } => {
                self.call(from, Call::Swap { expect, view });
            }
            MembershipEffect::ViewAdopted(_) => {}
        }
    }

    fn send(&mut self, from: usize, to: usize, heartbeat: Box<Heartbeat>) {
        if self.cut.contains(&(from, to)) || self.draw(100) < self.loss {
            return;
        }
        let copies = 1 + u64::from(self.draw(50) == 0);
        for _ in 0..copies {
            let longest = if self.draw(100) < self.late {
                2_000
            } else {
                10
            };
            let delay = 1 + self.draw(longest);
            let arrive = Happening::Arrive(to, heartbeat.clone());
            self.queue(self.now + delay, arrive);
        }
    }

    fn call(&mut self, from: usize, call: Call) {
        let start = self.processes[from].as_ref().map_or(0, |p| p.start);
        if self.condition == Condition::Down || self.store_cut >> from & 1 == 1 {
            let event = failure(&call);
            self.queue(self.now + 5, Happening::Answer(from, start, event));
            return;
        }
        let longest = if self.condition == Condition::Slow {
            2_000
        } else {
            4
        };
        let delay = 1 + self.draw(longest);
        if delay > CALL_LIMIT {
            let event = failure(&call);
            self.queue(self.now + CALL_LIMIT, Happening::Answer(from, start, event));
        }
        self.queue(self.now + delay, Happening::Take(from, start, call));
    }

    fn take(&mut self, from: usize, start: u64, call: Call) {
        let lost = self.condition == Condition::Losing && self.draw(2) == 0;
        let in_time = |asked: u64| asked <= CALL_LIMIT;
        let (asked, event) = match call {
            Call::Read { asked_at } => {
                let event = MembershipEvent::ViewRead {
                    asked_at,
                    view: self.store.view.clone(),
                    revision: self.store.revision,
                };
                (asked_at, event)
            }
            Call::Swap { expect, view } => {
                let written = self.store.swap(expect, &view);
                let swap = match (lost, written) {
                    (true, _) => Swap::Unknown,
                    (false, true) => Swap::Written(view, self.store.revision),
                    (false, false) => Swap::Conflict,
                };
                (Timestamp::default(), MembershipEvent::ViewSwapped(swap))
            }
        };
        let is_read = matches!(event, MembershipEvent::ViewRead { .. });
        if is_read && lost {
            return;
        }
        let waited = if is_read && self.is_current(from, start) {
            self.clock(from).since(asked).0
        } else {
            0
        };
        if in_time(waited) {
            let delay = 1 + self.draw(4);
            self.queue(self.now + delay, Happening::Answer(from, start, event));
        }
    }

    /// Brings the cached standings of a process up to date, and checks that the cache may be used.
    fn note(&mut self, index: usize) {
        let sample = self.draw(16) == 0;
        let Some(process) = &mut self.processes[index] else {
            return;
        };
        let membership = process.state.membership();
        let view = membership.view().number.0;
        assert!(
            view >= process.view,
            "e{index} went back from view {}",
            process.view
        );
        process.view = view;
        let stale = membership.generation() != process.generation;
        if !stale && !sample {
            return;
        }
        let owns = |k: usize| {
            let (name, preferred) = key(k);
            membership.standing(&name, Some(&preferred)) == Standing::Owner
        };
        let owned = (0..KEYS)
            .filter(|k| owns(*k))
            .fold(0, |mask, k| mask | 1 << k);
        assert!(
            stale || owned == process.owned,
            "standings of e{index} changed under one generation"
        );
        process.owned = owned;
        process.generation = membership.generation();
    }

    fn check_single_owner(&self, index: usize) {
        if !self.may_act(index) {
            return;
        }
        let owned = |i: usize| self.processes[i].as_ref().map_or(0, |p| p.owned);
        for other in 0..self.processes.len() {
            let both = other != index && owned(index) & owned(other) != 0;
            assert!(
                !(both && self.may_act(other)),
                "e{index} and e{other} both act at {} for keys {:b}\n{}",
                self.now,
                owned(index) & owned(other),
                self.describe()
            );
        }
    }
}

fn failure(call: &Call) -> MembershipEvent {
    match call {
        Call::Read { .. } => MembershipEvent::ViewUnread,
        Call::Swap { .. } => MembershipEvent::ViewSwapped(Swap::Unknown),
    }
}
