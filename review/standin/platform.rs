//! Stand-ins of the platform: the store, the executors and the machines, as PROTOCOL.md describes
//! them, on loopback addresses and the real clock.

use std::{
    collections::{BTreeMap, BTreeSet},
    fs::File,
    io::{BufRead, BufReader, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::json::{base64, from_base64, quote, Json};

pub const HEARTBEAT: Duration = Duration::from_millis(1_100);
pub const MAX_HOLD_MS: u64 = 6_000;
pub const MAINTENANCE: Duration = Duration::from_millis(2_000);
pub const LEASE_MS: u64 = 3_000;
pub const SERVICE: &str = "huvo11a";

#[derive(Clone)]
pub struct Item {
    value: String,
    rev: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
pub struct Store {
    rev: u64,
    items: BTreeMap<String, Item>,
    log: Vec<(String, u64, Option<Item>)>,
    leases: BTreeMap<u64, (Instant, Duration)>,
}

impl Store {
    pub fn put(&mut self, key: &str, value: &str, lease: u64) {
        self.rev += 1;
        let created = self.items.get(key).map_or(self.rev, |item| item.created);
        let item = Item {
            value: value.to_owned(),
            rev: self.rev,
            created,
            lease,
        };
        self.log
            .push((key.to_owned(), self.rev, Some(item.clone())));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.rev += 1;
            self.log.push((key.to_owned(), self.rev, None));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, i)| i.lease == lease)
            .map(|(k, _)| k.clone())
            .collect();
        keys.iter().for_each(|key| self.remove(key));
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let over: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (end, _))| *end <= now)
            .map(|(id, _)| *id)
            .collect();
        over.into_iter().for_each(|lease| self.end_lease(lease));
    }

    /// The decoded value of a key.
    pub fn text(&self, key: &str) -> Option<String> {
        let item = self.items.get(key)?;
        Some(String::from_utf8_lossy(&from_base64(&item.value)).into_owned())
    }

    fn json(key: &str, item: &Item) -> String {
        format!(
            "{{\"key\":{},\"value\":\"{}\",\"rev\":{},\"created\":{},\"lease\":{}}}",
            quote(key),
            item.value,
            item.rev,
            item.created,
            item.lease
        )
    }

    fn txn(&mut self, body: &Json) -> (u16, String) {
        let rows = body.get("expected-rev").list();
        let current = |key: &str| self.items.get(key).map_or(0, |item| item.rev);
        if rows
            .iter()
            .any(|row| current(row.get("key").str()) != row.get("rev").u64())
        {
            let items: Vec<String> = rows
                .iter()
                .filter_map(|row| {
                    let key = row.get("key").str();
                    Some(Self::json(key, self.items.get(key)?))
                })
                .collect();
            return (412, format!("{{\"items\":[{}]}}", items.join(",")));
        }
        let puts = body.get("puts").list();
        if puts.iter().any(|put| {
            put.get("lease").u64() != 0 && !self.leases.contains_key(&put.get("lease").u64())
        }) {
            return (404, "{}".into());
        }
        for put in puts {
            self.put(
                put.get("key").str(),
                put.get("value").str(),
                put.get("lease").u64(),
            );
        }
        for key in body.get("remove").list() {
            self.remove(key.str());
        }
        (200, format!("{{\"rev\":{}}}", self.rev))
    }
}

pub struct Run {
    pub spec: String,
    pub started: Instant,
    length: Option<Duration>,
    pub epoch: u64,
}

/// One life of a machine: an executor.
pub struct Life {
    pub id: String,
    born: u64,
    began: Instant,
    fence: u64,
    pub running: BTreeMap<(String, u64), Run>,
    pub ended: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    /// The greatest run that was stopped or ended here, by task.
    closed: BTreeMap<String, u64>,
    lease_end_ms: u64,
    /// Whether its lease has lapsed since these ends were listed.
    state: &'static str,
}

impl Life {
    fn clock_ms(&self) -> u64 {
        u64::try_from(self.began.elapsed().as_millis()).unwrap_or(0) + 100_000
    }

    fn end(&mut self, task: &str, run: u64, how: &'static str) {
        if self.running.remove(&(task.to_owned(), run)).is_some() {
            self.last_end += 1;
            self.ended.push((self.last_end, task.to_owned(), run, how));
            let closed = self.closed.entry(task.to_owned()).or_default();
            *closed = (*closed).max(run);
        }
    }
}

pub struct Machine {
    pub name: String,
    pub address: SocketAddr,
    pub life: Option<Life>,
    /// Until when it is down for upkeep.
    pub upkeep_until: Option<Instant>,
    /// The wave of its last upkeep.
    upkeep_wave: u64,
    /// When its last upkeep began.
    pub upkeep_began: Option<Instant>,
    next_entry: Instant,
    lives: u64,
    /// Upkeeps done or begun, by wave.
    waves_done: BTreeSet<u64>,
    fence: u64,
    /// The last order: when, holder, token.
    last_order: Option<(Instant, String, u64)>,
    /// Answers to holds are late by this time.
    pub answer_delay: Duration,
    /// The kind, which is its first label.
    pub kind: &'static str,
}

/// A step of tasks that last, with the number that may be missing.
pub struct Service {
    pub job: String,
    pub count: usize,
    pub may_miss: usize,
}

/// What a rule's check has found.
#[derive(Clone, Debug)]
pub struct Break {
    pub rule: &'static str,
    pub text: String,
}

pub struct World {
    pub store: Store,
    pub machines: Vec<Machine>,
    pub cpu: u64,
    pub cap: usize,
    /// Nodes that are partitioned from the store, by index.
    pub cut: BTreeSet<usize>,
    /// The store is down for all, and leases pause; since when.
    pub paused: Option<Instant>,
    /// Writes to this key get no answer, and are carried out later by this time.
    pub late: Option<(String, Duration)>,
    /// All writes since the trouble began, and those of them that got no answer.
    pub writes: (u64, u64),
    /// Node that last wrote to the store under a condition.
    pub last_writer: Option<usize>,
    pub breaks: Vec<Break>,
    /// Ends `done` by task, and whether an acknowledgement has covered them.
    pub done: BTreeMap<String, bool>,
    pub starts: u64,
    /// When each start came, and of which task.
    pub started: Vec<(Instant, String)>,
    pub upkeeps: Vec<(Instant, String, String, u64, bool)>,
    pub services: Vec<Service>,
    /// How and when the last run of a task ended.
    last_ends: BTreeMap<String, (&'static str, Instant)>,
    record: File,
    began: Instant,
}

pub struct Shared {
    world: Mutex<World>,
    changed: Condvar,
}

impl Shared {
    pub fn new(record: File, cpu: u64, cap: usize) -> Arc<Self> {
        let world = World {
            store: Store::default(),
            machines: Vec::new(),
            cpu,
            cap,
            cut: BTreeSet::new(),
            paused: None,
            late: None,
            writes: (0, 0),
            last_writer: None,
            breaks: Vec::new(),
            done: BTreeMap::new(),
            starts: 0,
            started: Vec::new(),
            upkeeps: Vec::new(),
            services: Vec::new(),
            last_ends: BTreeMap::new(),
            record,
            began: Instant::now(),
        };
        Arc::new(Self {
            world: Mutex::new(world),
            changed: Condvar::new(),
        })
    }

    pub fn lock(&self) -> MutexGuard<'_, World> {
        self.world.lock().unwrap_or_else(|err| err.into_inner())
    }

    /// Waits until `is_met`, at most for `limit`.
    pub fn wait(&self, limit: Duration, mut is_met: impl FnMut(&mut World) -> bool) -> bool {
        let end = Instant::now() + limit;
        loop {
            if is_met(&mut self.lock()) {
                return true;
            }
            if Instant::now() >= end {
                return false;
            }
            thread::sleep(Duration::from_millis(5));
        }
    }
}

impl World {
    pub fn note(&mut self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.began.elapsed().as_secs_f64());
        let _ = self.record.write_all(line.as_bytes());
    }

    pub fn broken(&mut self, rule: &'static str, text: String) {
        self.note(&format!("BROKEN {rule}: {text}"));
        self.breaks.push(Break { rule, text });
    }

    pub fn add_machine(&mut self, address: SocketAddr) {
        let n = self.machines.len();
        self.machines.push(Machine {
            name: format!("m-{n}"),
            address,
            life: None,
            upkeep_until: None,
            upkeep_wave: 0,
            upkeep_began: None,
            next_entry: Instant::now(),
            lives: 0,
            waves_done: BTreeSet::new(),
            fence: 0,
            last_order: None,
            answer_delay: Duration::ZERO,
            kind: "a",
        });
        self.new_life(n);
    }

    /// The executor crashes: what it runs and knows is gone.
    pub fn crash(&mut self, n: usize) {
        let Some(life) = self.machines[n].life.take() else {
            return;
        };
        let runs: Vec<String> = life
            .running
            .keys()
            .map(|(t, r)| format!("{t} run {r}"))
            .collect();
        self.note(&format!(
            "executor {} crashes with {} runs: {}",
            life.id,
            runs.len(),
            runs.join(", ")
        ));
    }

    /// The executor starts again under the id that it had.
    pub fn start_again(&mut self, n: usize) {
        self.machines[n].lives -= 1;
        self.new_life(n);
    }

    fn new_life(&mut self, n: usize) {
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |t| t.as_millis() as u64);
        let machine = &mut self.machines[n];
        machine.lives += 1;
        machine.next_entry = Instant::now();
        let id = format!("i-{n}-{}", machine.lives);
        machine.life = Some(Life {
            id: id.clone(),
            born,
            began: Instant::now(),
            fence: 0,
            running: BTreeMap::new(),
            ended: Vec::new(),
            last_end: 0,
            closed: BTreeMap::new(),
            lease_end_ms: 0,
            state: "ready",
        });
        let name = machine.name.clone();
        self.note(&format!("executor {id} up on {name}"));
    }

    /// The store is down: no node gets an answer, and leases pause.
    pub fn store_down(&mut self, nodes: usize) {
        self.cut.extend(0..nodes);
        self.paused = Some(Instant::now());
    }

    /// The store is back.
    pub fn store_up(&mut self) {
        self.cut.clear();
        if let Some(since) = self.paused.take() {
            for (end, _) in self.store.leases.values_mut() {
                *end += since.elapsed();
            }
        }
    }

    /// Lets time pass: ends of tasks, leases, entries and upkeeps.
    pub fn advance(&mut self) {
        if self.paused.is_none() {
            self.store.expire();
        }
        let now = Instant::now();
        // While the store is down, executors don't reach it either.
        let is_down = self.paused.is_some();
        let cpu = self.cpu;
        for n in 0..self.machines.len() {
            let machine = &mut self.machines[n];
            if machine.upkeep_until.is_some_and(|until| until <= now) {
                machine.upkeep_until = None;
                self.new_life(n);
            }
            let machine = &mut self.machines[n];
            let (name, address, kind) = (machine.name.clone(), machine.address, machine.kind);
            let is_entry_due = machine.next_entry <= now && !is_down;
            let Some(life) = &mut machine.life else {
                continue;
            };
            let over: Vec<(String, u64)> = life
                .running
                .iter()
                .filter(|(_, run)| {
                    run.length
                        .is_some_and(|length| run.started.elapsed() >= length)
                })
                .map(|(key, _)| key.clone())
                .collect();
            let lapses = !life.running.is_empty() && life.clock_ms() > life.lease_end_ms;
            let mut notes = Vec::new();
            for (task, run) in over {
                life.end(&task, run, "done");
                notes.push(format!("end {task} run {run} done on {}", life.id));
                self.done.entry(task).or_insert(false);
            }
            if lapses {
                let keys: Vec<(String, u64)> = life.running.keys().cloned().collect();
                for (task, run) in keys {
                    life.end(&task, run, "lapsed");
                    notes.push(format!("end {task} run {run} lapsed on {}", life.id));
                }
            }
            let entry = is_entry_due.then(|| {
                let text = format!(
                    "{{\"service\":\"{SERVICE}\",\"address\":\"{address}\",\"zone\":\"nbo-a\",\"version\":\"v1\",\
                     \"slots\":8,\"state\":\"{}\",\"cold-remaining-ms\":0,\"seq-no\":{},\"born\":{},\"clock-ms\":{},\
                     \"machine\":\"{name}\",\"capacity\":{{\"cpu\":{cpu},\"mem-mb\":64000,\"gpu\":0}},\
                     \"labels\":[\"{kind}\",\"r1-{}\"]}}",
                    life.state, life.clock_ms(), life.born, life.clock_ms(), n / 4
                );
                (format!("servers/{}", life.id), text)
            });
            if let Some((key, text)) = entry {
                self.machines[n].next_entry = now + HEARTBEAT;
                self.store.put(&key, &base64(text.as_bytes()), 0);
            }
            for note in notes {
                self.note(&note);
            }
        }
    }

    /// The executors that run a task now.
    fn where_runs(&self, task: &str) -> Vec<String> {
        let lives = self
            .machines
            .iter()
            .filter_map(|machine| machine.life.as_ref());
        lives
            .flat_map(|life| life.running.keys().map(move |(t, run)| (t, run, &life.id)))
            .filter(|(t, ..)| *t == task)
            .map(|(_, run, id)| format!("run {run} on {id}"))
            .collect()
    }

    fn start(&mut self, n: usize, body: &Json) -> (u16, String) {
        let task = body.get("task").str().to_owned();
        let run = body.get("run").u64();
        let token = body.get("fencing-token").u64();
        let deadline = body.get("deadline-ms").u64();
        let Some(life) = &mut self.machines[n].life else {
            return (0, String::new());
        };
        let clock = life.clock_ms();
        if let Some(refusal) = fence(life, token) {
            return refusal;
        }
        if life.running.contains_key(&(task.clone(), run)) {
            return (200, format!("{{\"clock-ms\":{clock}}}"));
        }
        if deadline <= clock {
            return (409, format!("{{\"clock-ms\":{clock},\"reason\":\"late\"}}"));
        }
        life.lease_end_ms = life.lease_end_ms.max(deadline.min(clock + MAX_HOLD_MS));
        let is_old = life.closed.get(&task).is_some_and(|closed| run <= *closed)
            || life.running.keys().any(|(t, r)| *t == task && *r >= run);
        if is_old {
            return (409, format!("{{\"clock-ms\":{clock},\"reason\":\"old\"}}"));
        }
        let id = life.id.clone();
        let others = self.where_runs(&task);
        let spec = body.get("spec").str().to_owned();
        let length = spec
            .strip_prefix("work ")
            .and_then(|ms| ms.parse().ok())
            .map(Duration::from_millis);
        self.starts += 1;
        self.started.push((Instant::now(), task.clone()));
        self.note(&format!("start {task} run {run} on {id} by token {token}"));
        if !others.is_empty() {
            self.broken(
                "TWICE",
                format!(
                    "{task} run {run} begins on {id} while {} still runs",
                    others.join(", ")
                ),
            );
        }
        if self.done.get(&task).copied() == Some(true) {
            self.broken(
                "TWICE",
                format!("{task} run {run} begins on {id} after its end done was taken note of"),
            );
        }
        if let Some(life) = &mut self.machines[n].life {
            let started = Instant::now();
            life.running.insert(
                (task, run),
                Run {
                    spec,
                    started,
                    length,
                    epoch: token,
                },
            );
        }
        (200, format!("{{\"clock-ms\":{clock}}}"))
    }

    fn stop(&mut self, n: usize, body: &Json) -> (u16, String) {
        let (task, run) = (body.get("task").str().to_owned(), body.get("run").u64());
        let Some(life) = &mut self.machines[n].life else {
            return (0, String::new());
        };
        if let Some(refusal) = fence(life, body.get("fencing-token").u64()) {
            return refusal;
        }
        let clock = life.clock_ms();
        life.end(&task, run, "stopped");
        let closed = life.closed.entry(task.clone()).or_default();
        *closed = (*closed).max(run);
        let id = life.id.clone();
        self.last_ends
            .insert(task.clone(), ("stopped", Instant::now()));
        self.note(&format!("stop {task} run {run} on {id}"));
        (200, format!("{{\"clock-ms\":{clock}}}"))
    }

    fn pace(&mut self, n: usize, body: &Json) -> (u16, String) {
        let Some(life) = &mut self.machines[n].life else {
            return (0, String::new());
        };
        if let Some(refusal) = fence(life, body.get("fencing-token").u64()) {
            return refusal;
        }
        (200, format!("{{\"clock-ms\":{}}}", life.clock_ms()))
    }

    /// Takes in a hold; the lists follow by [`World::lists`].
    fn hold(&mut self, n: usize, body: &Json) -> Option<(u16, String)> {
        let Some(life) = &mut self.machines[n].life else {
            return Some((0, String::new()));
        };
        if let Some(refusal) = fence(life, body.get("fencing-token").u64()) {
            return Some(refusal);
        }
        let clock = life.clock_ms();
        let deadline = body.get("deadline-ms");
        if !deadline.is_null() {
            life.lease_end_ms = life
                .lease_end_ms
                .max(deadline.u64().min(clock + MAX_HOLD_MS));
        }
        let cursor = body.get("ack-cursor").u64();
        let noted: Vec<String> = life
            .ended
            .iter()
            .filter(|(number, _, _, how)| *number <= cursor && *how == "done")
            .map(|(_, task, ..)| task.clone())
            .collect();
        life.ended.retain(|(number, ..)| *number > cursor);
        for task in noted {
            self.done.insert(task, true);
        }
        None
    }

    fn lists(&self, n: usize) -> Option<(u16, String)> {
        let life = self.machines[n].life.as_ref()?;
        let running: Vec<String> = life
            .running
            .iter()
            .map(|((task, run), state)| {
                let ms = state.started.elapsed().as_millis();
                let percent = match state.length {
                    Some(length) => (ms * 100 / length.as_millis().max(1)).min(100),
                    None if ms >= 300 => 100,
                    None => 20,
                };
                format!("[{},{run},\"\",{percent},900]", quote(task))
            })
            .collect();
        let ended: Vec<String> = life
            .ended
            .iter()
            .take(500)
            .map(|(number, task, run, how)| {
                format!("[{number},{},{run},\"{how}\",\"\"]", quote(task))
            })
            .collect();
        let text = format!(
            "{{\"clock-ms\":{},\"born\":{},\"running\":[{}],\"ended\":[{}]}}",
            life.clock_ms(),
            life.born,
            running.join(","),
            ended.join(",")
        );
        Some((200, text))
    }

    fn machines_list(&self) -> String {
        let cpu = self.cpu;
        let rows: Vec<String> = self
            .machines
            .iter()
            .enumerate()
            .map(|(n, machine)| {
                let state = if machine.upkeep_until.is_some() { "upkeep" } else { "up" };
                let id = machine.life.as_ref().map_or(String::new(), |life| life.id.clone());
                format!(
                    "{{\"machine\":\"{}\",\"pool\":\"{SERVICE}\",\"state\":\"{state}\",\"zone\":\"nbo-a\",\
                     \"labels\":[\"{}\",\"r1-{}\"],\"capacity\":{{\"cpu\":{cpu},\"mem-mb\":64000,\"gpu\":0}},\"id\":\"{id}\"}}",
                    machine.name, machine.kind, n / 4
                )
            })
            .collect();
        format!("{{\"machines\":[{}],\"next-token\":null}}", rows.join(","))
    }

    /// Tasks of steps with `may-miss` that an upkeep ends.
    fn check_availability(&mut self, ended: &Life, name: &str, holder: &str) {
        let now = Instant::now();
        let at_work = |run: &Run| run.started.elapsed() >= Duration::from_millis(300);
        for ((task, run), state) in &ended.running {
            let Some(service) = self
                .services
                .iter()
                .find(|service| task.starts_with(&service.job))
            else {
                continue;
            };
            let (job, count, may_miss) = (service.job.clone(), service.count, service.may_miss);
            let mut away = Vec::new();
            for index in 0..count {
                let other = format!("{job}.0.0.{index}");
                let lives = self
                    .machines
                    .iter()
                    .filter_map(|machine| machine.life.as_ref());
                let is_there = lives
                    .flat_map(|life| &life.running)
                    .any(|((t, _), run)| *t == other && at_work(run));
                // Those of this executor end at the same moment by this order.
                let ends_now = ended.running.keys().any(|(t, _)| *t == other);
                if other == *task || is_there || ends_now {
                    continue;
                }
                match self.last_ends.get(&other) {
                    Some((how, _)) if *how == "stopped" || *how == "upkeep" => {
                        away.push(format!("{other} ({how})"))
                    }
                    Some((_, at)) if at.elapsed() >= Duration::from_millis(4_500) => {
                        away.push(format!("{other} (long)"))
                    }
                    _ => {}
                }
            }
            if at_work(state) && away.len() >= may_miss {
                self.broken("AVAIL", format!("upkeep of {name} by {holder} ends {task} run {run}, which is at work, while {} away; may-miss is {may_miss}", away.join(", ")));
            }
        }
        for (task, _) in ended.running.keys() {
            self.last_ends.insert(task.clone(), ("upkeep", now));
        }
    }

    fn upkeep(&mut self, holder: &str, token: u64, body: &Json) -> (u16, String) {
        let (name, wave) = (body.get("machine").str().to_owned(), body.get("wave").u64());
        let now = Instant::now();
        let Some(n) = self
            .machines
            .iter()
            .position(|machine| machine.name == name)
        else {
            return (400, "{}".into());
        };
        if token < self.machines[n].fence {
            self.note(&format!(
                "upkeep of {name} by {holder} token {token} refused: fence"
            ));
            return (409, "{\"reason\":\"fence\"}".into());
        }
        let last = self.machines[n]
            .last_order
            .replace((now, holder.to_owned(), token));
        self.machines[n].fence = token;
        if let Some((at, other, other_token)) = last.filter(|(_, other, _)| other != holder) {
            let ms = now.duration_since(at).as_millis() as u64;
            if ms < LEASE_MS {
                self.broken("ONE", format!("{holder} (token {token}) orders {name} {ms} ms after {other} (token {other_token}); lease-ms is {LEASE_MS}"));
            } else if other_token == token {
                self.broken(
                    "ONE",
                    format!("{holder} and {other} order {name} with one token {token}"),
                );
            }
        }
        if self.machines[n].waves_done.contains(&wave) {
            self.note(&format!(
                "upkeep of {name} for wave {wave} by {holder} token {token}: already done, 200"
            ));
            self.upkeeps
                .push((now, name, holder.to_owned(), token, false));
            return (200, "{}".into());
        }
        if self.machines[n].life.is_none() {
            return (409, "{\"reason\":\"busy\"}".into());
        }
        let down: Vec<String> = self
            .machines
            .iter()
            .filter(|m| m.upkeep_until.is_some() && m.upkeep_wave == wave)
            .map(|m| m.name.clone())
            .collect();
        let life = self.machines[n].life.take();
        let runs: Vec<String> = life
            .iter()
            .flat_map(|life| life.running.keys())
            .map(|(t, r)| format!("{t} run {r}"))
            .collect();
        self.note(&format!("upkeep of {name} for wave {wave} by {holder} token {token} begins; it ends {} runs: {}", runs.len(), runs.join(", ")));
        if down.len() >= self.cap {
            self.broken("LIMIT", format!("upkeep of {name} by {holder} (token {token}) begins while {} of the wave {} down; cap is {}", down.join(", "), if down.len() == 1 { "is" } else { "are" }, self.cap));
        }
        if let Some(life) = &life {
            self.check_availability(life, &name, holder);
        }
        let id = life.map(|life| life.id);
        if let Some(id) = id {
            self.store.remove(&format!("servers/{id}"));
        }
        let machine = &mut self.machines[n];
        machine.upkeep_until = Some(now + MAINTENANCE);
        machine.upkeep_began = Some(now);
        machine.upkeep_wave = wave;
        machine.waves_done.insert(wave);
        self.upkeeps
            .push((now, name, holder.to_owned(), token, true));
        (200, "{}".into())
    }
}

/// Refuses an order with a lower token than the executor has seen.
fn fence(life: &mut Life, token: u64) -> Option<(u16, String)> {
    if token < life.fence {
        return Some((
            409,
            format!("{{\"clock-ms\":{},\"reason\":\"fence\"}}", life.clock_ms()),
        ));
    }
    life.fence = token;
    None
}

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: BTreeMap<String, String>,
    pub headers: BTreeMap<String, String>,
    pub body: String,
}

/// Reads one request; `None` at the end of the connection.
fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let method = words.next()?.to_owned();
    let target = words.next()?.to_owned();
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
    let length = headers
        .get("content-length")
        .and_then(|v| v.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = query.map(|(k, v)| (k.to_owned(), v.to_owned())).collect();
    Some(Request {
        method,
        path: path.to_owned(),
        query,
        headers,
        body: String::from_utf8(body).ok()?,
    })
}

/// Serves an address; a status of 0 closes the connection without an answer.
pub fn serve(
    listener: TcpListener,
    respond: impl Fn(&Request) -> (u16, String) + Send + Sync + 'static,
) {
    serve_while(listener, || true, respond);
}

/// Serves an address while its process is up; connections are refused while it is down.
fn serve_while(
    listener: TcpListener,
    is_up: impl Fn() -> bool + Send + 'static,
    respond: impl Fn(&Request) -> (u16, String) + Send + Sync + 'static,
) {
    let respond = Arc::new(respond);
    thread::spawn(move || {
        let Ok(address) = listener.local_addr() else {
            return;
        };
        let mut open = Some(listener);
        let mut streams: Vec<TcpStream> = Vec::new();
        loop {
            if !is_up() {
                open = None;
                for stream in streams.drain(..) {
                    let _ = stream.shutdown(Shutdown::Both);
                }
                thread::sleep(Duration::from_millis(1));
                continue;
            }
            let Some(listener) = &open else {
                open = TcpListener::bind(address).ok();
                continue;
            };
            let _ = listener.set_nonblocking(true);
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            streams.extend(stream.try_clone());
            let respond = Arc::clone(&respond);
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else {
                    return;
                };
                let mut reader = BufReader::new(stream);
                while let Some(request) = read_request(&mut reader) {
                    let (status, body) = respond(&request);
                    if status == 0 {
                        return;
                    }
                    let text = format!(
                        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                        body.len()
                    );
                    if writer.write_all(text.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
}

/// Serves the store to one node.
pub fn serve_store(shared: &Arc<Shared>, node: usize, listener: TcpListener) {
    let shared = Arc::clone(shared);
    serve(listener, move |request| {
        if let Some(delay) = late_by(&shared, request) {
            let shared = Arc::clone(&shared);
            let body = Json::parse(&request.body);
            thread::spawn(move || {
                thread::sleep(delay);
                let mut world = shared.lock();
                let (status, _) = world.store.txn(&body);
                world.note(&format!("store: the late write is carried out -> {status}"));
            });
            // The connection on which the answer is lost returns nothing further.
            thread::sleep(Duration::from_secs(3));
            return (0, String::new());
        }
        // While the node is cut off, what it sends is lost, and it gets no answer.
        let answer = if shared.lock().cut.contains(&node) {
            None
        } else {
            Some(store_call(&shared, node, request))
        };
        let mut was_cut = answer.is_none();
        while shared.lock().cut.contains(&node) {
            was_cut = true;
            thread::sleep(Duration::from_millis(20));
        }
        match answer {
            Some(answer) if !was_cut => answer,
            _ => (0, String::new()),
        }
    });
}

/// The time by which a write is late, if its answer is lost.
fn late_by(shared: &Shared, request: &Request) -> Option<Duration> {
    if request.path != "/-/kv-txn" {
        return None;
    }
    let body = Json::parse(&request.body);
    let mut world = shared.lock();
    world.writes.0 += 1;
    let (key, delay) = world.late.clone()?;
    let is_meant = body
        .get("puts")
        .list()
        .iter()
        .any(|put| put.get("key").str().ends_with(&key));
    if is_meant {
        world.writes.1 += 1;
        world.note(&format!("store: a write of {key} gets no answer"));
    }
    is_meant.then_some(delay)
}

fn store_call(shared: &Shared, node: usize, request: &Request) -> (u16, String) {
    let query = |key: &str| request.query.get(key).cloned().unwrap_or_default();
    match (request.method.as_str(), request.path.as_str()) {
        ("GET", "/-/kv-key") => {
            let world = shared.lock();
            let key = query("key");
            match world.store.items.get(&key) {
                Some(item) => (200, Store::json(&key, item)),
                None => (404, "{}".into()),
            }
        }
        ("GET", "/-/kv-range") => {
            let world = shared.lock();
            let (prefix, after) = (query("prefix"), query("after"));
            let matching = world
                .store
                .items
                .iter()
                .filter(|(key, _)| key.starts_with(&prefix) && **key > after);
            let rows: Vec<String> = matching
                .take(501)
                .map(|(key, item)| Store::json(key, item))
                .collect();
            let has_more = rows.len() > 500;
            let rows = rows.into_iter().take(500).collect::<Vec<_>>().join(",");
            (
                200,
                format!(
                    "{{\"items\":[{rows}],\"has-more\":{has_more},\"at\":{}}}",
                    world.store.rev
                ),
            )
        }
        ("GET", "/-/kv-watch") => {
            let after: u64 = query("after").parse().unwrap_or(0);
            let wait = Duration::from_millis(query("wait-ms").parse().unwrap_or(0));
            let (prefix, end) = (query("prefix"), Instant::now() + wait);
            loop {
                {
                    let world = shared.lock();
                    let new = world
                        .store
                        .log
                        .iter()
                        .rev()
                        .take_while(|(_, rev, _)| *rev > after);
                    let mut rows: Vec<String> = new
                        .filter(|(key, ..)| key.starts_with(&prefix))
                        .map(|(key, rev, item)| match item {
                            Some(item) => Store::json(key, item),
                            None => {
                                format!("{{\"key\":{},\"rev\":{rev},\"deleted\":true}}", quote(key))
                            }
                        })
                        .collect();
                    rows.reverse();
                    let is_over = Instant::now() >= end || world.cut.contains(&node);
                    if !rows.is_empty() || is_over {
                        return (
                            200,
                            format!(
                                "{{\"events\":[{}],\"at\":{}}}",
                                rows.join(","),
                                world.store.rev
                            ),
                        );
                    }
                }
                thread::sleep(Duration::from_millis(5));
            }
        }
        ("POST", "/-/kv-txn") => {
            let body = Json::parse(&request.body);
            let mut world = shared.lock();
            world.store.expire();
            let answer = world.store.txn(&body);
            if answer.0 == 200 && !body.get("expected-rev").list().is_empty() {
                world.last_writer = Some(node);
            }
            if answer.0 == 200 {
                for put in body.get("puts").list() {
                    let key = put.get("key").str();
                    if key.starts_with("status/") {
                        let text = world.store.text(key).unwrap_or_default();
                        world.note(&format!("{key} = {text}"));
                    }
                }
            }
            answer
        }
        ("POST", "/-/kv-lease") => {
            let ms = Json::parse(&request.body).get("ttl-ms").u64().max(1_000);
            let mut world = shared.lock();
            world.store.rev += 1;
            let lease = world.store.rev;
            let ttl = Duration::from_millis(ms);
            world
                .store
                .leases
                .insert(lease, (Instant::now() + ttl, ttl));
            (200, format!("{{\"lease\":{lease},\"ttl-ms\":{ms}}}"))
        }
        (method, path) => {
            let lease: u64 = path
                .rsplit('/')
                .next()
                .and_then(|id| id.parse().ok())
                .unwrap_or(0);
            let mut world = shared.lock();
            world.store.expire();
            let Some((end, ttl)) = world.store.leases.get_mut(&lease) else {
                return (404, "{}".into());
            };
            *end = Instant::now() + *ttl;
            if method == "DELETE" {
                world.store.end_lease(lease);
            }
            (200, "{}".into())
        }
    }
}

/// Serves one machine's executor.
pub fn serve_executor(shared: &Arc<Shared>, n: usize, listener: TcpListener) {
    let shared = Arc::clone(shared);
    let for_listener = Arc::clone(&shared);
    let is_up = move || for_listener.lock().machines[n].life.is_some();
    serve_while(listener, is_up, move |request| {
        let body = Json::parse(&request.body);
        let target = request
            .headers
            .get("x-target-instance")
            .cloned()
            .unwrap_or_default();
        let delay = {
            let mut world = shared.lock();
            world.advance();
            let Some(life) = &world.machines[n].life else {
                return (0, String::new());
            };
            if life.id != target {
                return (421, "{}".into());
            }
            match request.path.as_str() {
                "/-/run-start" => return world.start(n, &body),
                "/-/run-stop" => return world.stop(n, &body),
                "/-/pace" => return world.pace(n, &body),
                "/-/hold" => {}
                _ => return (404, "{}".into()),
            }
            if let Some(answer) = world.hold(n, &body) {
                return answer;
            }
            world.machines[n].answer_delay
        };
        let end = Instant::now() + Duration::from_millis(body.get("wait-ms").u64());
        loop {
            {
                let mut world = shared.lock();
                world.advance();
                let Some(life) = &world.machines[n].life else {
                    return (0, String::new());
                };
                if life.id != target {
                    return (0, String::new());
                }
                if !life.ended.is_empty() || Instant::now() >= end {
                    break;
                }
            }
            thread::sleep(Duration::from_millis(10));
        }
        if delay > Duration::ZERO {
            thread::sleep(delay);
        }
        shared.lock().lists(n).unwrap_or((0, String::new()))
    });
}

/// Serves the list of machines and the orders to them.
pub fn serve_cloud(shared: &Arc<Shared>, listener: TcpListener) {
    let shared = Arc::clone(shared);
    serve(listener, move |request| {
        let mut world = shared.lock();
        world.advance();
        match request.path.as_str() {
            "/-/machines" => (200, world.machines_list()),
            "/-/machine-upkeep" => {
                let header = |name: &str| request.headers.get(name).cloned().unwrap_or_default();
                let holder = header("x-lease-holder");
                let token = header("x-fencing-token").parse().unwrap_or(0);
                world.upkeep(&holder, token, &Json::parse(&request.body))
            }
            _ => (404, "{}".into()),
        }
    });
}

/// Lets the platform's time pass.
pub fn keep_time(shared: &Arc<Shared>) {
    let shared = Arc::clone(shared);
    thread::spawn(move || loop {
        shared.lock().advance();
        shared.changed.notify_all();
        thread::sleep(Duration::from_millis(10));
    });
}
