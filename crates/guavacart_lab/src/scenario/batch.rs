//! The set-up, jobs and figures that the batch scenarios share.

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
    batch_ledger::Run,
    caller::Latencies,
    clock::now_us,
    cluster::{Cluster, ClusterError, ClusterSpec},
    jobs::{JobSpec, Submitted},
    journal_check::{self, JOURNAL_FOLDER, JournalCounts},
    progress::Progress,
    store::CallKind,
    summary::{Summary, Target},
    sync::lock,
};

/// Longest wait for a job to be accepted.
pub(super) const SUBMIT: Duration = Duration::from_secs(60);
/// Pause between two looks.
pub(super) const LOOK: Duration = Duration::from_millis(50);
/// Workers in one rack.
const RACK: usize = 8;

/// A running set-up and its progress lines.
pub(super) struct Bench {
    pub(super) cx: ScenarioCx,
    pub(super) cluster: Arc<Cluster>,
    submitted_us: Arc<Mutex<BTreeMap<JobId, u64>>>,
    _progress: Option<Progress>,
}

/// The tasks of a job.
#[derive(Clone, Debug)]
pub(super) struct Shape {
    /// How many.
    pub(super) tasks: u32,
    /// Processors of each as declared, in thousandths of a core.
    pub(super) milli_cores: u64,
    /// Run time in truth, in milliseconds.
    pub(super) run_ms: u64,
    /// Run time as declared, in milliseconds.
    pub(super) declared_ms: u64,
    /// How urgent the job is.
    pub(super) priority: &'static str,
    /// What each task uses in truth; none means what is declared.
    pub(super) uses: Option<Resources>,
}

impl Shape {
    /// Tasks that are what they are declared to be.
    pub(super) fn normal(tasks: u32, cores: u64, run_ms: u64) -> Self {
        Self {
            tasks,
            milli_cores: cores * 1_000,
            run_ms,
            declared_ms: run_ms,
            priority: "normal",
            uses: None,
        }
    }
}

/// Processors and 2 GiB of memory for each core.
pub(super) fn cores(n: u64) -> Resources {
    milli_cores(n * 1_000)
}

fn milli_cores(n: u64) -> Resources {
    Resources {
        processors: Processors(n),
        memory: ByteSize::mib(2 * n * 1_024 / 1_000),
        ..Resources::default()
    }
}

/// Workers without endpoints, all in cells of the first configuration.
pub(super) fn spec(cx: &ScenarioCx, instances: usize, workers: usize) -> ClusterSpec {
    let mut spec = ClusterSpec::sized(cx.size, cx.seed);
    spec.instances = instances;
    spec.workers = workers;
    spec.endpoints = 0;
    spec.logs = cx.logs.clone();
    let half = workers.div_ceil(RACK).div_ceil(2);
    spec.configuration["cells"] = json!({
        "c1": { "racks": racks(0, half) },
        "c2": { "racks": racks(half, workers.div_ceil(RACK)) },
    });
    spec
}

/// The same with one cell.
pub(super) fn one_cell(cx: &ScenarioCx, instances: usize, workers: usize) -> ClusterSpec {
    let mut spec = spec(cx, instances, workers);
    let racks = racks(0, workers.div_ceil(RACK));
    spec.configuration["cells"] = json!({ "c1": { "racks": racks } });
    spec
}

fn racks(from: usize, to: usize) -> Vec<SmolStr> {
    (from..to).map(|i| format_smolstr!("r{}", i + 1)).collect()
}

impl Bench {
    /// Starts the set-up.
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

    /// A job by name; teams take turns.
    pub(super) fn job(
        &self,
        name: &str,
        n: usize,
        shape: &Shape,
    ) -> Result<JobSpec, ScenarioError> {
        let id = format!("{name}-{seed}-{n}", seed = self.cx.seed);
        let teams = &self.cluster.spec.teams;
        let mut payload = json!({ "run_ms": shape.run_ms });
        if let Some(uses) = &shape.uses {
            payload["uses"] = json!(uses);
        }
        Ok(JobSpec {
            id: id.parse().map_err(ClusterError::from)?,
            team: teams[n % teams.len()].clone(),
            class: "deck".into(),
            tasks: shape.tasks,
            resources: milli_cores(shape.milli_cores),
            expected_ms: shape.declared_ms,
            priority: shape.priority.into(),
            payload,
        })
    }

    /// Submits jobs evenly over `length`, and waits until each was accepted or not.
    pub(super) async fn offer(
        &self,
        jobs: Vec<JobSpec>,
        length: Duration,
    ) -> Result<Vec<Submitted>, ScenarioError> {
        let start = Instant::now();
        let gap = length / u32::try_from(jobs.len().max(1)).unwrap_or(u32::MAX);
        let mut calls = JoinSet::new();
        for (n, job) in (0_u32..).zip(jobs) {
            tokio::time::sleep_until(start + gap * n).await;
            let client = self.cluster.jobs.clone();
            lock(&self.submitted_us).insert(job.id.clone(), now_us());
            calls.spawn(async move { client.submit(&job, SUBMIT).await });
        }
        let mut results = Vec::new();
        while let Some(ended) = calls.join_next().await {
            results.push(ended?);
        }
        Ok(results)
    }

    /// Tasks that run on all workers now.
    pub(super) fn running(&self) -> usize {
        self.cluster.workers().iter().map(|w| w.running()).sum()
    }

    /// Waits until at least `n` tasks run; false if `limit` passed first.
    pub(super) async fn wait_running(&self, n: usize, limit: Duration) -> bool {
        let deadline = Instant::now() + limit;
        while self.running() < n {
            if Instant::now() >= deadline {
                return false;
            }
            tokio::time::sleep(LOOK).await;
        }
        true
    }

    /// The instance that wrote the newest record of a cell.
    pub(super) fn owner(&self, cell: &str) -> Option<SmolStr> {
        let writes = self.cluster.store.history_of(JOURNAL_FOLDER);
        let owner = journal_check::owner(&writes, &cell.parse().ok()?)?;
        Some(owner.id.as_str().into())
    }

    /// What the journals come to.
    pub(super) fn journals(&self) -> JournalCounts {
        journal_check::check(&self.cluster.store.history_of(JOURNAL_FOLDER))
    }

    /// The runs of the tasks of jobs whose id begins with `name`.
    pub(super) fn runs(&self, name: &str) -> BTreeMap<TaskId, Vec<Run>> {
        let prefix = format!("{name}-");
        let mut runs = self.cluster.batch.runs();
        runs.retain(|task, _| task.job.as_str().starts_with(&prefix));
        runs
    }

    /// Time from the call that submitted a task to its first start, of the tasks that started.
    pub(super) fn start_times(&self, name: &str) -> Latencies {
        let submitted = lock(&self.submitted_us);
        let mut times = Latencies::default();
        for (task, runs) in self.runs(name) {
            let first = runs.iter().map(|run| run.start_us).min();
            if let (Some(first), Some(at)) = (first, submitted.get(&task.job)) {
                times.push(first.saturating_sub(*at));
            }
        }
        times
    }

    /// Changes the configuration and waits until it is in force.
    pub(super) async fn change(&self, base: u64, change: &Value) -> Result<(), ScenarioError> {
        let id = format!("lab-change-{base}");
        let number = self.cluster.patch(base, &id, change).await?;
        self.cluster.wait_config(number).await?;
        Ok(())
    }

    /// The tasks, promises and journals of the whole run.
    pub(super) async fn summary(&self, scenario: &str) -> Summary {
        let mut summary = Summary {
            scenario: scenario.into(),
            seed: self.cx.seed,
            ..Summary::default()
        };
        for (task, runs) in self.cluster.batch.doubled() {
            tracing::error!(%task, ?runs, "the task ran twice");
        }
        let batch = self.cluster.batch.counts();
        let journals = self.journals();
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
            summary.detail(name, value as f64);
        }
        summary
    }
}
