//! What each entry instance costs without load, by number of instances and of what is listed.

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

/// Entry instances, and endpoints and workers listed; each point is a set-up of its own.
const POINTS: &[Point] = &[
    Point::new(3, TODAY),
    Point::new(6, TODAY),
    Point::new(MOST, TODAY),
    Point::new(MOST, 300),
    Point::new(MOST, 1_200),
];
/// Endpoints and workers of today.
const TODAY: usize = 65;
/// Entry instances of the set-ups that differ in what is listed.
const MOST: usize = 9;
/// Most of a core that an instance may use, in percent.
const CPU_PERCENT: f64 = 1.8;
/// Most memory that an instance may hold resident, in megabytes of 1,000,000 bytes.
const MEMORY_MB: f64 = 64.0;
/// Most control bytes that an instance may send and receive in a second.
const CONTROL_BYTES_S: f64 = 13_000.0;

pub(super) const SCENARIO: Scenario = Scenario {
    name: "idle-cost",
    about: "processor time, memory and control bytes of each instance without load, by size",
    baselines: &[],
    seconds: 20,
    run,
};

fn run(cx: ScenarioCx) -> ScenarioRun {
    Box::pin(idle_cost(cx))
}

/// One set-up.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Point {
    instances: usize,
    /// Endpoints, and as many workers.
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
            tracing::info!(?point, ?cost, "one set-up was measured");
        }
        detail(&mut summary, *point, &cost);
        costs.push((*point, cost));
    }
    add_slopes(&mut summary, &costs);
    let today = Point::new(MOST, TODAY);
    if let Some((_, cost)) = costs.iter().find(|(point, _)| *point == today) {
        summary.targets = vec![
            Target::at_most("cpu_percent_of_a_core", CPU_PERCENT, cost.cpu_percent.most),
            Target::at_most("memory_mb", MEMORY_MB, cost.memory_mb.most),
            Target::at_most("control_bytes_s", CONTROL_BYTES_S, cost.control().most),
        ];
    }
    Ok(summary)
}

/// Sets one size up, lets it come to rest and measures for the length of the run.
async fn measure(cx: &ScenarioCx, point: Point) -> Result<Cost, ScenarioError> {
    let spec = ClusterSpec {
        logs: cx.logs.clone(),
        watch: false,
        ..ClusterSpec::sized(Size::Pamoja, cx.seed)
    };
    let spec = spec.with_numbers(point.instances, point.listed, point.listed);
    let cluster = Cluster::open(spec).await?;
    sleep(sample::REST).await;
    let before = Sample::take(&cluster).await;
    sleep(cx.length).await;
    let after = Sample::take(&cluster).await;
    Ok(Cost::between(&before, &after))
}

fn detail(summary: &mut Summary, point: Point, cost: &Cost) {
    let Point { instances, listed } = point;
    for (name, figure) in cost.figures() {
        let name = format_smolstr!("{instances}_instances_{listed}_listed_{name}");
        summary.detail(&format_smolstr!("{name}_mean"), figure.mean);
        summary.detail(&format_smolstr!("{name}_most"), figure.most);
    }
}

/// Adds how each figure grows, by least squares.
fn add_slopes(summary: &mut Summary, costs: &[(Point, Cost)]) {
    let names = costs.iter().flat_map(|(_, cost)| cost.figures());
    let names: std::collections::BTreeSet<_> = names.map(|(name, _)| name).collect();
    for name in names {
        let value = |cost: &Cost| cost.figure(&name);
        let by_instances = costs.iter().filter(|(point, _)| point.listed == TODAY);
        let points = by_instances.map(|(point, cost)| (point.instances as f64, value(cost)));
        let per_instance = slope(&points.collect::<Vec<_>>());
        let by_listed = costs.iter().filter(|(point, _)| point.instances == MOST);
        let points = by_listed.map(|(point, cost)| (point.listed as f64 / 100.0, value(cost)));
        let per_100_listed = slope(&points.collect::<Vec<_>>());
        summary.detail(&format_smolstr!("slope_{name}_per_instance"), per_instance);
        summary.detail(
            &format_smolstr!("slope_{name}_per_100_listed"),
            per_100_listed,
        );
    }
}
