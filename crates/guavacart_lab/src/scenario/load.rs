//! The set-up, callers and figures that the request scenarios share.

use std::{sync::Arc, time::Duration};

use guavacart_types::Class;
use serde_json::json;
use smol_str::{SmolStr, format_smolstr};
use tokio::time::sleep;

use super::{ScenarioCx, ScenarioError};
use crate::{
    caller::{Attempt, CallerSpec, Ending, Form, Latencies, Schedule, latencies},
    clock::now_us,
    cluster::{Cluster, ClusterSpec, team_token},
    endpoint::SLOTS,
    progress::Progress,
    summary::Summary,
};

/// Service time of a short request unless a scenario needs another.
pub(super) const WORK: Duration = Duration::from_millis(200);
/// Share of the capacity that is asked for unless a scenario needs another.
pub(super) const HALF: f64 = 0.5;
/// Phase of the callers whose figures are the scenario's own.
pub(super) const OWN: &str = "own";
/// Phase in which connections are opened and service times learned.
const WARM: &str = "warm";
/// How long that is.
const WARM_UP: Duration = Duration::from_secs(4);
/// Deadline of every request.
const DEADLINE: Duration = Duration::from_secs(2);

/// A running set-up and its progress lines.
pub(super) struct Bench {
    pub(super) cx: ScenarioCx,
    pub(super) cluster: Arc<Cluster>,
    _progress: Option<Progress>,
}

/// Callers of all teams.
#[derive(Clone, Debug)]
pub(super) struct Offer {
    /// What the ids of its requests begin with.
    pub(super) phase: &'static str,
    /// The class that is declared.
    pub(super) class: Class,
    /// Calls of each team in a second, over time.
    pub(super) schedule: Schedule,
    /// Service time.
    pub(super) work: Duration,
}

/// The set-up of a request scenario: whole size, no batch work.
pub(super) fn spec(cx: &ScenarioCx) -> ClusterSpec {
    let mut spec = ClusterSpec::sized(cx.size, cx.seed);
    spec.workers = 0;
    spec.configuration["cells"] = json!({});
    spec.logs = cx.logs.clone();
    spec
}

impl Bench {
    /// Starts the set-up and warms it up.
    pub(super) async fn open(cx: ScenarioCx, spec: ClusterSpec) -> Result<Self, ScenarioError> {
        let cluster = Arc::new(Cluster::open(spec).await?);
        let progress = cx.progress.then(|| Progress::spawn(Arc::clone(&cluster)));
        let bench = Self {
            cx,
            cluster,
            _progress: progress,
        };
        let warm = bench.short(WARM, HALF);
        bench.offer(vec![warm], WARM_UP).await?;
        Ok(bench)
    }

    /// Requests in a second that all endpoints can run.
    pub(super) fn capacity(&self, work: Duration) -> f64 {
        let slots = self.cluster.spec.endpoints as f64 * f64::from(SLOTS);
        slots / work.as_secs_f64()
    }

    /// Calls of one team in a second for a share of the capacity.
    pub(super) fn team_rate(&self, share: f64, work: Duration) -> f64 {
        share * self.capacity(work) / self.cluster.spec.teams.len() as f64
    }

    /// Short requests at a share of the capacity.
    pub(super) fn short(&self, phase: &'static str, share: f64) -> Offer {
        Offer {
            phase,
            class: Class::Short,
            schedule: Schedule::constant(self.team_rate(share, WORK)),
            work: WORK,
        }
    }

    /// Offers load through the balancer until all its calls have ended.
    pub(super) async fn offer(
        &self,
        offers: Vec<Offer>,
        length: Duration,
    ) -> Result<(), ScenarioError> {
        let teams = &self.cluster.spec.teams;
        let callers = offers
            .iter()
            .flat_map(|offer| teams.iter().map(|team| self.caller(offer, team)));
        self.call(callers.collect(), length).await
    }

    /// Lets callers call until all their calls have ended.
    pub(super) async fn call(
        &self,
        callers: Vec<CallerSpec>,
        length: Duration,
    ) -> Result<(), ScenarioError> {
        let mut running = self.cluster.spawn_callers(callers, length, self.cx.seed);
        while let Some(ended) = running.join_next().await {
            ended?;
        }
        Ok(())
    }

    /// The callers of one team.
    pub(super) fn caller(&self, offer: &Offer, team: &SmolStr) -> CallerSpec {
        CallerSpec {
            name: format_smolstr!("{}-{team}-{}", offer.phase, offer.class),
            form: Form::Entry,
            service: self.cluster.spec.service.clone(),
            team: team.clone(),
            token: Some(team_token(team)),
            class: offer.class,
            schedule: offer.schedule.clone(),
            idempotent: 0.5,
            deadline: DEADLINE.max(offer.work * 3),
            work: offer.work,
            request_bytes: 2_000,
            answer_bytes: 4_000,
            repeats: 0.5,
            gives_up: 0.0,
            gives_up_after: Duration::ZERO,
        }
    }

    /// Submits a change of the service and waits until it is in force.
    pub(super) async fn change_service(
        &self,
        base: u64,
        change: serde_json::Value,
    ) -> Result<(), ScenarioError> {
        let service = self.cluster.spec.service.as_str();
        let change = json!({ "services": { service: change } });
        let id = format!("lab-change-{base}");
        let number = self.cluster.patch(base, &id, &change).await?;
        self.cluster.wait_config(number).await?;
        Ok(())
    }

    /// The attempts of one phase.
    pub(super) fn attempts(&self, phase: &str) -> Vec<Attempt> {
        let prefix = format!("{phase}-");
        let mut attempts = self.cluster.record.attempts();
        attempts.retain(|a| a.id.starts_with(&prefix));
        attempts
    }

    /// The summary of the scenario's own callers, with the violations of the whole run.
    pub(super) async fn summary(&self, scenario: &str) -> Summary {
        let attempts = self.attempts(OWN);
        let mut summary = Summary::of_attempts(scenario, self.cx.seed, &attempts);
        summary.violations = self.cluster.violations().await;
        summary.add_reasons(&attempts);
        let endpoints = self.cluster.requests.counts();
        summary.detail("peak_busy", f64::from(endpoints.peak_busy));
        let unclean = self.cluster.unclean_stops() as f64;
        summary.detail("graceful_stops_without_exit_0", unclean);
        summary
    }
}

/// Latencies of the answered attempts of one class.
pub(super) fn of_class(attempts: &[Attempt], class: Class) -> Latencies {
    latencies(attempts, |a| a.class == class)
}

/// Attempts that were neither answered nor given up by their caller.
pub(super) fn unanswered(attempts: &[Attempt]) -> Vec<&Attempt> {
    let ended_well = |a: &&Attempt| matches!(a.ending, Ending::Answered | Ending::Abandoned);
    attempts.iter().filter(|a| !ended_well(a)).collect()
}

/// The limit of a figure that may be `factor` times that of the control.
pub(super) fn times(factor: f64, control: f64) -> f64 {
    factor * control
}

/// Sleeps, and returns the lab's time then, in microseconds.
pub(super) async fn after(span: Duration) -> u64 {
    sleep(span).await;
    now_us()
}
