//! Executors: they start what they are told, hold leases and list runs and ends, as PROTOCOL
//! describes them. A task's `spec` says how long it works and whether its tasks are a gang.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Answer, Request, Server};
use crate::json::{Json, quote};
use crate::store::Store;
use crate::world::{Log, unix_ms};

const MAX_HOLD_MS: u64 = 6_000;
const STOP_MS: u64 = 100;
const RESTORE_MS: u64 = 100;
const GANG_TIMEOUT_MS: u64 = 3_000;

/// What the executors of a world have in common.
pub struct Fleet {
    pub store: Arc<Store>,
    pub log: Arc<Log>,
    pub state: Mutex<State>,
    pub ended: Condvar,
    /// When work was last counted.
    pub ticked: Mutex<Option<Instant>>,
    /// Time of work after which a task has a new checkpoint.
    pub checkpoint_ms: u64,
    /// What is noted of every start, for the checks.
    pub starts: Mutex<Vec<Start>>,
    pub ends: Mutex<Vec<End>>,
}

#[derive(Clone, Debug)]
pub struct Start {
    pub at: u64,

    pub executor: String,
    pub task: String,
    pub run: u64,
    pub checkpoint: String,
}

#[derive(Clone, Debug)]
pub struct End {
    pub at: u64,
    /// When the acknowledgement came; 0 for none.
    pub acked_at: u64,
    pub born: u64,
    pub number: u64,
    pub executor: String,
    pub task: String,
    pub run: u64,
    pub how: String,
}

#[derive(Default)]
pub struct State {
    pub executors: BTreeMap<String, Executor>,
}

pub struct Executor {
    pub at: SocketAddr,
    pub service: String,
    pub labels: Vec<String>,
    pub cpu: u64,
    pub mem_mb: u64,
    pub draining: bool,
    /// Work takes this many times as long.
    pub slowness: f64,
    pub life: Option<Life>,
    pub server: Option<Server>,
    pub seq: u64,
}

/// One incarnation.
pub struct Life {
    pub born: u64,
    pub began: Instant,
    pub token: u64,
    pub lease_end: u64,
    pub runs: BTreeMap<String, Run>,
    /// Greatest run that was stopped or has ended, by task.
    pub over: BTreeMap<String, u64>,
    pub ends: Vec<(u64, String, u64, String, String)>,
    pub last_end: u64,
}

pub struct Run {
    pub run: u64,
    pub began: Instant,
    pub works_from: Option<Instant>,
    /// Work done in this run, in milliseconds of an executor at full speed.
    pub worked_ms: f64,
    pub work_ms: u64,
    pub lasts: bool,
    pub done_before_ms: u64,
    pub carried: String,
    pub gang: usize,
    pub saves: bool,
    pub fails: bool,
    pub stopping: Option<Instant>,
}

fn setting(spec: &str, name: &str) -> Option<u64> {
    let mut words = spec.split(' ').filter_map(|w| w.split_once('='));
    words
        .find(|(n, _)| *n == name)
        .and_then(|(_, v)| v.parse().ok())
}

impl Run {
    fn worked_ms(&self) -> u64 {
        self.done_before_ms + self.worked_ms as u64
    }

    fn saved(&self, task: &str, checkpoint_ms: u64) -> String {
        if !self.saves {
            return String::new();
        }
        let steps = self.worked_ms() / checkpoint_ms * checkpoint_ms;
        if steps <= self.done_before_ms {
            return self.carried.clone();
        }
        format!("{steps:08x}{}", &task[4..12])
    }
}

impl Life {
    fn clock(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    fn end(&mut self, task: &str, how: &str, saved: String) -> Option<u64> {
        let run = self.runs.remove(task)?;
        let over = self.over.entry(task.to_owned()).or_default();
        *over = (*over).max(run.run);
        self.last_end += 1;
        self.ends.push((
            self.last_end,
            task.to_owned(),
            run.run,
            how.to_owned(),
            saved,
        ));
        Some(run.run)
    }
}

impl Fleet {
    pub fn new(store: Arc<Store>, log: Arc<Log>, checkpoint_ms: u64) -> Arc<Fleet> {
        Arc::new(Fleet {
            store,
            log,
            state: Mutex::default(),
            ended: Condvar::new(),
            ticked: Mutex::default(),
            checkpoint_ms,
            starts: Mutex::default(),
            ends: Mutex::default(),
        })
    }

    pub fn add(self: &Arc<Self>, id: &str, at: SocketAddr, service: &str, labels: &[&str]) {
        let executor = Executor {
            at,
            service: service.to_owned(),
            labels: labels.iter().map(|l| (*l).to_owned()).collect(),
            cpu: 32_000,
            mem_mb: 128_000,
            draining: false,
            slowness: 1.0,
            life: None,
            server: None,
            seq: 0,
        };
        self.state
            .lock()
            .unwrap()
            .executors
            .insert(id.to_owned(), executor);
        self.up(id);
    }

    /// Starts an executor, under the id that it may have had before.
    pub fn up(self: &Arc<Self>, id: &str) {
        let at = self.state.lock().unwrap().executors[id].at;
        let (fleet, name) = (Arc::clone(self), id.to_owned());
        let server = Server::start(at, move |req| fleet.handle(&name, req));
        let mut state = self.state.lock().unwrap();
        let executor = state.executors.get_mut(id).unwrap();
        executor.server = Some(server);
        executor.seq = 0;
        executor.life = Some(Life {
            born: unix_ms(),
            began: Instant::now(),
            token: 0,
            lease_end: 0,
            runs: BTreeMap::new(),
            over: BTreeMap::new(),
            ends: Vec::new(),
            last_end: 0,
        });
        drop(state);
        self.log.line(&format!("executor {id} is up"));
        self.beat(id);
    }

    /// Crashes an executor: its port is closed, its connections are reset, and what it runs is gone.
    pub fn down(&self, id: &str) {
        let mut state = self.state.lock().unwrap();
        let executor = state.executors.get_mut(id).unwrap();
        let server = executor.server.take();
        let life = executor.life.take();
        drop(state);
        self.ended.notify_all();
        if let Some(server) = server {
            server.down();
        }
        let at = self.log.ms();
        for (task, run) in life.iter().flat_map(|life| &life.runs) {
            self.ends.lock().unwrap().push(End {
                at,
                acked_at: 0,
                born: 0,
                number: 0,
                executor: id.to_owned(),
                task: task.clone(),
                run: run.run,
                how: "crashed".into(),
            });
        }
        let runs: Vec<String> = life
            .iter()
            .flat_map(|life| life.runs.iter())
            .map(|(t, r)| format!("{t} run {}", r.run))
            .collect();
        self.log.line(&format!(
            "executor {id} crashes; it ran: {}",
            runs.join(", ")
        ));
    }

    /// Writes the executor's entry into the store.
    pub fn beat(&self, id: &str) {
        let mut state = self.state.lock().unwrap();
        let e = state.executors.get_mut(id).unwrap();
        let Some(life) = &e.life else { return };
        e.seq += 1;
        let labels: Vec<String> = e.labels.iter().map(|l| quote(l)).collect();
        let drain = if e.draining {
            ",\"drain-remaining-ms\":2000"
        } else {
            ""
        };
        let text = format!(
            "{{\"service\":{},\"address\":\"{}\",\"zone\":\"za\",\"version\":\"v1\",\"slots\":8,\"state\":\"{}\",\"cold-remaining-ms\":0,\"capacity\":{{\"cpu\":{},\"mem-mb\":{},\"gpu\":0}},\"labels\":[{}],\"clock-ms\":{},\"born\":{},\"seq-no\":{}{drain}}}",
            quote(&e.service),
            e.at,
            if e.draining { "draining" } else { "ready" },
            e.cpu,
            e.mem_mb,
            labels.join(","),
            life.clock(),
            life.born,
            e.seq
        );
        drop(state);
        self.store.put(&format!("servers/{id}"), &text);
    }

    pub fn set(&self, id: &str, change: impl FnOnce(&mut Executor)) {
        change(self.state.lock().unwrap().executors.get_mut(id).unwrap());
    }

    /// Number of runs of a job that are at work now.
    pub fn at_work(&self, job: &str) -> usize {
        let state = self.state.lock().unwrap();
        let lives = state.executors.values().filter_map(|e| e.life.as_ref());
        lives
            .map(|life| life.runs.keys().filter(|t| t.starts_with(job)).count())
            .sum()
    }

    /// Ends leases, stops and work that are over.
    pub fn tick(&self) {
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        // A gang works from the moment when all tasks of one run are present, all from the same
        // checkpoint.
        let mut present: BTreeMap<(String, u64, String), Vec<(String, String, usize)>> =
            BTreeMap::new();
        for (id, e) in &state.executors {
            for (task, run) in e.life.iter().flat_map(|life| &life.runs) {
                if run.gang > 0 {
                    let step = task
                        .rsplit_once('.')
                        .map_or("", |(step, _)| step)
                        .to_owned();
                    let key = (step, run.run, run.carried.clone());
                    present
                        .entry(key)
                        .or_default()
                        .push((id.clone(), task.clone(), run.gang));
                }
            }
        }
        let mut ended: Vec<(String, String, &str)> = Vec::new();
        for members in present.values() {
            let is_complete = members.len() >= members[0].2;
            for (id, task, _) in members {
                let run = state
                    .executors
                    .get_mut(id)
                    .and_then(|e| e.life.as_mut())
                    .and_then(|l| l.runs.get_mut(task));
                let Some(run) = run else { continue };
                if is_complete && run.works_from.is_none() {
                    let restore = if run.carried.is_empty() {
                        0
                    } else {
                        RESTORE_MS
                    };
                    run.works_from = Some(now + Duration::from_millis(restore));
                } else if !is_complete && run.works_from.is_some() {
                    ended.push((id.clone(), task.clone(), "broken"));
                } else if !is_complete && run.began.elapsed().as_millis() as u64 >= GANG_TIMEOUT_MS
                {
                    ended.push((id.clone(), task.clone(), "alone"));
                }
            }
        }
        let since_last = {
            let mut last = self.ticked.lock().unwrap();
            let passed = last.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
            *last = Some(now);
            passed
        };
        for (id, e) in &mut state.executors {
            let Some(life) = &mut e.life else { continue };
            for run in life.runs.values_mut() {
                if run.works_from.is_some_and(|from| from <= now) {
                    run.worked_ms += since_last.as_secs_f64() * 1_000.0 / e.slowness;
                }
            }
            let has_lapsed = life.clock() > life.lease_end;
            for (task, run) in &life.runs {
                let how = if has_lapsed {
                    "lapsed"
                } else if run.stopping.is_some_and(|at| at <= now) {
                    "stopped"
                } else if !run.lasts
                    && run.works_from.is_some_and(|from| from <= now)
                    && run.worked_ms() >= run.work_ms
                {
                    if run.fails { "failed" } else { "done" }
                } else {
                    continue;
                };
                ended.push((id.clone(), task.clone(), how));
            }
        }
        for (id, task, how) in ended {
            let life = state.executors.get_mut(&id).and_then(|e| e.life.as_mut());
            let Some(life) = life else { continue };
            let Some(run) = life.runs.get(&task) else {
                continue;
            };
            let saved = if how == "done" {
                String::new()
            } else {
                run.saved(&task, self.checkpoint_ms)
            };
            if let Some(run) = life.end(&task, how, saved.clone()) {
                self.log.line(&format!(
                    "end {task} run {run} on {id}: {how} saved={saved}"
                ));
                let at = self.log.ms();
                let how = how.to_owned();
                let (born, number) = (life.born, life.last_end);
                let end = End {
                    at,
                    acked_at: 0,
                    born,
                    number,
                    executor: id.clone(),
                    task,
                    run,
                    how,
                };
                self.ends.lock().unwrap().push(end);
            }
        }
        drop(state);
        self.ended.notify_all();
    }

    fn handle(&self, id: &str, req: &Request) -> Answer {
        if req.method == "GET" {
            return Answer::Reply(200, String::new());
        }
        if req
            .header("X-Target-Instance")
            .is_some_and(|target| target != id)
        {
            return Answer::Reply(421, String::new());
        }
        let Some(body) = Json::parse(&req.body) else {
            return Answer::Reply(400, String::new());
        };
        let mut state = self.state.lock().unwrap();
        let Some(life) = state.executors.get_mut(id).and_then(|e| e.life.as_mut()) else {
            return Answer::Close;
        };
        let clock = life.clock();
        let refuse = |born: u64, reason: &str| {
            Answer::Reply(
                409,
                format!("{{\"clock-ms\":{clock},\"born\":{born},\"reason\":\"{reason}\"}}"),
            )
        };
        let token = body.get("fencing-token").num().unwrap_or(0);
        if token < life.token {
            return refuse(life.born, "fence");
        }
        life.token = token;
        let deadline = body.get("deadline-ms").num();
        if let Some(deadline) = deadline {
            life.lease_end = life.lease_end.max(deadline.min(clock + MAX_HOLD_MS));
        }
        let task = body.get("task").str().to_owned();
        let run = body.get("run").num().unwrap_or(0);
        match req.path.as_str() {
            "/-/run-start" => {
                let spec = body.get("spec").str();
                if deadline.is_none_or(|deadline| deadline <= clock) {
                    return refuse(life.born, "late");
                }
                let known = life.runs.get(&task).map(|known| known.run);
                let text = format!("{{\"clock-ms\":{clock},\"born\":{}}}", life.born);
                if known == Some(run) {
                    return Answer::Reply(200, text);
                }
                if known.is_some_and(|known| run < known)
                    || life.over.get(&task).is_some_and(|over| run <= *over)
                {
                    return refuse(life.born, "old");
                }
                if setting(spec, "ticket") == Some(1)
                    && body.get("ticket").str() != format!("t-{id}-{}", life.born)
                {
                    return refuse(life.born, "ticket");
                }
                let carried = body.get("checkpoint").str().to_owned();
                let gang = setting(spec, "gang").unwrap_or(0) as usize;
                let now = Instant::now();
                let done_before_ms = carried
                    .get(..8)
                    .and_then(|hex| u64::from_str_radix(hex, 16).ok())
                    .unwrap_or(0);
                let new = Run {
                    run,
                    began: now,
                    works_from: (gang == 0).then_some(now),
                    worked_ms: 0.0,
                    work_ms: setting(spec, "work").unwrap_or(1_000),
                    lasts: setting(spec, "lasts") == Some(1),
                    done_before_ms,
                    carried: carried.clone(),
                    gang,
                    saves: setting(spec, "saves") == Some(1),
                    fails: setting(spec, "fail") == Some(1),
                    stopping: None,
                };
                life.runs.insert(task.clone(), new);
                self.log.line(&format!(
                    "start {task} run {run} on {id} token={token} checkpoint={carried}"
                ));
                let at = self.log.ms();
                let checkpoint = carried;
                let start = Start {
                    at,
                    executor: id.to_owned(),
                    task,
                    run,
                    checkpoint,
                };
                self.starts.lock().unwrap().push(start);
                Answer::Reply(200, text)
            }
            "/-/run-stop" => {
                match life.runs.get_mut(&task).filter(|known| known.run <= run) {
                    Some(known) => {
                        known
                            .stopping
                            .get_or_insert(Instant::now() + Duration::from_millis(STOP_MS));
                    }
                    None => {
                        let over = life.over.entry(task.clone()).or_default();
                        *over = (*over).max(run);
                    }
                }
                self.log.line(&format!("stop {task} run {run} on {id}"));
                Answer::Reply(
                    200,
                    format!("{{\"clock-ms\":{clock},\"born\":{}}}", life.born),
                )
            }
            "/-/pace" => Answer::Reply(
                200,
                format!("{{\"clock-ms\":{clock},\"born\":{}}}", life.born),
            ),
            "/-/hold" => {
                let acked = body.get("ack-cursor").num().unwrap_or(0);
                life.ends.retain(|end| end.0 > acked);
                let born = life.born;
                if acked > 0 {
                    let at = self.log.ms();
                    let mut ends = self.ends.lock().unwrap();
                    let noted = ends
                        .iter_mut()
                        .filter(|e| e.executor == id && e.born == born && e.acked_at == 0);
                    noted
                        .filter(|e| e.number <= acked)
                        .for_each(|e| e.acked_at = at);
                }
                let wait = body.get("wait-ms").num().unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait);
                loop {
                    let Some(life) = state.executors.get_mut(id).and_then(|e| e.life.as_mut())
                    else {
                        return Answer::Close;
                    };
                    let now = Instant::now();
                    if life.born != born {
                        return Answer::Close;
                    }
                    if life.ends.is_empty() && now < until {
                        state = self.ended.wait_timeout(state, until - now).unwrap().0;
                        continue;
                    }
                    return Answer::Reply(200, lists(life, self.checkpoint_ms));
                }
            }
            _ => Answer::Reply(404, String::new()),
        }
    }
}

fn lists(life: &Life, checkpoint_ms: u64) -> String {
    let running = life.runs.iter().map(|(task, run)| {
        let worked = run.worked_ms();
        let percent = if run.lasts {
            if worked >= 200 { 100 } else { 0 }
        } else {
            (worked * 100 / run.work_ms.max(1)).min(99)
        };
        format!(
            "[{},{},{},{percent},500]",
            quote(task),
            run.run,
            quote(&run.saved(task, checkpoint_ms))
        )
    });
    let running: Vec<String> = running.collect();
    let ended = life
        .ends
        .iter()
        .take(500)
        .map(|(n, task, run, how, saved)| {
            format!(
                "[{n},{},{run},{},{}]",
                quote(task),
                quote(how),
                quote(saved)
            )
        });
    let ended: Vec<String> = ended.collect();
    format!(
        "{{\"clock-ms\":{},\"born\":{},\"running\":[{}],\"ended\":[{}]}}",
        life.clock(),
        life.born,
        running.join(","),
        ended.join(",")
    )
}
