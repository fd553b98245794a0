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

use super::{MAX_IN_FORCE_MS, history::History};
use crate::{clock::now_us, cluster::Cluster, sync::lock};

/// Interval between two status calls to every process.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Longest wait for the answer to a status call.
const STATUS_TIMEOUT: Duration = Duration::from_millis(1_000);

/// A process of an instance: the name of the instance and the address of the process.
///
/// An instance that restarts with a new address counts as another process.
type Process = (SmolStr, SocketAddr);

/// The configuration numbers that one process has reported.
#[derive(Clone, Debug, Default)]
struct Observations {
    first_us: u64,
    last_us: u64,
    /// Each increase of the number: the number and when it was first seen, in order.
    first_seen: Vec<(u64, u64)>,
    reverts: u64,
}

/// Polls the configuration number of every running process until the watch is dropped.
#[derive(Debug)]
pub(super) struct ConfigWatch {
    observations: Arc<Mutex<BTreeMap<Process, Observations>>>,
    task: JoinHandle<()>,
}

/// How long one patch took to be in force at one process.
#[derive(Clone, Debug)]
struct Lag {
    number: u64,
    name: SmolStr,
    written_us: u64,
    /// `None` if the patch was never in force although the process ran long enough.
    took_us: Option<u64>,
}

/// How long each patch took to be in force at each process.
#[derive(Debug)]
pub(super) struct Lags(Vec<Lag>);

/// Durations in ascending order, in milliseconds.
#[derive(Debug)]
pub(super) struct Delays(Vec<f64>);

impl ConfigWatch {
    /// Starts to poll.
    pub(super) fn spawn(cluster: Arc<Cluster>) -> Self {
        let observations = Arc::default();
        let task = tokio::spawn(poll_all(cluster, Arc::clone(&observations)));
        Self { observations, task }
    }

    /// Returns how often a process reported a lower number than before.
    pub(super) fn reverts(&self) -> u64 {
        lock(&self.observations)
            .values()
            .map(|observed| observed.reverts)
            .sum()
    }

    /// Returns true if every process in `running` has reported `number` or a higher one.
    pub(super) fn is_in_force_everywhere(&self, running: &[Process], number: u64) -> bool {
        let observations = lock(&self.observations);
        let mut all = running.iter().map(|process| observations.get(process));
        all.all(|observed| observed.is_some_and(|t| t.first_seen_us(number).is_some()))
    }

    /// Combines the writes to the store with the numbers reported by the processes that ran at the
    /// time of each write.
    ///
    /// A process that ended before it had a patch in force counts only if it ran for at least
    /// [`MAX_IN_FORCE_MS`] after the write.
    pub(super) fn lags(&self, history: &History, running: &[Process]) -> Lags {
        let observations = lock(&self.observations);
        let mut lags = Vec::new();
        for (number, written_us) in history.written_at() {
            for (process, observed) in observations
                .iter()
                .filter(|(_, t)| t.first_us <= written_us)
            {
                let reached_us = observed.first_seen_us(number);
                let limit_us = (MAX_IN_FORCE_MS * 1_000.0) as u64;
                let had_time = observed.last_us >= written_us + limit_us;
                if reached_us.is_none() && !running.contains(process) && !had_time {
                    continue;
                }
                lags.push(Lag {
                    number,
                    name: process.0.clone(),
                    written_us,
                    took_us: reached_us.map(|at| at.saturating_sub(written_us)),
                });
            }
        }
        Lags(lags)
    }
}

impl Drop for ConfigWatch {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Observations {
    fn record(&mut self, at_us: u64, number: u64) {
        if self.first_us == 0 {
            self.first_us = at_us;
        }
        self.last_us = at_us;
        match self.first_seen.last() {
            Some((last, _)) if number < *last => self.reverts += 1,
            Some((last, _)) if number == *last => {}
            _ => self.first_seen.push((number, at_us)),
        }
    }

    /// Returns when `number` or a higher one was first seen.
    fn first_seen_us(&self, number: u64) -> Option<u64> {
        let first = self.first_seen.iter().find(|(seen, _)| *seen >= number);
        first.map(|(_, at_us)| *at_us)
    }
}

impl Lags {
    /// Returns how often a patch was never in force at a process, over all patches and processes.
    pub(super) fn never_in_force(&self) -> usize {
        self.0.iter().filter(|lag| lag.took_us.is_none()).count()
    }

    /// Returns, for each patch, the time until the last process had it in force.
    pub(super) fn everywhere(&self) -> Delays {
        let mut longest: BTreeMap<u64, u64> = BTreeMap::new();
        for lag in &self.0 {
            let took = lag.took_us.unwrap_or(u64::MAX);
            let last = longest.entry(lag.number).or_default();
            *last = took.max(*last);
        }
        Delays::of(longest.into_values())
    }

    /// Returns the times at one instance, for the patches written within a period.
    pub(super) fn of_instance(&self, name: &str, from_us: u64, to_us: u64) -> Delays {
        let within = |lag: &&Lag| (from_us..to_us).contains(&lag.written_us);
        let lags = self.0.iter().filter(|lag| lag.name == name);
        Delays::of(
            lags.filter(within)
                .map(|lag| lag.took_us.unwrap_or(u64::MAX)),
        )
    }
}

impl Delays {
    fn of(us: impl Iterator<Item = u64>) -> Self {
        let mut ms: Vec<f64> = us.map(|us| us as f64 / 1_000.0).collect();
        ms.sort_by(f64::total_cmp);
        Self(ms)
    }

    pub(super) fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns the quantile by nearest rank, in milliseconds; 0 if there are no durations.
    pub(super) fn quantile(&self, q: f64) -> f64 {
        let rank = (q * self.0.len() as f64).ceil() as usize;
        self.0
            .get(rank.saturating_sub(1))
            .copied()
            .unwrap_or_default()
    }
}

async fn poll_all(
    cluster: Arc<Cluster>,
    observations: Arc<Mutex<BTreeMap<Process, Observations>>>,
) {
    let mut ticks = tokio::time::interval(POLL_INTERVAL);
    loop {
        ticks.tick().await;
        let mut calls = JoinSet::new();
        for process in cluster.running() {
            let cluster = Arc::clone(&cluster);
            calls.spawn(async move { (read_number(&cluster, process.1).await, process) });
        }
        while let Some(answer) = calls.join_next().await {
            if let Ok((Some(number), process)) = answer {
                let mut observations = lock(&observations);
                observations
                    .entry(process)
                    .or_default()
                    .record(now_us(), number);
            }
        }
    }
}

async fn read_number(cluster: &Cluster, address: SocketAddr) -> Option<u64> {
    let call = cluster.call_operator_api(address, Method::GET, "/v1/status", Vec::new());
    let (_, body) = timeout(STATUS_TIMEOUT, call).await.ok()??;
    body["config"].as_u64()
}
