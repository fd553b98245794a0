//! The load of one run: requests with two crests, batch work with waves of noisy tasks, and the
//! hidden table.

use std::{sync::Arc, time::Duration};

use guavacart_types::{Class, deterministic_random};
use serde_json::json;
use smol_str::{SmolStr, format_smolstr};
use tokio::{
    task::JoinSet,
    time::{Instant, MissedTickBehavior, interval, sleep_until},
};

use super::{
    RunKind,
    measure::Run,
    site::{BatchClass, SERVICE_TIME, Site, WORKERS},
};
use crate::{
    caller::{self, CallPath, CallerSpec, Schedule},
    clock::now_us,
    cluster::{Cluster, team_token},
    endpoint::SLOTS,
    jobs::JobSpec,
    sync::lock,
};

/// Share of all slots that requests keep busy outside the crests, without interference.
const BASE_LOAD_SHARE: f64 = 0.25;
/// Ratio of the request rate at a crest to the rate before it.
const CREST_FACTOR: f64 = 3.0;
/// Time in which the request rate rises to a crest, and time in which it falls back.
const RAMP: Duration = Duration::from_secs(2);
/// How long the highest rate of a crest lasts.
const CREST_LENGTH: Duration = Duration::from_secs(8);
/// When the crests start, as shares of the length of the run.
const CREST_STARTS: [f64; 2] = [0.3, 0.65];
/// When the hidden table changes, as a share of the length of the run.
const TABLE_CHANGE_AT: f64 = 0.5;
/// Time between the starts of two waves of noisy tasks.
const WAVE_PERIOD: Duration = Duration::from_secs(12);
/// When the first wave starts.
const FIRST_WAVE_AT: Duration = Duration::from_secs(4);
/// Time before the end of the run in which no wave starts.
const NO_WAVE_BEFORE_END: Duration = Duration::from_secs(12);
/// Fewest tasks in a wave; a wave has up to twice this number.
const MIN_WAVE_TASKS: u64 = 12;
/// Run time of a noisy task on an idle worker, in milliseconds.
const NOISY_TASK_MS: u64 = 4_000;
/// Run time of a quiet task on an idle worker, in milliseconds.
const QUIET_TASK_MS: u64 = 2_500;
/// Tasks of each job of quiet tasks; one such job is submitted every [`QUIET_PERIOD`].
const QUIET_TASKS_PER_JOB: u32 = 10;
/// Time between the submissions of two jobs of quiet tasks.
const QUIET_PERIOD: Duration = Duration::from_secs(1);
/// Longest wait for a job to be accepted.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval between two updates of the hidden table to the current load.
const TABLE_UPDATE_INTERVAL: Duration = Duration::from_millis(50);
/// Factor of a slowdown coefficient while no slot is busy.
const IDLE_FACTOR: f64 = 0.7;
/// Increase of this factor from no busy slot to all slots busy.
const LOAD_GROWTH: f64 = 0.6;
/// Deadline of a request.
const DEADLINE: Duration = Duration::from_secs(2);

/// The schedule of a run; all times count from the start of the load.
#[derive(Clone, Debug)]
pub(super) struct Timing {
    /// How long load is offered.
    pub(super) length: Duration,
    /// Start and end of each crest, with its rise and its fall.
    pub(super) crests: Vec<(Duration, Duration)>,
    /// When the hidden table changes.
    pub(super) table_change: Duration,
}

impl Timing {
    pub(super) fn of(length: Duration) -> Self {
        let crest = |share: &f64| {
            let from = length.mul_f64(*share);
            (from, from + RAMP + CREST_LENGTH + RAMP)
        };
        Self {
            length,
            crests: CREST_STARTS.iter().map(crest).collect(),
            table_change: length.mul_f64(TABLE_CHANGE_AT),
        }
    }

    /// Returns the requests per second of one team, over time.
    fn schedule(&self, teams: usize) -> Schedule {
        let slots = WORKERS as f64 * f64::from(SLOTS);
        let base_rate = BASE_LOAD_SHARE * slots / SERVICE_TIME.as_secs_f64() / teams as f64;
        let mut points = vec![(Duration::ZERO, base_rate)];
        for (from, to) in &self.crests {
            points.push((*from, base_rate));
            points.push((*from + RAMP, base_rate * CREST_FACTOR));
            points.push((*to - RAMP, base_rate * CREST_FACTOR));
            points.push((*to, base_rate));
        }
        Schedule::through(points)
    }

    fn waves(&self) -> Vec<Duration> {
        let mut waves = Vec::new();
        let mut at = FIRST_WAVE_AT;
        while at + NO_WAVE_BEFORE_END < self.length {
            waves.push(at);
            at += WAVE_PERIOD;
        }
        waves
    }
}

/// Runs the load against one cluster from `start` on and returns what happened.
pub(super) async fn run(
    seed: u64,
    site: &'static Site,
    timing: Timing,
    start: Instant,
    kind: RunKind,
    cluster: Arc<Cluster>,
) -> Run {
    let mut calls = JoinSet::new();
    sleep_until(start).await;
    let start_us = now_us();
    let table = tokio::spawn(update_table(
        site,
        timing.clone(),
        start,
        Arc::clone(&cluster),
    ));
    if kind != RunKind::WithoutServices {
        for (i, spec) in callers(site, &timing).into_iter().enumerate() {
            let (entry_addresses, attempt_log) =
                (cluster.entry_addresses(), cluster.attempt_log.clone());
            let seed = deterministic_random(seed, i as u64);
            calls.spawn(caller::run(
                spec,
                entry_addresses,
                timing.length,
                seed,
                attempt_log,
            ));
        }
    }
    if kind != RunKind::WithoutBatch {
        let noisy = noisy_jobs(seed, site, &timing);
        let quiet = quiet_jobs(site, &timing);
        for (at, job) in noisy.into_iter().chain(quiet) {
            let cluster = Arc::clone(&cluster);
            calls.spawn(async move {
                sleep_until(start + at).await;
                let submitted = cluster.jobs.submit(&job, SUBMIT_TIMEOUT).await;
                tracing::debug!(job = %job.id, ?submitted, "submitted a job");
            });
        }
    }
    sleep_until(start + timing.length).await;
    while calls.join_next().await.is_some() {}
    table.abort();
    Run {
        kind,
        start_us,
        attempts: cluster.attempt_log.attempts(),
        tasks: cluster.batch.attempts(),
        counts: cluster.batch.counts(),
        violations: cluster.violations().await,
    }
}

fn callers(site: &Site, timing: &Timing) -> Vec<CallerSpec> {
    let caller = |team: &&str| CallerSpec {
        name: format_smolstr!("{team}"),
        call_path: CallPath::Entry,
        service: site.service.into(),
        team: SmolStr::new(team),
        token: Some(team_token(team)),
        class: Class::Short,
        schedule: timing.schedule(site.teams.len()),
        idempotent_share: 0.5,
        deadline: DEADLINE,
        service_time: SERVICE_TIME,
        request_bytes: 500,
        answer_bytes: 500,
        repeat_share: 0.0,
        give_up_share: 0.0,
        give_up_after: DEADLINE,
    };
    site.teams.iter().map(caller).collect()
}

fn noisy_jobs(seed: u64, site: &Site, timing: &Timing) -> Vec<(Duration, JobSpec)> {
    let waves = timing.waves().into_iter().enumerate();
    let job = |(i, at): (usize, Duration)| {
        let extra = deterministic_random(deterministic_random(seed, 1_000), i as u64)
            % (MIN_WAVE_TASKS + 1);
        let tasks = u32::try_from(MIN_WAVE_TASKS + extra).unwrap_or(u32::MAX);
        Some((
            at,
            site.job(&site.noisy, i, tasks, NOISY_TASK_MS, "normal")?,
        ))
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
            site.job(
                &site.quiet,
                i,
                QUIET_TASKS_PER_JOB,
                QUIET_TASK_MS,
                "background",
            )?,
        ))
    };
    (0..count).filter_map(job).collect()
}

impl Site {
    fn job(
        &self,
        batch: &BatchClass,
        i: usize,
        tasks: u32,
        run_ms: u64,
        priority: &str,
    ) -> Option<JobSpec> {
        Some(JobSpec {
            id: format!("{}-{i}", batch.class).parse().ok()?,
            team: self.teams[i % self.teams.len()].into(),
            class: batch.class.into(),
            tasks,
            resources: self.task_resources(),
            expected_ms: run_ms,
            priority: priority.into(),
            payload: json!({ "run_ms": run_ms }),
        })
    }
}

/// Returns the run time of each task of a job on an idle worker, in milliseconds.
pub(super) fn task_run_ms(noisy_class: &str, job: &str) -> u64 {
    match job.starts_with(noisy_class) {
        true => NOISY_TASK_MS,
        false => QUIET_TASK_MS,
    }
}

/// Keeps the hidden table in step with the share of busy slots, and changes its coefficients in the
/// middle of the run.
async fn update_table(site: &'static Site, timing: Timing, start: Instant, cluster: Arc<Cluster>) {
    let mut ticks = interval(TABLE_UPDATE_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let endpoints = cluster.endpoints();
    let slots = f64::from(SLOTS) * endpoints.len() as f64;
    loop {
        ticks.tick().await;
        let busy: u32 = endpoints.iter().map(|e| e.busy()).sum();
        let factor = IDLE_FACTOR + LOAD_GROWTH * f64::from(busy) / slots;
        let phase = usize::from(start.elapsed() >= timing.table_change);
        let mut table = lock(&cluster.interference);
        for batch in [&site.noisy, &site.quiet] {
            table.set(site.service, batch.class, batch.slowdown[phase] * factor);
        }
    }
}
