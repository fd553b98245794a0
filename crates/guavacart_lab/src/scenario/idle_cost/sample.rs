//! What each instance has used, and what that comes to in a second.

use std::{collections::BTreeMap, time::Duration};

use hyper::Method;
use serde_json::Value;
use smol_str::{SmolStr, format_smolstr};
use tokio::time::Instant;

use crate::cluster::Cluster;

/// Time from the start of all instances to the first sample.
pub(super) const REST: Duration = Duration::from_secs(8);
/// Bytes of a megabyte.
const MEGABYTE: f64 = 1e6;

/// Running totals of one instance, by name.
type Totals = BTreeMap<SmolStr, f64>;

/// What all instances had used at one time.
#[derive(Debug)]
pub(super) struct Sample {
    at: Instant,
    cpu_seconds: BTreeMap<SmolStr, f64>,
    resident: BTreeMap<SmolStr, u64>,
    control: BTreeMap<SmolStr, Totals>,
    calls: BTreeMap<SmolStr, Totals>,
}

/// One figure over all instances of a set-up.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Figure {
    pub(super) mean: f64,
    pub(super) most: f64,
}

/// What one instance of a set-up costs.
#[derive(Debug)]
pub(super) struct Cost {
    pub(super) cpu_percent: Figure,
    pub(super) memory_mb: Figure,
    /// Bytes a second by channel, sent and received; `all` is their sum.
    control: BTreeMap<SmolStr, Figure>,
    /// Store calls a second by kind.
    calls: BTreeMap<SmolStr, Figure>,
}

impl Sample {
    /// Asks `/proc` first, so that the status call that follows is not in the figures.
    pub(super) async fn take(cluster: &Cluster) -> Self {
        let at = Instant::now();
        let cpu_seconds = cluster.cpu_seconds().await;
        let resident = cluster.resident_bytes().await;
        let mut control = BTreeMap::new();
        let mut calls = BTreeMap::new();
        for (name, address) in cluster.running() {
            let asked = cluster.operate(address, Method::GET, "/v1/status", Vec::new());
            let Some((_, status)) = asked.await else {
                continue;
            };
            control.insert(name.clone(), channels(&status["control"]));
            calls.insert(name, kinds(&status["store"]["calls"]));
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
    /// The cost of the time between two samples.
    pub(super) fn between(before: &Sample, after: &Sample) -> Self {
        let seconds = after.at.duration_since(before.at).as_secs_f64();
        let cpu = grown(&before.cpu_seconds, &after.cpu_seconds);
        let resident = after
            .resident
            .values()
            .map(|bytes| *bytes as f64 / MEGABYTE);
        Self {
            cpu_percent: Figure::of(cpu.map(|used| 100.0 * used / seconds)),
            memory_mb: Figure::of(resident),
            control: rates(&before.control, &after.control, seconds),
            calls: rates(&before.calls, &after.calls, seconds),
        }
    }

    /// Control bytes a second over all channels.
    pub(super) fn control(&self) -> Figure {
        self.control.get("all").copied().unwrap_or_default()
    }

    /// Every figure with its name and unit.
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

    /// The mean of one figure; 0 if it was not seen.
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

fn channels(control: &Value) -> Totals {
    let mut totals = Totals::new();
    for channel in control.as_array().into_iter().flatten() {
        let bytes = |key| channel[key].as_f64().unwrap_or_default();
        let carried = bytes("sent_bytes") + bytes("received_bytes");
        let name = channel["channel"].as_str().unwrap_or("unknown");
        totals.insert(name.into(), carried);
        *totals.entry("all".into()).or_default() += carried;
    }
    totals
}

fn kinds(calls: &Value) -> Totals {
    let calls = calls.as_array().into_iter().flatten();
    let total = |call: &Value| {
        let kind = call["kind"].as_str()?;
        Some((SmolStr::new(kind), call["total"].as_f64()?))
    };
    calls.filter_map(total).collect()
}

/// By how much each value grew; one that was not there before began at 0.
fn grown(
    before: &BTreeMap<SmolStr, f64>,
    after: &BTreeMap<SmolStr, f64>,
) -> impl Iterator<Item = f64> {
    after
        .iter()
        .map(|(name, now)| now - before.get(name).copied().unwrap_or_default())
}

/// Growth a second of each total, over the instances.
fn rates(
    before: &BTreeMap<SmolStr, Totals>,
    after: &BTreeMap<SmolStr, Totals>,
    seconds: f64,
) -> BTreeMap<SmolStr, Figure> {
    let none = Totals::new();
    let names = after.values().flat_map(Totals::keys);
    let mut figures = BTreeMap::new();
    for name in names {
        let of = |totals: &Totals| totals.get(name).copied().unwrap_or_default();
        let growth = after.iter().map(|(instance, now)| {
            let then = before.get(instance).unwrap_or(&none);
            (of(now) - of(then)) / seconds
        });
        figures.insert(name.clone(), Figure::of(growth));
    }
    figures
}
