//! The load of one run: callers with crests, waves of noisy tasks, and the hidden table.

use std::{sync::Arc, time::Duration};

use guavacart_types::{Class, deterministic_random};
use serde_json::json;
use smol_str::{SmolStr, format_smolstr};
use tokio::{
    task::JoinSet,
    time::{Instant, MissedTickBehavior, interval, sleep_until},
};

use super::{
    Part,
    measure::Run,
    site::{BatchKind, Site, WORK, WORKERS},
};
use crate::{
    caller::{self, CallerSpec, Form, Schedule},
    clock::now_us,
    cluster::{Cluster, team_token},
    endpoint::SLOTS,
    jobs::JobSpec,
    sync::lock,
};

/// Share of all slots that is busy before the crest, without interference.
const BASE_SHARE: f64 = 0.25;
/// Demand at the crest over demand before it.
const CREST_FACTOR: f64 = 3.0;
/// Time in which demand rises to the crest and falls from it.
const RISE: Duration = Duration::from_secs(2);
/// How long a crest lasts.
const CREST: Duration = Duration::from_secs(8);
/// Starts of the crests, as shares of the run.
const CRESTS_AT: [f64; 2] = [0.3, 0.65];
/// When the hidden table changes, as a share of the run.
const CHANGE_AT: f64 = 0.5;
/// Time between two waves of noisy tasks.
const WAVE_PERIOD: Duration = Duration::from_secs(12);
/// The first wave.
const FIRST_WAVE: Duration = Duration::from_secs(4);
/// Time before the end in which no wave starts.
const LAST_WAVE: Duration = Duration::from_secs(12);
/// Least tasks of a wave; a wave has up to twice as many.
const WAVE_TASKS: u64 = 12;
/// Run time of a noisy task on an idle worker, in milliseconds.
const NOISY_MS: u64 = 4_000;
/// Run time of a quiet task on an idle worker, in milliseconds.
const QUIET_MS: u64 = 2_500;
/// Quiet tasks that are submitted each [`QUIET_PERIOD`].
const QUIET_TASKS: u32 = 10;
/// Time between two jobs of quiet tasks.
const QUIET_PERIOD: Duration = Duration::from_secs(1);
/// Longest wait for a job to be accepted.
const SUBMIT: Duration = Duration::from_secs(20);
/// How often the hidden table follows the load.
const TABLE_PERIOD: Duration = Duration::from_millis(50);
/// Share of a coefficient that stands without any load; the rest of it grows with busy slots.
const IDLE_SHARE: f64 = 0.7;
/// Growth of a coefficient from no busy slot to all busy.
const LOAD_GROWTH: f64 = 0.6;
/// The deadline of calls.
const DEADLINE: Duration = Duration::from_secs(2);

/// When what happens.
#[derive(Clone, Debug)]
pub(super) struct Timing {
    /// How long load is offered.
    pub(super) length: Duration,
    /// From the start of each rise to the end of its fall.
    pub(super) crests: Vec<(Duration, Duration)>,
    /// When the hidden table changes.
    pub(super) change: Duration,
}

impl Timing {
    pub(super) fn of(length: Duration) -> Self {
        let crest = |share: &f64| {
            let from = length.mul_f64(*share);
            (from, from + RISE + CREST + RISE)
        };
        Self {
            length,
            crests: CRESTS_AT.iter().map(crest).collect(),
            change: length.mul_f64(CHANGE_AT),
        }
    }

    /// Calls a second of one team over time.
    fn schedule(&self, teams: usize) -> Schedule {
        let slots = WORKERS as f64 * f64::from(SLOTS);
        let base = BASE_SHARE * slots / WORK.as_secs_f64() / teams as f64;
        let mut points = vec![(Duration::ZERO, base)];
        for (from, to) in &self.crests {
            points.push((*from, base));
            points.push((*from + RISE, base * CREST_FACTOR));
            points.push((*to - RISE, base * CREST_FACTOR));
            points.push((*to, base));
        }
        Schedule::through(points)
    }

    fn waves(&self) -> Vec<Duration> {
        let mut waves = Vec::new();
        let mut at = FIRST_WAVE;
        while at + LAST_WAVE < self.length {
            waves.push(at);
            at += WAVE_PERIOD;
        }
        waves
    }
}

/// Offers the load to one cluster from `start` on.
pub(super) async fn run(
    seed: u64,
    site: &'static Site,
    timing: Timing,
    start: Instant,
    part: Part,
    cluster: Arc<Cluster>,
) -> Run {
    let mut calls = JoinSet::new();
    sleep_until(start).await;
    let start_us = now_us();
    let table = tokio::spawn(follow_load(
        site,
        timing.clone(),
        start,
        Arc::clone(&cluster),
    ));
    if part != Part::WithoutServices {
        for (i, spec) in callers(site, &timing).into_iter().enumerate() {
            let (entrances, record) = (cluster.entrances(), cluster.record.clone());
            let seed = deterministic_random(seed, i as u64);
            calls.spawn(caller::run(spec, entrances, timing.length, seed, record));
        }
    }
    if part != Part::WithoutBatch {
        let noisy = noisy_jobs(seed, site, &timing);
        let quiet = quiet_jobs(site, &timing);
        for (at, job) in noisy.into_iter().chain(quiet) {
            let cluster = Arc::clone(&cluster);
            calls.spawn(async move {
                sleep_until(start + at).await;
                let submitted = cluster.jobs.submit(&job, SUBMIT).await;
                tracing::debug!(job = %job.id, ?submitted, "submitted");
            });
        }
    }
    sleep_until(start + timing.length).await;
    while calls.join_next().await.is_some() {}
    table.abort();
    Run {
        part,
        start_us,
        attempts: cluster.record.attempts(),
        tasks: cluster.batch.runs(),
        counts: cluster.batch.counts(),
        violations: cluster.violations().await,
    }
}

fn callers(site: &Site, timing: &Timing) -> Vec<CallerSpec> {
    let caller = |team: &&str| CallerSpec {
        name: format_smolstr!("{team}"),
        form: Form::Entry,
        service: site.service.into(),
        team: SmolStr::new(team),
        token: Some(team_token(team)),
        class: Class::Short,
        schedule: timing.schedule(site.teams.len()),
        idempotent: 0.5,
        deadline: DEADLINE,
        work: WORK,
        request_bytes: 500,
        answer_bytes: 500,
        repeats: 0.0,
        gives_up: 0.0,
        gives_up_after: DEADLINE,
    };
    site.teams.iter().map(caller).collect()
}

fn noisy_jobs(seed: u64, site: &Site, timing: &Timing) -> Vec<(Duration, JobSpec)> {
    let waves = timing.waves().into_iter().enumerate();
    let job = |(i, at): (usize, Duration)| {
        let extra =
            deterministic_random(deterministic_random(seed, 1_000), i as u64) % (WAVE_TASKS + 1);
        let tasks = u32::try_from(WAVE_TASKS + extra).unwrap_or(u32::MAX);
        Some((at, site.job(&site.noisy, i, tasks, NOISY_MS, "normal")?))
    };
    waves.filter_map(job).collect()
}

fn quiet_jobs(site: &Site, timing: &Timing) -> Vec<(Duration, JobSpec)> {
    let count = timing.length.as_secs() / QUIET_PERIOD.as_secs();
    let job = |i: u64| {
        let at = QUIET_PERIOD * u32::try_from(i).ok()?;
        let i = usize::try_from(i).ok()?;
        Some((
            at,
            site.job(&site.quiet, i, QUIET_TASKS, QUIET_MS, "background")?,
        ))
    };
    (0..count).filter_map(job).collect()
}

impl Site {
    fn job(
        &self,
        kind: &BatchKind,
        i: usize,
        tasks: u32,
        run_ms: u64,
        priority: &str,
    ) -> Option<JobSpec> {
        Some(JobSpec {
            id: format!("{}-{i}", kind.class).parse().ok()?,
            team: self.teams[i % self.teams.len()].into(),
            class: kind.class.into(),
            tasks,
            resources: self.task(),
            expected_ms: run_ms,
            priority: priority.into(),
            payload: json!({ "run_ms": run_ms }),
        })
    }
}

/// Run time on an idle worker of the tasks of a job, in milliseconds.
pub(super) fn run_ms(site_noisy: &str, job: &str) -> u64 {
    match job.starts_with(site_noisy) {
        true => NOISY_MS,
        false => QUIET_MS,
    }
}

/// Sets the hidden table by the share of slots that are busy, and changes it in mid-run.
async fn follow_load(site: &'static Site, timing: Timing, start: Instant, cluster: Arc<Cluster>) {
    let mut ticks = interval(TABLE_PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let endpoints = cluster.endpoints();
    let slots = f64::from(SLOTS) * endpoints.len() as f64;
    loop {
        ticks.tick().await;
        let busy: u32 = endpoints.iter().map(|e| e.busy()).sum();
        let factor = IDLE_SHARE + LOAD_GROWTH * f64::from(busy) / slots;
        let half = usize::from(start.elapsed() >= timing.change);
        let mut table = lock(&cluster.interference);
        for kind in [&site.noisy, &site.quiet] {
            table.set(site.service, kind.class, kind.slows[half] * factor);
        }
    }
}
