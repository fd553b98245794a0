//! The testbed, callers and measurements that the request scenarios share.

use std::{sync::Arc, time::Duration};

use guavacart_types::Class;
use serde_json::json;
use smol_str::{SmolStr, format_smolstr};
use tokio::time::sleep;

use super::{ScenarioCx, ScenarioError};
use crate::{
    caller::{Attempt, CallPath, CallerSpec, Ending, Latencies, Schedule, latencies},
    clock::now_us,
    cluster::{Cluster, ClusterSpec, team_token},
    endpoint::SLOTS,
    progress::Progress,
    summary::Summary,
};

/// Default service time of a short request.
pub(super) const SERVICE_TIME: Duration = Duration::from_millis(200);
/// Default load, as a share of the capacity.
pub(super) const HALF_LOAD: f64 = 0.5;
/// Phase with guavacart's own policy, whose results the summary shows.
pub(super) const OWN_PHASE: &str = "own";
/// Phase before the measurement, in which connections are opened and service times are learned.
const WARM_UP_PHASE: &str = "warm";
/// How long the warm-up phase lasts.
const WARM_UP_TIME: Duration = Duration::from_secs(4);
/// Shortest deadline of a request; the deadline is three times the service time if that is longer.
const DEADLINE: Duration = Duration::from_secs(2);

/// A running cluster for request scenarios, with its progress lines on stderr if they are wanted.
pub(super) struct Testbed {
    pub(super) cx: ScenarioCx,
    pub(super) cluster: Arc<Cluster>,
    _progress: Option<Progress>,
}

/// The requests that one group of callers sends: one caller for each team.
#[derive(Clone, Debug)]
pub(super) struct OfferedLoad {
    /// Prefix of the request ids, which tells the phases of a run apart.
    pub(super) phase: &'static str,
    /// The class that the requests declare.
    pub(super) class: Class,
    /// Requests per second of each team, over time.
    pub(super) schedule: Schedule,
    /// Service time of each request.
    pub(super) service_time: Duration,
}

/// Returns a cluster of the full size of the site, without workers and cells.
pub(super) fn request_cluster(cx: &ScenarioCx) -> ClusterSpec {
    let mut spec = ClusterSpec::sized(cx.size, cx.seed);
    spec.workers = 0;
    spec.configuration["cells"] = json!({});
    spec.logs = cx.log_dir.clone();
    spec
}

impl Testbed {
    /// Starts the cluster and runs the warm-up phase.
    pub(super) async fn open(cx: ScenarioCx, spec: ClusterSpec) -> Result<Self, ScenarioError> {
        let cluster = Arc::new(Cluster::open(spec).await?);
        let progress = cx.progress.then(|| Progress::spawn(Arc::clone(&cluster)));
        let testbed = Self {
            cx,
            cluster,
            _progress: progress,
        };
        let warm_up = testbed.short(WARM_UP_PHASE, HALF_LOAD);
        testbed.run_load(vec![warm_up], WARM_UP_TIME).await?;
        Ok(testbed)
    }

    /// Returns the requests per second that all endpoints together can run.
    pub(super) fn capacity(&self, service_time: Duration) -> f64 {
        let all_slots = self.cluster.spec.endpoints as f64 * f64::from(SLOTS);
        all_slots / service_time.as_secs_f64()
    }

    /// Returns the requests per second of one team if all teams together use `share` of the
    /// capacity.
    pub(super) fn team_rate(&self, share: f64, service_time: Duration) -> f64 {
        share * self.capacity(service_time) / self.cluster.spec.teams.len() as f64
    }

    /// Returns a constant load of short requests that uses `share` of the capacity.
    pub(super) fn short(&self, phase: &'static str, share: f64) -> OfferedLoad {
        OfferedLoad {
            phase,
            class: Class::Short,
            schedule: Schedule::constant(self.team_rate(share, SERVICE_TIME)),
            service_time: SERVICE_TIME,
        }
    }

    /// Sends the load through the balancer for `length` and waits until every request has ended.
    pub(super) async fn run_load(
        &self,
        loads: Vec<OfferedLoad>,
        length: Duration,
    ) -> Result<(), ScenarioError> {
        let teams = &self.cluster.spec.teams;
        let callers = loads
            .iter()
            .flat_map(|load| teams.iter().map(|team| self.caller(load, team)));
        self.run_callers(callers.collect(), length).await
    }

    /// Runs the callers for `length` and waits until every request has ended.
    pub(super) async fn run_callers(
        &self,
        callers: Vec<CallerSpec>,
        length: Duration,
    ) -> Result<(), ScenarioError> {
        let mut tasks = self.cluster.spawn_callers(callers, length, self.cx.seed);
        while let Some(result) = tasks.join_next().await {
            result?;
        }
        Ok(())
    }

    /// Returns the caller of one team for a load.
    pub(super) fn caller(&self, load: &OfferedLoad, team: &SmolStr) -> CallerSpec {
        CallerSpec {
            name: format_smolstr!("{}-{team}-{}", load.phase, load.class),
            call_path: CallPath::Entry,
            service: self.cluster.spec.service.clone(),
            team: team.clone(),
            token: Some(team_token(team)),
            class: load.class,
            schedule: load.schedule.clone(),
            idempotent_share: 0.5,
            deadline: DEADLINE.max(load.service_time * 3),
            service_time: load.service_time,
            request_bytes: 2_000,
            answer_bytes: 4_000,
            repeat_share: 0.5,
            give_up_share: 0.0,
            give_up_after: Duration::ZERO,
        }
    }

    /// Patches the service in the configuration numbered `base` and waits until the change is in
    /// force.
    pub(super) async fn change_service(
        &self,
        base: u64,
        change: serde_json::Value,
    ) -> Result<(), ScenarioError> {
        let service = self.cluster.spec.service.as_str();
        let change = json!({ "services": { service: change } });
        let id = format!("lab-change-{base}");
        let number = self.cluster.patch(base, &id, &change).await?;
        self.cluster.wait_for_config(number).await?;
        Ok(())
    }

    /// Returns the attempts of one phase.
    pub(super) fn attempts(&self, phase: &str) -> Vec<Attempt> {
        let prefix = format!("{phase}-");
        let mut attempts = self.cluster.attempt_log.attempts();
        attempts.retain(|a| a.id.starts_with(&prefix));
        attempts
    }

    /// Returns the summary of the phase [`OWN_PHASE`], with the violations of the whole run.
    pub(super) async fn summary(&self, scenario: &str) -> Summary {
        let attempts = self.attempts(OWN_PHASE);
        let mut summary = Summary::of_attempts(scenario, self.cx.seed, &attempts);
        summary.violations = self.cluster.violations().await;
        summary.add_reasons(&attempts);
        let endpoints = self.cluster.requests.counts();
        summary.add_detail("peak_busy", f64::from(endpoints.peak_busy));
        let unclean_stops = self.cluster.unclean_stops() as f64;
        summary.add_detail("graceful_stops_without_exit_0", unclean_stops);
        summary
    }
}

/// Returns the latencies of the answered attempts of one class.
pub(super) fn latencies_of_class(attempts: &[Attempt], class: Class) -> Latencies {
    latencies(attempts, |a| a.class == class)
}

/// Returns the attempts that were neither answered nor abandoned by their caller.
pub(super) fn unanswered(attempts: &[Attempt]) -> Vec<&Attempt> {
    let is_answered_or_abandoned =
        |a: &&Attempt| matches!(a.ending, Ending::Answered | Ending::Abandoned);
    attempts
        .iter()
        .filter(|a| !is_answered_or_abandoned(a))
        .collect()
}

/// Returns the limit for a measurement that may be `factor` times the control's.
pub(super) fn scaled_limit(factor: f64, control: f64) -> f64 {
    factor * control
}

/// Sleeps for `span` and returns the lab's time after that, in microseconds.
pub(super) async fn sleep_then_now(span: Duration) -> u64 {
    sleep(span).await;
    now_us()
}
