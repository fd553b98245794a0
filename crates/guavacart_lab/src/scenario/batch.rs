//! The testbed, jobs and measurements that the batch scenarios share.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use guavacart_types::{ByteSize, JobId, Processors, Resources, TaskId};
use serde_json::{Value, json};
use smol_str::{SmolStr, format_smolstr};
use tokio::{task::JoinSet, time::Instant};

use super::{ScenarioCx, ScenarioError};
use crate::{
    batch_ledger::TaskAttempt,
    caller::Latencies,
    clock::now_us,
    cluster::{Cluster, ClusterError, ClusterSpec},
    jobs::{JobSpec, Submitted},
    journal_check::{self, CELL_KEY_PREFIX, JournalCounts},
    progress::Progress,
    store::CallKind,
    summary::{Summary, Target},
    sync::lock,
};

/// Longest wait for a job to be accepted.
pub(super) const SUBMIT_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval between two checks of a condition that is waited for.
pub(super) const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Workers in each rack.
const WORKERS_PER_RACK: usize = 8;

/// A running cluster for batch scenarios, with its progress lines on stderr if they are wanted.
pub(super) struct Testbed {
    pub(super) cx: ScenarioCx,
    pub(super) cluster: Arc<Cluster>,
    submitted_us: Arc<Mutex<BTreeMap<JobId, u64>>>,
    _progress: Option<Progress>,
}

/// The properties of a job and its tasks, from which a [`JobSpec`] is made.
#[derive(Clone, Debug)]
pub(super) struct JobTemplate {
    /// Number of tasks of the job.
    pub(super) tasks: u32,
    /// Declared processors of each task, in thousandths of a core.
    pub(super) milli_cores: u64,
    /// Actual run time of each task, in milliseconds.
    pub(super) run_ms: u64,
    /// Declared run time of each task, in milliseconds.
    pub(super) declared_ms: u64,
    /// Priority of the job.
    pub(super) priority: &'static str,
    /// Actual resource usage of each task; `None` means as declared.
    pub(super) actual_usage: Option<Resources>,
}

impl JobTemplate {
    /// Returns a template of normal priority whose tasks use what they declare.
    pub(super) fn normal(tasks: u32, cores: u64, run_ms: u64) -> Self {
        Self {
            tasks,
            milli_cores: cores * 1_000,
            run_ms,
            declared_ms: run_ms,
            priority: "normal",
            actual_usage: None,
        }
    }
}

/// Returns `n` processors, with 2 GiB of memory for each of them.
pub(super) fn resources_for_cores(n: u64) -> Resources {
    resources_for_milli_cores(n * 1_000)
}

fn resources_for_milli_cores(n: u64) -> Resources {
    Resources {
        processors: Processors(n),
        memory: ByteSize::mib(2 * n * 1_024 / 1_000),
        ..Resources::default()
    }
}

/// Returns a cluster without endpoints whose racks are split into the cells `c1` and `c2`.
pub(super) fn two_cells(cx: &ScenarioCx, instances: usize, workers: usize) -> ClusterSpec {
    let mut spec = ClusterSpec::sized(cx.size, cx.seed);
    spec.instances = instances;
    spec.workers = workers;
    spec.endpoints = 0;
    spec.logs = cx.log_dir.clone();
    let first_cell_racks = workers.div_ceil(WORKERS_PER_RACK).div_ceil(2);
    spec.configuration["cells"] = json!({
        "c1": { "racks": rack_names(0, first_cell_racks) },
        "c2": { "racks": rack_names(first_cell_racks, workers.div_ceil(WORKERS_PER_RACK)) },
    });
    spec
}

/// Returns the cluster of [`two_cells`] with all racks in the cell `c1`.
pub(super) fn one_cell(cx: &ScenarioCx, instances: usize, workers: usize) -> ClusterSpec {
    let mut spec = two_cells(cx, instances, workers);
    let rack_names = rack_names(0, workers.div_ceil(WORKERS_PER_RACK));
    spec.configuration["cells"] = json!({ "c1": { "racks": rack_names } });
    spec
}

fn rack_names(from: usize, to: usize) -> Vec<SmolStr> {
    (from..to).map(|i| format_smolstr!("r{}", i + 1)).collect()
}

impl Testbed {
    /// Starts the cluster.
    pub(super) async fn open(cx: &ScenarioCx, spec: ClusterSpec) -> Result<Self, ScenarioError> {
        let cluster = Arc::new(Cluster::open(spec).await?);
        let progress = cx.progress.then(|| Progress::spawn(Arc::clone(&cluster)));
        Ok(Self {
            cx: cx.clone(),
            cluster,
            submitted_us: Arc::default(),
            _progress: progress,
        })
    }

    /// Returns the `n`th job of the group `name`; the teams are assigned in turn.
    pub(super) fn job(
        &self,
        name: &str,
        n: usize,
        template: &JobTemplate,
    ) -> Result<JobSpec, ScenarioError> {
        let id = format!("{name}-{seed}-{n}", seed = self.cx.seed);
        let teams = &self.cluster.spec.teams;
        let mut payload = json!({ "run_ms": template.run_ms });
        if let Some(actual_usage) = &template.actual_usage {
            payload["uses"] = json!(actual_usage);
        }
        Ok(JobSpec {
            id: id.parse().map_err(ClusterError::from)?,
            team: teams[n % teams.len()].clone(),
            class: "deck".into(),
            tasks: template.tasks,
            resources: resources_for_milli_cores(template.milli_cores),
            expected_ms: template.declared_ms,
            priority: template.priority.into(),
            payload,
        })
    }

    /// Submits jobs at equal intervals over `length` and waits for the outcome of each submission.
    pub(super) async fn submit_jobs(
        &self,
        jobs: Vec<JobSpec>,
        length: Duration,
    ) -> Result<Vec<Submitted>, ScenarioError> {
        let start = Instant::now();
        let interval = length / u32::try_from(jobs.len().max(1)).unwrap_or(u32::MAX);
        let mut calls = JoinSet::new();
        for (n, job) in (0_u32..).zip(jobs) {
            tokio::time::sleep_until(start + interval * n).await;
            let client = self.cluster.jobs.clone();
            lock(&self.submitted_us).insert(job.id.clone(), now_us());
            calls.spawn(async move { client.submit(&job, SUBMIT_TIMEOUT).await });
        }
        let mut results = Vec::new();
        while let Some(result) = calls.join_next().await {
            results.push(result?);
        }
        Ok(results)
    }

    /// Returns the number of tasks that run now, over all workers.
    pub(super) fn running_tasks(&self) -> usize {
        self.cluster.workers().iter().map(|w| w.running()).sum()
    }

    /// Waits until at least `n` tasks run; returns false if `limit` passes first.
    pub(super) async fn wait_for_running(&self, n: usize, limit: Duration) -> bool {
        let deadline = Instant::now() + limit;
        while self.running_tasks() < n {
            if Instant::now() >= deadline {
                return false;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        true
    }

    /// Returns the owner of a cell: the instance that wrote the newest record of its journal.
    pub(super) fn owner(&self, cell: &str) -> Option<SmolStr> {
        let writes = self.cluster.store.history_of(CELL_KEY_PREFIX);
        let owner = journal_check::newest_owner(&writes, &cell.parse().ok()?)?;
        Some(owner.id.as_str().into())
    }

    /// Checks the journals of all cells and counts their records and faults.
    pub(super) fn check_journals(&self) -> JournalCounts {
        journal_check::check(&self.cluster.store.history_of(CELL_KEY_PREFIX))
    }

    /// Returns the attempts of all tasks of the group `name`, by task.
    pub(super) fn attempts(&self, name: &str) -> BTreeMap<TaskId, Vec<TaskAttempt>> {
        let prefix = format!("{name}-");
        let mut attempts = self.cluster.batch.attempts();
        attempts.retain(|task, _| task.job.as_str().starts_with(&prefix));
        attempts
    }

    /// Returns the time from the submission of a task to its first start, for each started task.
    pub(super) fn start_latencies(&self, name: &str) -> Latencies {
        let submitted = lock(&self.submitted_us);
        let mut times = Latencies::default();
        for (task, attempts) in self.attempts(name) {
            let first = attempts.iter().map(|attempt| attempt.start_us).min();
            if let (Some(first), Some(at)) = (first, submitted.get(&task.job)) {
                times.push(first.saturating_sub(*at));
            }
        }
        times
    }

    /// Patches the configuration numbered `base` and waits until the new one is in force.
    pub(super) async fn change_config(
        &self,
        base: u64,
        change: &Value,
    ) -> Result<(), ScenarioError> {
        let id = format!("lab-change-{base}");
        let number = self.cluster.patch(base, &id, change).await?;
        self.cluster.wait_for_config(number).await?;
        Ok(())
    }

    /// Returns the summary of the whole run: tasks, violated guarantees and journals.
    pub(super) async fn summary(&self, scenario: &str) -> Summary {
        let mut summary = Summary {
            scenario: scenario.into(),
            seed: self.cx.seed,
            ..Summary::default()
        };
        for (task, attempts) in self.cluster.batch.duplicated_tasks() {
            tracing::error!(%task, runs = ?attempts, "the task ran twice");
        }
        let batch = self.cluster.batch.counts();
        let journals = self.check_journals();
        summary.tasks_submitted = self.cluster.jobs.tasks_submitted();
        summary.tasks_finished = batch.finished;
        summary.evictions = batch.evictions;
        summary.violations = self.cluster.violations().await;
        let unfinished = self.cluster.jobs.unfinished();
        let left: u64 = unfinished.iter().map(|(_, left)| u64::from(*left)).sum();
        let (_, rejected, unknown) = self.cluster.jobs.counts();
        let started_late = batch.started_after_cancel as f64;
        summary.targets = vec![
            Target::at_most("journal_faults", 0.0, journals.faults() as f64),
            Target::at_most("started_after_cancel", 0.0, started_late),
        ];
        let calls = self.cluster.store.calls();
        let details = [
            ("store_puts", calls.total(CallKind::Put)),
            ("store_deletes", calls.total(CallKind::Delete)),
            ("store_leases", calls.total(CallKind::Lease)),
            ("jobs_rejected", rejected),
            ("jobs_unknown", unknown),
            ("tasks_unfinished", left),
            ("task_starts", batch.starts),
            ("attempts_failed", batch.failed),
            ("attempts_lapsed", batch.lapsed),
            ("redone_milli_tasks", batch.redone_milli_tasks),
            ("journal_records", journals.records),
            ("journal_changes", journals.changes),
            ("takeovers", journals.takeovers),
            ("store_answers_lost", self.cluster.store.lost_answers()),
        ];
        for (name, value) in details {
            summary.add_detail(name, value as f64);
        }
        summary
    }
}
