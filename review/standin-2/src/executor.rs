//! Executors, as the page PROTOCOL describes them. Their `admission-check` is false.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    cluster::ip,
    http::{Reply, Request, Server},
    json::{Json, map, n, s},
    record::Record,
    store::Store,
};

/// How often an executor writes its entry; the settings of the nodes give the same.
pub const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// Longest lease that an executor grants.
const MAX_HOLD_MS: u64 = 6_000;

/// Longer than any script runs.
const LASTING_MS: u64 = 3_600_000;
/// Time from the start of a task that lasts until it is at work.
const STARTUP: Duration = Duration::from_millis(300);
/// How long a member of a gang waits for the others.
const GANG_TIMEOUT: Duration = Duration::from_millis(3_000);

#[derive(Clone)]
pub struct Kind {
    pub id: String,
    pub service: String,
    pub rack: String,
    pub label: String,
    pub cpu: u64,
    pub mem_mb: u64,
}

#[derive(Clone, Debug)]
struct Run {
    run: u64,
    began: Instant,
    takes: Duration,
    fails: bool,
    /// Thousandths of a core in use.
    cpu: u64,
    saves: bool,
    /// Work that earlier runs had done at the checkpoint that this run began with.
    base: Duration,
    /// The step and the run, for a member of a gang.
    gang: Option<GangKey>,
}

type GangKey = (String, u64);

/// One run of a gang.
#[derive(Debug)]
struct Gang {
    members: usize,
    present: usize,
    /// When all members were present.
    since: Option<Instant>,
    over: Option<&'static str>,
}

/// Runs of gangs on all executors.
#[derive(Default)]
pub struct Gangs(Mutex<BTreeMap<GangKey, Gang>>);

impl Run {
    /// Work done so far; members of a gang work from when all are present.
    fn progress(&self, gangs: &Gangs) -> Duration {
        let since = match &self.gang {
            None => Some(self.began),
            Some(key) => gangs.0.lock().unwrap().get(key).and_then(|gang| gang.since),
        };
        self.base + since.map_or(Duration::ZERO, |since| since.elapsed())
    }

    /// The newest checkpoint, `ms:` and the work that it holds; one is made with each half second.
    fn saved(&self, gangs: &Gangs) -> String {
        let ms = self.progress(gangs).as_millis() / 500 * 500;
        if self.saves && ms > 0 { format!("ms:{ms}") } else { String::new() }
    }
}

/// One life of an executor.
struct Life {
    born: u64,
    began: Instant,
    fence: u64,
    deadline: u64,
    running: BTreeMap<String, Run>,
    /// Greatest run that was stopped or ended here, by task.
    over: BTreeMap<String, u64>,
    ended: Vec<(u64, String, u64, &'static str, String)>,
    last_end: u64,
}

impl Run {
    /// The other members end, too.
    fn leave_gang(&self, gangs: &Gangs, how: &'static str) {
        if let Some(key) = &self.gang {
            if let Some(gang) = gangs.0.lock().unwrap().get_mut(key) {
                gang.over.get_or_insert(how);
            }
        }
    }
}

impl Life {
    fn clock(&self) -> u64 {
        self.began.elapsed().as_millis() as u64 + 1
    }

    fn end(&mut self, task: &str, how: &'static str, gangs: &Gangs) {
        if let Some(run) = self.running.remove(task) {
            self.last_end += 1;
            let saved = if how == "done" { String::new() } else { run.saved(gangs) };
            self.ended.push((self.last_end, task.to_owned(), run.run, how, saved));
            run.leave_gang(gangs, if how == "done" { "done" } else { "broken" });
            let over = self.over.entry(task.to_owned()).or_default();
            *over = (*over).max(run.run);
        }
    }
}

pub struct Executor {
    pub kind: Kind,
    address: SocketAddr,
    life: Mutex<Option<Life>>,
    changed: Condvar,
    server: Mutex<Option<Server>>,
    /// While set, the executor answers 503 to starts and does nothing for them.
    refuses: Mutex<bool>,
    /// The kind's label of the current life.
    label: Mutex<String>,
    gangs: Arc<Gangs>,
    record: Arc<Record>,
}

/// The time that a task takes, whether it fails, and the thousandths of a core that it uses, from its
/// `spec`, such as `done 500 1000`, `fail 300 2000` or, for a task that lasts, `last 0 1000`.
fn work(spec: &str) -> (Duration, bool, u64) {
    let mut words = spec.split_whitespace();
    let what = words.next().unwrap_or_default();
    let fails = what == "fail";
    let ms = words.next().and_then(|ms| ms.parse().ok()).unwrap_or(100);
    let ms = if what == "last" { LASTING_MS } else { ms };
    let cpu = words.next().and_then(|cpu| cpu.parse().ok()).unwrap_or(100);
    (Duration::from_millis(ms), fails, cpu)
}

impl Executor {
    pub fn start(kind: Kind, store: &Arc<Store>, gangs: &Arc<Gangs>, record: &Arc<Record>) -> std::io::Result<Arc<Executor>> {
        // The port is chosen once; the executor comes back at its address.
        let address = Server::start(format!("{}:0", ip(1)).parse().unwrap(), |_| None).map(|server| {
            server.stop();
            server.address
        })?;
        thread::sleep(Duration::from_millis(10));
        let executor = Arc::new(Executor {
            label: Mutex::new(kind.label.clone()),
            kind,
            address,
            life: Mutex::new(None),
            changed: Condvar::new(),
            server: Mutex::new(None),
            refuses: Mutex::new(false),
            gangs: Arc::clone(gangs),
            record: Arc::clone(record),
        });
        executor.come_up(store)?;
        let ticking = Arc::clone(&executor);
        thread::spawn(move || {
            loop {
                ticking.tick();
                thread::sleep(Duration::from_millis(5));
            }
        });
        let (beating, store) = (Arc::clone(&executor), Arc::clone(store));
        thread::spawn(move || {
            let mut written = Instant::now();
            loop {
                thread::sleep(Duration::from_millis(50));
                if beating.life.lock().unwrap().is_none() {
                    // An entry is removed after three intervals of silence.
                    if written.elapsed() > HEARTBEAT * 3 {
                        store.delete(&format!("servers/{}", beating.kind.id));
                        written = Instant::now() + Duration::from_secs(3_600);
                    }
                } else if written > Instant::now() || written.elapsed() >= HEARTBEAT {
                    beating.beat(&store);
                    written = Instant::now();
                }
            }
        });
        Ok(executor)
    }

    /// Begins a life that knows nothing of earlier ones.
    pub fn come_up(self: &Arc<Self>, store: &Arc<Store>) -> std::io::Result<()> {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |t| t.as_millis() as u64);
        *self.life.lock().unwrap() = Some(Life {
            born,
            began: Instant::now(),
            fence: 0,
            deadline: 0,
            running: BTreeMap::new(),
            over: BTreeMap::new(),
            ended: Vec::new(),
            last_end: 0,
        });
        let serving = Arc::clone(self);
        let server = Server::start(self.address, move |req| serving.respond(req))?;
        *self.server.lock().unwrap() = Some(server);
        self.record.line(&format!("executor {} is up at {}, kind {}", self.kind.id, self.address, self.label()));
        self.beat(store);
        Ok(())
    }

    /// Crashes: the port is closed, connections are reset, and all that runs is lost.
    pub fn crash(&self) {
        let lost = self.life.lock().unwrap().take();
        if let Some(server) = self.server.lock().unwrap().take() {
            server.stop();
        }
        self.changed.notify_all();
        for run in lost.iter().flat_map(|life| life.running.values()) {
            run.leave_gang(&self.gangs, "broken");
        }
        let lost: Vec<String> = lost.into_iter().flat_map(|life| life.running.into_keys()).collect();
        self.record.line(&format!("executor {} crashes, with {lost:?}", self.kind.id));
    }

    pub fn set_refuses(&self, refuses: bool) {
        *self.refuses.lock().unwrap() = refuses;
        self.record.line(&format!("executor {} refuses starts with 503: {refuses}", self.kind.id));
    }

    /// Sets the label of the lives from now on.
    pub fn set_label(&self, label: &str) {
        *self.label.lock().unwrap() = label.to_owned();
    }

    pub fn label(&self) -> String {
        self.label.lock().unwrap().clone()
    }

    /// The tasks that run here.
    pub fn running(&self) -> Vec<String> {
        let life = self.life.lock().unwrap();
        life.iter().flat_map(|life| life.running.keys().cloned()).collect()
    }

    fn beat(&self, store: &Store) {
        let life = self.life.lock().unwrap();
        let Some(life) = &*life else {
            return;
        };
        let kind = &self.kind;
        let capacity = map([("cpu", n(kind.cpu)), ("mem-mb", n(kind.mem_mb)), ("gpu", n(0))]);
        let entry = map([
            ("service", s(&kind.service)),
            ("address", s(&self.address.to_string())),
            ("zone", s("a")),
            ("version", s("v1")),
            ("slots", n(8)),
            ("state", s("ready")),
            ("cold-remaining-ms", n(0)),
            ("capacity", capacity),
            ("labels", Json::List(vec![s(&self.label()), s(&kind.rack)])),
            ("clock-ms", n(life.clock())),
            ("born", n(life.born)),
            ("seq-no", n(life.clock())),
        ]);
        store.write(&format!("servers/{}", kind.id), &entry.to_string());
    }

    fn tick(&self) {
        let mut life = self.life.lock().unwrap();
        let Some(life) = &mut *life else {
            return;
        };
        let has_lapsed = life.clock() > life.deadline;
        let over = |run: &Run| run.progress(&self.gangs) >= run.takes;
        let of_gang = |run: &Run| {
            let gangs = self.gangs.0.lock().unwrap();
            let gang = gangs.get(run.gang.as_ref()?)?;
            let is_alone = gang.since.is_none() && run.began.elapsed() >= GANG_TIMEOUT;
            gang.over.or(is_alone.then_some("alone"))
        };
        let ends: Vec<(String, &'static str)> = life
            .running
            .iter()
            .filter_map(|(task, run)| {
                let how = if has_lapsed {
                    "lapsed"
                } else if let Some(how) = of_gang(run) {
                    how
                } else if !over(run) {
                    return None;
                } else if run.fails {
                    "failed"
                } else {
                    "done"
                };
                Some((task.clone(), how))
            })
            .collect();
        for (task, how) in ends {
            let run = life.running[&task].run;
            life.end(&task, how, &self.gangs);
            self.record.line(&format!("run {task} {run} ends {how} on {}", self.kind.id));
            self.record.end(&task, how);
            self.changed.notify_all();
        }
    }

    fn respond(&self, req: &Request) -> Reply {
        let body = Json::parse(&req.body).unwrap_or(Json::Null);
        if req.headers.get("x-target-instance").is_some_and(|id| *id != self.kind.id) {
            return Some((421, String::new()));
        }
        if req.path == "/-/run-start" && *self.refuses.lock().unwrap() {
            let task = body.get("task").str().unwrap_or("");
            self.record.line(&format!("start of {task} refused with 503 by {}", self.kind.id));
            return Some((503, String::new()));
        }
        let mut guard = self.life.lock().unwrap();
        let life = guard.as_mut()?;
        let clock = life.clock();
        let refuse = |reason: &str| Some((409, map([("clock-ms", n(clock)), ("reason", s(reason))]).to_string()));
        let ok = Some((200, map([("clock-ms", n(clock)), ("born", n(life.born))]).to_string()));
        let fence = body.get("fencing-token").num().unwrap_or(0);
        if fence < life.fence {
            return refuse("fence");
        }
        life.fence = fence;
        if let Some(deadline) = body.get("deadline-ms").num() {
            life.deadline = life.deadline.max(deadline.min(clock + MAX_HOLD_MS));
        }
        let task = body.get("task").str().unwrap_or("").to_owned();
        let run = body.get("run").num().unwrap_or(0);
        match req.path.as_str() {
            "/-/run-start" => {
                if body.get("deadline-ms").num().unwrap_or(0) <= clock {
                    return refuse("late");
                }
                if life.running.get(&task).is_some_and(|known| known.run == run) {
                    return ok;
                }
                if life.over.get(&task).is_some_and(|over| run <= *over) || life.running.contains_key(&task) {
                    return refuse("old");
                }
                let spec = body.get("spec").str().unwrap_or("");
                let (takes, fails, cpu) = work(spec);
                let checkpoint = body.get("checkpoint").str().unwrap_or("");
                let base = checkpoint.strip_prefix("ms:").and_then(|ms| ms.parse().ok()).unwrap_or(0);
                // A spec of a gang ends with `gang` and the number of its members.
                let members = spec.split_once(" gang ").and_then(|(_, count)| count.parse().ok());
                let gang = members.map(|members| {
                    let key = (task.rsplit_once('.').map_or("", |(step, _)| step).to_owned(), run);
                    let mut gangs = self.gangs.0.lock().unwrap();
                    let none = Gang { members, present: 0, since: None, over: None };
                    let gang = gangs.entry(key.clone()).or_insert(none);
                    gang.present += 1;
                    if gang.present == gang.members {
                        gang.since = Some(Instant::now());
                    }
                    key
                });
                let new = Run {
                    run,
                    began: Instant::now(),
                    takes,
                    fails,
                    cpu,
                    saves: gang.is_some(),
                    base: Duration::from_millis(base),
                    gang,
                };
                life.running.insert(task.clone(), new);
                self.record.line(&format!(
                    "run {task} {run} starts on {}, spec {spec:?}, checkpoint {checkpoint:?}, fence {fence}",
                    self.kind.id
                ));
                self.record.start(&task, run, checkpoint);
                ok
            }
            "/-/run-stop" => {
                if life.running.get(&task).is_some_and(|known| known.run <= run) {
                    life.end(&task, "stopped", &self.gangs);
                    self.record.line(&format!("run {task} {run} is stopped on {}", self.kind.id));
                }
                let over = life.over.entry(task).or_default();
                *over = (*over).max(run);
                self.changed.notify_all();
                ok
            }
            "/-/hold" => {
                let ack = body.get("ack-cursor").num().unwrap_or(0);
                life.ended.retain(|(number, ..)| *number > ack);
                let born = life.born;
                let wait = body.get("wait-ms").num().unwrap_or(0).min(2_000);
                let end = Instant::now() + Duration::from_millis(wait);
                loop {
                    let life = guard.as_mut().filter(|life| life.born == born)?;
                    let left = end.saturating_duration_since(Instant::now());
                    if !life.ended.is_empty() || left.is_zero() {
                        return Some((200, lists(life, &self.gangs).to_string()));
                    }
                    guard = self.changed.wait_timeout(guard, left).unwrap().0;
                }
            }
            "/-/pace" => ok,
            _ => Some((404, String::new())),
        }
    }
}

fn lists(life: &Life, gangs: &Gangs) -> Json {
    let running = life.running.iter().map(|(task, run)| {
        let (elapsed, takes) = (run.began.elapsed().as_millis() as u64, run.takes.as_millis() as u64);
        let percent = if takes < LASTING_MS {
            (elapsed * 100 / takes.max(1)).min(99)
        } else {
            (elapsed * 100 / STARTUP.as_millis() as u64).min(100)
        };
        Json::List(vec![s(task), n(run.run), s(&run.saved(gangs)), n(percent), n(run.cpu)])
    });
    let ended = life.ended.iter().take(500).map(|(number, task, run, how, saved)| {
        Json::List(vec![n(*number), s(task), n(*run), s(how), s(saved)])
    });
    map([
        ("clock-ms", n(life.clock())),
        ("born", n(life.born)),
        ("running", Json::List(running.collect())),
        ("ended", Json::List(ended.collect())),
    ])
}
