//! Samples of what each instance has used so far, and the cost per second between two samples.

use std::{collections::BTreeMap, time::Duration};

use hyper::Method;
use serde_json::Value;
use smol_str::{SmolStr, format_smolstr};
use tokio::time::Instant;

use crate::cluster::Cluster;

/// Time from the start of all instances to the first sample, in which the cluster settles.
pub(super) const SETTLE_TIME: Duration = Duration::from_secs(8);
/// Bytes of a megabyte.
const BYTES_PER_MEGABYTE: f64 = 1e6;

/// Totals of one instance since its start, by name.
type Totals = BTreeMap<SmolStr, f64>;

/// What all instances have used up to one moment, by instance.
#[derive(Debug)]
pub(super) struct Sample {
    at: Instant,
    cpu_seconds: BTreeMap<SmolStr, f64>,
    resident: BTreeMap<SmolStr, u64>,
    control: BTreeMap<SmolStr, Totals>,
    calls: BTreeMap<SmolStr, Totals>,
}

/// A measurement over all instances of a cluster: the mean and the largest value.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Figure {
    pub(super) mean: f64,
    pub(super) most: f64,
}

/// What an instance of a cluster costs.
#[derive(Debug)]
pub(super) struct Cost {
    pub(super) cpu_percent: Figure,
    pub(super) memory_mb: Figure,
    /// Bytes per second sent and received, by channel; `all` is the sum over all channels.
    control: BTreeMap<SmolStr, Figure>,
    /// Store calls per second, by kind.
    calls: BTreeMap<SmolStr, Figure>,
}

impl Sample {
    /// Collects a sample. `/proc` is read before the status calls, so that the processor time and
    /// memory of this sample do not include them.
    pub(super) async fn collect(cluster: &Cluster) -> Self {
        let at = Instant::now();
        let cpu_seconds = cluster.cpu_seconds().await;
        let resident = cluster.resident_bytes().await;
        let mut control = BTreeMap::new();
        let mut calls = BTreeMap::new();
        for (name, address) in cluster.running() {
            let call = cluster.call_operator_api(address, Method::GET, "/v1/status", Vec::new());
            let Some((_, status)) = call.await else {
                continue;
            };
            control.insert(name.clone(), control_bytes(&status["control"]));
            calls.insert(name, store_calls(&status["store"]["calls"]));
        }
        Self {
            at,
            cpu_seconds,
            resident,
            control,
            calls,
        }
    }
}

impl Cost {
    /// Returns the cost between two samples.
    pub(super) fn between(before: &Sample, after: &Sample) -> Self {
        let seconds = after.at.duration_since(before.at).as_secs_f64();
        let cpu = growth(&before.cpu_seconds, &after.cpu_seconds);
        let resident = after
            .resident
            .values()
            .map(|bytes| *bytes as f64 / BYTES_PER_MEGABYTE);
        Self {
            cpu_percent: Figure::of(cpu.map(|used| 100.0 * used / seconds)),
            memory_mb: Figure::of(resident),
            control: rates(&before.control, &after.control, seconds),
            calls: rates(&before.calls, &after.calls, seconds),
        }
    }

    /// Returns the control bytes per second over all channels.
    pub(super) fn total_control(&self) -> Figure {
        self.control.get("all").copied().unwrap_or_default()
    }

    /// Returns every measurement with its name, which ends in the unit.
    pub(super) fn figures(&self) -> impl Iterator<Item = (SmolStr, Figure)> {
        let fixed = [
            ("cpu_percent".into(), self.cpu_percent),
            ("memory_mb".into(), self.memory_mb),
        ];
        let control = self.control.iter();
        let control = control.map(|(name, f)| (format_smolstr!("{name}_bytes_s"), *f));
        let calls = self.calls.iter();
        let calls = calls.map(|(name, f)| (format_smolstr!("store_{name}_calls_s"), *f));
        fixed.into_iter().chain(control).chain(calls)
    }

    /// Returns the mean of one measurement; 0 if there is none with this name.
    pub(super) fn figure(&self, name: &str) -> f64 {
        let found = self.figures().find(|(known, _)| known == name);
        found.map_or(0.0, |(_, figure)| figure.mean)
    }
}

impl Figure {
    fn of(values: impl Iterator<Item = f64>) -> Self {
        let values: Vec<f64> = values.collect();
        Self {
            mean: values.iter().sum::<f64>() / values.len().max(1) as f64,
            most: values.into_iter().fold(0.0, f64::max),
        }
    }
}

fn control_bytes(control: &Value) -> Totals {
    let mut totals = Totals::new();
    for channel in control.as_array().into_iter().flatten() {
        let bytes = |key| channel[key].as_f64().unwrap_or_default();
        let total_bytes = bytes("sent_bytes") + bytes("received_bytes");
        let name = channel["channel"].as_str().unwrap_or("unknown");
        totals.insert(name.into(), total_bytes);
        *totals.entry("all".into()).or_default() += total_bytes;
    }
    totals
}

fn store_calls(calls: &Value) -> Totals {
    let calls = calls.as_array().into_iter().flatten();
    let total = |call: &Value| {
        let kind = call["kind"].as_str()?;
        Some((SmolStr::new(kind), call["total"].as_f64()?))
    };
    calls.filter_map(total).collect()
}

/// Returns how much each value grew; a value that is missing from `before` counts as 0 there.
fn growth(
    before: &BTreeMap<SmolStr, f64>,
    after: &BTreeMap<SmolStr, f64>,
) -> impl Iterator<Item = f64> {
    after
        .iter()
        .map(|(name, now)| now - before.get(name).copied().unwrap_or_default())
}

/// Returns the growth per second of each total, over all instances.
fn rates(
    before: &BTreeMap<SmolStr, Totals>,
    after: &BTreeMap<SmolStr, Totals>,
    seconds: f64,
) -> BTreeMap<SmolStr, Figure> {
    let none = Totals::new();
    let names = after.values().flat_map(Totals::keys);
    let mut figures = BTreeMap::new();
    for name in names {
        let total_of = |totals: &Totals| totals.get(name).copied().unwrap_or_default();
        let growth_per_s = after.iter().map(|(instance, now)| {
            let earlier = before.get(instance).unwrap_or(&none);
            (total_of(now) - total_of(earlier)) / seconds
        });
        figures.insert(name.clone(), Figure::of(growth_per_s));
    }
    figures
}
