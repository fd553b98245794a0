//! Measures what each entry instance costs without load, by number of instances and by number of
//! listed endpoints and workers.

mod fit;
mod sample;

use smol_str::format_smolstr;
use tokio::time::sleep;

use self::{
    fit::slope,
    sample::{Cost, Sample},
};
use super::{Scenario, ScenarioCx, ScenarioError, ScenarioRun};
use crate::{
    cluster::{Cluster, ClusterSpec, Size},
    summary::{Summary, Target},
};

/// The clusters that are measured, one after another.
const POINTS: &[Point] = &[
    Point::new(3, CURRENT_LISTED),
    Point::new(6, CURRENT_LISTED),
    Point::new(MAX_INSTANCES, CURRENT_LISTED),
    Point::new(MAX_INSTANCES, 300),
    Point::new(MAX_INSTANCES, 1_200),
];
/// Endpoints, and as many workers, of the current deployment.
const CURRENT_LISTED: usize = 65;
/// Entry instances of the clusters that differ in the number of listed endpoints and workers.
const MAX_INSTANCES: usize = 9;
/// Limit for the processor time of an instance, in percent of a core.
const MAX_CPU_PERCENT: f64 = 1.8;
/// Limit for the resident memory of an instance, in megabytes of 1,000,000 bytes.
const MAX_MEMORY_MB: f64 = 64.0;
/// Limit for the control bytes that an instance sends and receives per second.
const MAX_CONTROL_BYTES_PER_S: f64 = 13_000.0;

pub(super) const SCENARIO: Scenario = Scenario {
    name: "idle-cost",
    description: "processor time, memory and control bytes of each instance without load, by size",
    baselines: &[],
    default_seconds: 20,
    run,
};

fn run(cx: ScenarioCx) -> ScenarioRun {
    Box::pin(idle_cost(cx))
}

/// The size of one cluster.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Point {
    /// Entry instances.
    instances: usize,
    /// Listed endpoints, and as many listed workers.
    listed: usize,
}

impl Point {
    const fn new(instances: usize, listed: usize) -> Self {
        Self { instances, listed }
    }
}

async fn idle_cost(cx: ScenarioCx) -> Result<Summary, ScenarioError> {
    let mut summary = Summary::of_attempts(SCENARIO.name, cx.seed, &[]);
    let mut costs = Vec::new();
    for point in POINTS {
        let cost = measure(&cx, *point).await?;
        if cx.progress {
            tracing::info!(?point, ?cost, "measured one cluster");
        }
        add_details(&mut summary, *point, &cost);
        costs.push((*point, cost));
    }
    add_slopes(&mut summary, &costs);
    let current = Point::new(MAX_INSTANCES, CURRENT_LISTED);
    if let Some((_, cost)) = costs.iter().find(|(point, _)| *point == current) {
        summary.targets = vec![
            Target::at_most(
                "cpu_percent_of_a_core",
                MAX_CPU_PERCENT,
                cost.cpu_percent.most,
            ),
            Target::at_most("memory_mb", MAX_MEMORY_MB, cost.memory_mb.most),
            Target::at_most(
                "control_bytes_s",
                MAX_CONTROL_BYTES_PER_S,
                cost.total_control().most,
            ),
        ];
    }
    Ok(summary)
}

/// Starts a cluster, waits for it to settle and measures it for the length of the run.
async fn measure(cx: &ScenarioCx, point: Point) -> Result<Cost, ScenarioError> {
    let spec = ClusterSpec {
        logs: cx.log_dir.clone(),
        watch: false,
        ..ClusterSpec::sized(Size::Pamoja, cx.seed)
    };
    let spec = spec.with_sizes(point.instances, point.listed, point.listed);
    let cluster = Cluster::open(spec).await?;
    sleep(sample::SETTLE_TIME).await;
    let before = Sample::collect(&cluster).await;
    sleep(cx.load_length).await;
    let after = Sample::collect(&cluster).await;
    Ok(Cost::between(&before, &after))
}

fn add_details(summary: &mut Summary, point: Point, cost: &Cost) {
    let Point { instances, listed } = point;
    for (name, figure) in cost.figures() {
        let name = format_smolstr!("{instances}_instances_{listed}_listed_{name}");
        summary.add_detail(&format_smolstr!("{name}_mean"), figure.mean);
        summary.add_detail(&format_smolstr!("{name}_most"), figure.most);
    }
}

/// Adds the slope of each measurement per instance and per 100 listed, by least squares.
fn add_slopes(summary: &mut Summary, costs: &[(Point, Cost)]) {
    let names = costs.iter().flat_map(|(_, cost)| cost.figures());
    let names: std::collections::BTreeSet<_> = names.map(|(name, _)| name).collect();
    for name in names {
        let value = |cost: &Cost| cost.figure(&name);
        let by_instances = costs
            .iter()
            .filter(|(point, _)| point.listed == CURRENT_LISTED);
        let points = by_instances.map(|(point, cost)| (point.instances as f64, value(cost)));
        let per_instance = slope(&points.collect::<Vec<_>>());
        let by_listed = costs
            .iter()
            .filter(|(point, _)| point.instances == MAX_INSTANCES);
        let points = by_listed.map(|(point, cost)| (point.listed as f64 / 100.0, value(cost)));
        let per_100_listed = slope(&points.collect::<Vec<_>>());
        summary.add_detail(&format_smolstr!("slope_{name}_per_instance"), per_instance);
        summary.add_detail(
            &format_smolstr!("slope_{name}_per_100_listed"),
            per_100_listed,
        );
    }
}
