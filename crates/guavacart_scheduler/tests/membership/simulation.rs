//! Several scheduler instances in a simulation of clocks, processes, network, store and instance list.
//!
//! After every event the simulation checks that no two instances act for the same key, that views never
//! go back, and that [`Ownership`] changes only with the membership's generation.

use std::collections::{BTreeMap, BTreeSet};

use guavacart_scheduler::{
    Effect, Event, Start, State,
    directory::{ListedInstance, Role},
    membership::{
        Heartbeat, MAX_TICK_INTERVAL, Member, MembershipEffect, MembershipEvent, Ownership, Swap,
        View,
    },
};
use guavacart_types::{
    DataCentre, Incarnation, InstanceId, Revision, Span, Timestamp, deterministic_random,
};

use crate::{
    fault::{Fault, Step},
    store::{Condition, Store},
};

/// Number of keys, each of which must have one owner.
const KEYS: usize = 16;
/// Timeout of a store call, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 1_000;
/// Greatest lag of the instance list, in milliseconds.
const MAX_LIST_LAG_MS: u64 = 3_000;
/// Greatest difference of a clock's rate from true time, in thousandths.
const MAX_DRIFT: u64 = 40;
/// Time between two reads of the instance list, in milliseconds.
const LIST_INTERVAL_MS: u64 = 1_000;

/// An event in the simulation's queue, with the index of its instance. Most also carry the number
/// of the process's start.
#[derive(Debug)]
enum SimEvent {
    Tick(usize, u64),
    ReadList(usize, u64),
    Deliver(usize, Box<Heartbeat>),
    /// A store call takes effect.
    StoreCall(usize, u64, Call),
    Answer(usize, u64, MembershipEvent),
}

/// A store call of an instance.
#[derive(Debug)]
enum Call {
    Read { requested_at: Timestamp },
    Swap { expect: Revision, view: Box<View> },
}

#[derive(Debug)]
struct Process {
    state: State,
    /// The number of this start. Events for an earlier start are dropped.
    start: u64,
    /// The rate of its clock, in thousandths of true time.
    rate: u64,
    /// The offset of its clock, in milliseconds.
    offset: u64,
    paused_until: u64,
    /// The membership's generation when `owned` was last updated.
    generation: u64,
    /// The keys that the process owns, as a mask.
    owned: u32,
    view: u64,
}

/// The simulated deployment.
pub(crate) struct Simulation {
    now: u64,
    seed: u64,
    draws: u64,
    /// Rates of the clocks in thousandths of true time; random for instances without one.
    rates: Vec<u64>,
    queue: BTreeMap<(u64, u64), SimEvent>,
    queue_count: u64,
    processes: Vec<Option<Process>>,
    start_count: u64,
    store: Store,
    condition: Condition,
    store_cut: u32,
    cut: BTreeSet<(usize, usize)>,
    loss: u64,
    late: u64,
    lists: Vec<(u64, BTreeSet<usize>)>,
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
    /// Starts `instances` processes at the same time.
    pub(crate) fn start(instances: usize, seed: u64) -> Self {
        Self::start_with(instances, Vec::new(), seed)
    }

    /// Starts a process for each of `rates`, its clock rate in thousandths of true time.
    pub(crate) fn start_with_rates(rates: &[u64], seed: u64) -> Self {
        Self::start_with(rates.len(), rates.to_vec(), seed)
    }

    fn start_with(instances: usize, rates: Vec<u64>, seed: u64) -> Self {
        let mut sim = Self {
            rates,
            now: 100_000,
            seed,
            draws: 0,
            queue: BTreeMap::new(),
            queue_count: 0,
            processes: (0..instances).map(|_| None).collect(),
            start_count: 0,
            store: Store::default(),
            condition: Condition::Up,
            store_cut: 0,
            cut: BTreeSet::new(),
            loss: 0,
            late: 0,
            lists: vec![(0, BTreeSet::new())],
        };
        for index in 0..instances {
            sim.spawn(index);
        }
        sim
    }

    /// Runs the simulation for `ms` milliseconds of true time.
    pub(crate) fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while let Some((&(at, order), _)) = self.queue.first_key_value() {
            if at > end {
                break;
            }
            self.now = at;
            if let Some(event) = self.queue.remove(&(at, order)) {
                self.handle(event);
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

    /// Runs until every key has an acting owner. Returns the milliseconds that took, or `None` if it took
    /// longer than `limit`.
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

    /// Returns the keys that some process may act for now, as a mask.
    pub(crate) fn acting_keys(&self) -> u32 {
        (0..self.processes.len())
            .filter(|i| self.may_act(*i))
            .filter_map(|i| self.processes[i].as_ref())
            .fold(0, |mask, p| mask | p.owned)
    }

    /// Returns the keys that a process owns, whether or not it may act, as a mask.
    pub(crate) fn owned_by(&self, index: usize) -> u32 {
        self.processes[index].as_ref().map_or(0, |p| p.owned)
    }

    /// True if some process runs and is not leaving.
    pub(crate) fn has_remaining_process(&self) -> bool {
        let mut live = self.processes.iter().flatten();
        live.any(|p| !p.state.membership().is_leaving())
    }

    /// Returns the number of open earlier views in the stored view.
    pub(crate) fn open_views(&self) -> usize {
        self.store.view.as_ref().map_or(0, |v| v.open.len())
    }

    /// Returns the number of the stored view; 0 if there is none.
    pub(crate) fn view_number(&self) -> u64 {
        self.store.view.as_ref().map_or(0, |v| v.number.0)
    }

    /// Describes what each process knows, for failure messages.
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

    /// Injects a fault now.
    pub(crate) fn inject(&mut self, fault: &Fault) {
        match *fault {
            Fault::Kill(i) => {
                self.processes[i] = None;
                self.record_list();
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
            Fault::EmptyList => self.lists = vec![(0, BTreeSet::new())],
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
        self.draws += 1;
        deterministic_random(self.seed, self.draws) % below
    }

    fn queue(&mut self, at: u64, event: SimEvent) {
        self.queue_count += 1;
        self.queue.insert((at, self.queue_count), event);
    }

    fn spawn(&mut self, index: usize) {
        self.start_count += 1;
        let drawn_rate = 1_000 - MAX_DRIFT + MAX_DRIFT * self.draw(3);
        let rate = self.rates.get(index).copied().unwrap_or(drawn_rate);
        let offset = self.draw(1_000_000);
        let start = Start {
            member: Member {
                id: id(index),
                incarnation: Incarnation(self.start_count),
            },
            data_centre: data_centre(index),
            now: Timestamp(self.now * rate / 1_000 + offset),
            linger: Span::ZERO,
        };
        self.processes[index] = Some(Process {
            state: State::new(&start),
            start: self.start_count,
            rate,
            offset,
            paused_until: 0,
            generation: u64::MAX,
            owned: 0,
            view: 0,
        });
        self.record_list();
        self.queue(self.now, SimEvent::ReadList(index, self.start_count));
        self.queue(self.now, SimEvent::Tick(index, self.start_count));
    }

    fn record_list(&mut self) {
        let live = |i: &usize| self.processes[*i].is_some();
        let listed = (0..self.processes.len()).filter(live).collect();
        self.lists.push((self.now, listed));
    }

    fn clock(&self, index: usize) -> Timestamp {
        let process = self.processes[index].as_ref().expect("a live process");
        Timestamp(self.now * process.rate / 1_000 + process.offset)
    }

    fn may_act(&self, index: usize) -> bool {
        let Some(process) = &self.processes[index] else {
            return false;
        };
        let is_running = process.paused_until <= self.now;
        is_running && process.state.membership().may_act(self.clock(index))
    }

    fn is_current(&self, index: usize, start: u64) -> bool {
        self.processes[index]
            .as_ref()
            .is_some_and(|p| p.start == start)
    }

    fn handle(&mut self, event: SimEvent) {
        let target = match &event {
            SimEvent::Tick(i, start) | SimEvent::ReadList(i, start) => Some((*i, *start)),
            SimEvent::Answer(i, start, _) => Some((*i, *start)),
            SimEvent::Deliver(i, _) => self.processes[*i].as_ref().map(|p| (*i, p.start)),
            SimEvent::StoreCall(..) => None,
        };
        if let Some((i, start)) = target {
            if !self.is_current(i, start) {
                return;
            }
            let paused_until = self.processes[i].as_ref().map_or(0, |p| p.paused_until);
            if paused_until > self.now {
                self.queue(paused_until, event);
                return;
            }
        }
        match event {
            SimEvent::Tick(i, start) => {
                self.apply(i, Event::Tick);
                let wait = MAX_TICK_INTERVAL.0 - self.draw(10);
                self.queue(self.now + wait, SimEvent::Tick(i, start));
            }
            SimEvent::ReadList(i, start) => {
                let instances = self.lagging_list();
                self.apply(i, Event::ListRead(instances));
                self.queue(self.now + LIST_INTERVAL_MS, SimEvent::ReadList(i, start));
            }
            SimEvent::Deliver(i, heartbeat) => {
                self.apply(i, MembershipEvent::Heartbeat(heartbeat).into());
            }
            SimEvent::StoreCall(i, start, call) => self.execute(i, start, call),
            SimEvent::Answer(i, _, event) => self.apply(i, event.into()),
        }
    }

    /// Returns the instance list as it was up to [`MAX_LIST_LAG_MS`] ago.
    fn lagging_list(&mut self) -> Vec<ListedInstance> {
        let at = self.now - self.draw(MAX_LIST_LAG_MS);
        let listing = self.lists.iter().rev().find(|(since, _)| *since <= at);
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
        let mut stopped = false;
        for effect in effects {
            match effect {
                Effect::Membership(effect) => self.run_effect(index, now, effect),
                Effect::Stopped => stopped = true,
                _ => {}
            }
        }
        self.update_owned(index);
        self.check_single_owner(index);
        if stopped {
            self.inject(&Fault::Kill(index));
        }
    }

    fn run_effect(&mut self, from: usize, now: Timestamp, effect: MembershipEffect) {
        match effect {
            MembershipEffect::SendHeartbeat { to, heartbeat } => {
                let to = to.as_str()[1..].parse().expect("an id of this simulation");
                self.send(from, to, heartbeat);
            }
            MembershipEffect::ReadView => self.call(from, Call::Read { requested_at: now }),
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
            let deliver = SimEvent::Deliver(to, heartbeat.clone());
            self.queue(self.now + delay, deliver);
        }
    }

    fn call(&mut self, from: usize, call: Call) {
        let start = self.processes[from].as_ref().map_or(0, |p| p.start);
        if self.condition == Condition::Down || self.store_cut >> from & 1 == 1 {
            let event = failure(&call);
            self.queue(self.now + 5, SimEvent::Answer(from, start, event));
            return;
        }
        let longest = if self.condition == Condition::Slow {
            2_000
        } else {
            4
        };
        let delay = 1 + self.draw(longest);
        if delay > CALL_TIMEOUT_MS {
            let event = failure(&call);
            self.queue(
                self.now + CALL_TIMEOUT_MS,
                SimEvent::Answer(from, start, event),
            );
        }
        self.queue(self.now + delay, SimEvent::StoreCall(from, start, call));
    }

    fn execute(&mut self, from: usize, start: u64, call: Call) {
        let lost = self.condition == Condition::Losing && self.draw(2) == 0;
        let in_time = |elapsed_ms: u64| elapsed_ms <= CALL_TIMEOUT_MS;
        let (requested_at, event) = match call {
            Call::Read { requested_at } => {
                let event = MembershipEvent::ViewRead {
                    requested_at,
                    view: self.store.view.clone(),
                    revision: self.store.revision,
                };
                (requested_at, event)
            }
            Call::Swap { expect, view } => {
                let written = self.store.swap(expect, &view);
                let swap = match (lost, written) {
                    (true, _) => Swap::Unknown,
                    (false, true) => Swap::Written(view, self.store.revision),
                    (false, false) => Swap::Conflict,
                };
                (Timestamp::default(), MembershipEvent::ViewSwapEnded(swap))
            }
        };
        let is_read = matches!(event, MembershipEvent::ViewRead { .. });
        if is_read && lost {
            return;
        }
        let waited = if is_read && self.is_current(from, start) {
            self.clock(from).since(requested_at).0
        } else {
            0
        };
        if in_time(waited) {
            let delay = 1 + self.draw(4);
            self.queue(self.now + delay, SimEvent::Answer(from, start, event));
        }
    }

    /// Updates the cached set of keys that a process owns. Checks that views do not go back and, on a
    /// sample, that the cache is right while the generation is unchanged.
    fn update_owned(&mut self, index: usize) {
        let check_cache = self.draw(16) == 0;
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
        let is_stale = membership.generation() != process.generation;
        if !is_stale && !check_cache {
            return;
        }
        let owns = |k: usize| {
            let (name, preferred) = key(k);
            membership.ownership(&name, Some(&preferred)) == Ownership::Owner
        };
        let owned = (0..KEYS)
            .filter(|k| owns(*k))
            .fold(0, |mask, k| mask | 1 << k);
        assert!(
            is_stale || owned == process.owned,
            "ownerships of e{index} changed without a new generation"
        );
        process.owned = owned;
        process.generation = membership.generation();
    }

    /// Checks that no other process may act for a key that this process may act for.
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
        Call::Read { .. } => MembershipEvent::ViewReadFailed,
        Call::Swap { .. } => MembershipEvent::ViewSwapEnded(Swap::Unknown),
    }
}
