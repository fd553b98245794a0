//! Which configuration each process has in force, over time.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use hyper::Method;
use smol_str::SmolStr;
use tokio::{
    task::{JoinHandle, JoinSet},
    time::timeout,
};

use super::{IN_FORCE_MS, history::History};
use crate::{clock::now_us, cluster::Cluster, sync::lock};

/// How often every process is asked.
const POLL: Duration = Duration::from_millis(50);
/// Longest wait for its answer.
const TIMEOUT: Duration = Duration::from_millis(1_000);

/// A process: an instance's name and the address that it had.
type Process = (SmolStr, SocketAddr);

/// What one process said.
#[derive(Clone, Debug, Default)]
struct Track {
    first_us: u64,
    last_us: u64,
    /// When each number was first seen or passed, in order.
    rises: Vec<(u64, u64)>,
    reverted: u64,
}

/// Asks every running process again and again until it is dropped.
#[derive(Debug)]
pub(super) struct Watch {
    tracks: Arc<Mutex<BTreeMap<Process, Track>>>,
    task: JoinHandle<()>,
}

/// One patch and one process: when it was written and how long it took.
#[derive(Clone, Debug)]
struct Lag {
    number: u64,
    name: SmolStr,
    written_us: u64,
    /// None if the process ran on and never had it in force.
    took_us: Option<u64>,
}

/// How long patches took to be in force.
#[derive(Debug)]
pub(super) struct Lags(Vec<Lag>);

/// Spans in order, in milliseconds.
#[derive(Debug)]
pub(super) struct Spans(Vec<f64>);

impl Watch {
    /// Starts to ask.
    pub(super) fn spawn(cluster: Arc<Cluster>) -> Self {
        let tracks = Arc::default();
        let task = tokio::spawn(poll(cluster, Arc::clone(&tracks)));
        Self { tracks, task }
    }

    /// How often a process said a lower number than before.
    pub(super) fn reverted(&self) -> u64 {
        lock(&self.tracks)
            .values()
            .map(|track| track.reverted)
            .sum()
    }

    /// True if each of `running` has `number` in force.
    pub(super) fn is_everywhere(&self, running: &[Process], number: u64) -> bool {
        let tracks = lock(&self.tracks);
        let mut all = running.iter().map(|process| tracks.get(process));
        all.all(|track| track.is_some_and(|t| t.reached(number).is_some()))
    }

    /// Joins the store's writes with what the processes that ran then said.
    ///
    /// A process that ended before it had a patch in force counts only if it had the target's time.
    pub(super) fn lags(&self, history: &History, running: &[Process]) -> Lags {
        let tracks = lock(&self.tracks);
        let mut lags = Vec::new();
        for (number, written_us) in history.written_at() {
            for (process, track) in tracks.iter().filter(|(_, t)| t.first_us <= written_us) {
                let reached = track.reached(number);
                let time_us = (IN_FORCE_MS * 1_000.0) as u64;
                let had_time = track.last_us >= written_us + time_us;
                if reached.is_none() && !running.contains(process) && !had_time {
                    continue;
                }
                lags.push(Lag {
                    number,
                    name: process.0.clone(),
                    written_us,
                    took_us: reached.map(|at| at.saturating_sub(written_us)),
                });
            }
        }
        Lags(lags)
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Track {
    fn saw(&mut self, at_us: u64, number: u64) {
        if self.first_us == 0 {
            self.first_us = at_us;
        }
        self.last_us = at_us;
        match self.rises.last() {
            Some((last, _)) if number < *last => self.reverted += 1,
            Some((last, _)) if number == *last => {}
            _ => self.rises.push((number, at_us)),
        }
    }

    /// When `number` or a higher one was first seen.
    fn reached(&self, number: u64) -> Option<u64> {
        let rise = self.rises.iter().find(|(seen, _)| *seen >= number);
        rise.map(|(_, at_us)| *at_us)
    }
}

impl Lags {
    /// Patches and processes for which a patch never was in force.
    pub(super) fn never(&self) -> usize {
        self.0.iter().filter(|lag| lag.took_us.is_none()).count()
    }

    /// For each patch, the time until the last process had it in force.
    pub(super) fn everywhere(&self) -> Spans {
        let mut longest: BTreeMap<u64, u64> = BTreeMap::new();
        for lag in &self.0 {
            let took = lag.took_us.unwrap_or(u64::MAX);
            let last = longest.entry(lag.number).or_default();
            *last = took.max(*last);
        }
        Spans::of(longest.into_values())
    }

    /// The times at one instance, of patches written in a time.
    pub(super) fn of(&self, name: &str, from_us: u64, to_us: u64) -> Spans {
        let within = |lag: &&Lag| (from_us..to_us).contains(&lag.written_us);
        let lags = self.0.iter().filter(|lag| lag.name == name);
        Spans::of(
            lags.filter(within)
                .map(|lag| lag.took_us.unwrap_or(u64::MAX)),
        )
    }
}

impl Spans {
    fn of(us: impl Iterator<Item = u64>) -> Self {
        let mut ms: Vec<f64> = us.map(|us| us as f64 / 1_000.0).collect();
        ms.sort_by(f64::total_cmp);
        Self(ms)
    }

    pub(super) fn len(&self) -> usize {
        self.0.len()
    }

    /// The quantile by nearest rank, in milliseconds; 0 without spans.
    pub(super) fn quantile(&self, q: f64) -> f64 {
        let rank = (q * self.0.len() as f64).ceil() as usize;
        self.0
            .get(rank.saturating_sub(1))
            .copied()
            .unwrap_or_default()
    }
}

async fn poll(cluster: Arc<Cluster>, tracks: Arc<Mutex<BTreeMap<Process, Track>>>) {
    let mut ticks = tokio::time::interval(POLL);
    loop {
        ticks.tick().await;
        let mut asked = JoinSet::new();
        for process in cluster.running() {
            let cluster = Arc::clone(&cluster);
            asked.spawn(async move { (ask(&cluster, process.1).await, process) });
        }
        while let Some(answer) = asked.join_next().await {
            if let Ok((Some(number), process)) = answer {
                let mut tracks = lock(&tracks);
                tracks.entry(process).or_default().saw(now_us(), number);
            }
        }
    }
}

async fn ask(cluster: &Cluster, at: SocketAddr) -> Option<u64> {
    let asked = cluster.operate(at, Method::GET, "/v1/status", Vec::new());
    let (_, body) = timeout(TIMEOUT, asked).await.ok()??;
    body["config"].as_u64()
}
