//! Burn rates of the whole deployment, from the snapshots of its instances.

use std::collections::BTreeMap;

use guavacart_config::{Configuration, Service};
use guavacart_types::{ConfigNumber, InstanceId, ServiceName, Span, TeamName};
use serde::{Deserialize, Serialize};

use crate::{
    snapshot::{Snapshot, WindowCounts},
    window::{Window, WindowScale},
};

/// The whole, in parts per million.
const WHOLE_PPM: u32 = 1_000_000;
/// Burn rate of both windows of the fast pair that raises its alarm.
const FAST_ALARM: f64 = 14.4;
/// Burn rate of both windows of the slow pair that raises its alarm.
const SLOW_ALARM: f64 = 6.0;

/// Burn rates of the whole deployment.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Report {
    /// The configuration whose objectives count.
    pub config: ConfigNumber,
    /// How much shorter than their names the windows are.
    pub scale: WindowScale,
    /// The instances that answered.
    pub instances: Vec<ReportedInstance>,
    /// The instances that were asked and did not answer; what they recorded is not in the rows.
    pub missing: Vec<InstanceId>,
    /// For each service: all teams together, then each team.
    pub rows: Vec<Row>,
    /// Requests that no row holds: of services that the configuration does not name, or beyond the
    /// series that a recorder keeps.
    pub unattributed: u64,
}

/// One instance that answered.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ReportedInstance {
    /// The instance.
    pub id: InstanceId,
    /// How long its recorder has run; what ended instances recorded is lost.
    pub recording_ms: Span,
}

/// One service and team.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Row {
    /// The service.
    pub service: ServiceName,
    /// The team; none for all together.
    pub team: Option<TeamName>,
    /// What the six-hour window holds.
    pub counts: WindowCounts,
    /// Requests answered whole while the caller waited.
    pub availability: Burn,
    /// Answers within the latency of the objective.
    pub latency: Burn,
}

/// An objective and what was burnt of its budget.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Burn {
    /// The objective.
    pub objective: Objective,
    /// Burn rate of each window.
    pub windows: BTreeMap<Window, WindowBurn>,
    /// The alarm that the pairs of windows raise.
    pub alarm: Alarm,
    /// Share of the six-hour budget that is left; below zero when overspent.
    pub budget_left: f64,
}

/// What is promised.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Objective {
    /// Share of requests that are to be good, in parts per million.
    pub ppm: u32,
    /// For a latency objective, the time that they are to stay within.
    pub within: Option<Span>,
}

/// What was burnt in one window.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct WindowBurn {
    /// Requests that the objective counts.
    pub total: u64,
    /// Those of them that burnt the budget.
    pub burnt: u64,
    /// Share burnt as a multiple of the share that the objective allows.
    pub rate: f64,
}

/// The alarm that burn rates raise.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Alarm {
    /// None.
    Quiet,
    /// Six hours and thirty minutes both burn at 6 times the allowed rate or more.
    Slow,
    /// One hour and five minutes both burn at 14.4 times the allowed rate or more.
    Fast,
}

impl Report {
    /// The burn rates that the answers of the instances show.
    pub fn of(
        configuration: &Configuration,
        snapshots: &[(InstanceId, Snapshot)],
        missing: Vec<InstanceId>,
    ) -> Self {
        let mut unattributed: u64 = 0;
        let mut series = BTreeMap::new();
        for (_, snapshot) in snapshots {
            let unknown = collect(&mut series, configuration, snapshot);
            unattributed = unattributed
                .saturating_add(snapshot.unattributed)
                .saturating_add(unknown);
        }
        let instances = snapshots.iter().map(|(id, snapshot)| ReportedInstance {
            id: id.clone(),
            recording_ms: snapshot.recording,
        });
        Self {
            config: configuration.number,
            scale: snapshots
                .first()
                .map_or(WindowScale::ONE, |(_, first)| first.scale),
            instances: instances.collect(),
            missing,
            rows: rows(configuration, &series),
            unattributed,
        }
    }
}

type SeriesKey<'a> = (&'a ServiceName, Option<&'a TeamName>);
type Windows = BTreeMap<Window, WindowCounts>;

/// Adds a snapshot's series to those of all instances; returns the requests of unknown services.
fn collect<'a>(
    series: &mut BTreeMap<SeriesKey<'a>, Windows>,
    configuration: &Configuration,
    snapshot: &'a Snapshot,
) -> u64 {
    let mut unknown: u64 = 0;
    for one in &snapshot.series {
        if !configuration.services.contains_key(&one.service) {
            let longest = one.windows.get(&Window::SixHours);
            let total = longest.map_or(0, |window| window.counts.total());
            unknown = unknown.saturating_add(total);
            continue;
        }
        for team in [None, Some(&one.team)] {
            let windows = series.entry((&one.service, team)).or_default();
            for (window, counts) in &one.windows {
                windows.entry(*window).or_default().merge(counts);
            }
        }
    }
    unknown
}

fn rows(configuration: &Configuration, series: &BTreeMap<SeriesKey<'_>, Windows>) -> Vec<Row> {
    let row = |(key, windows): (&SeriesKey<'_>, &Windows)| {
        let (service, team) = *key;
        let rules = configuration.services.get(service)?;
        Some(Row {
            service: service.clone(),
            team: team.cloned(),
            counts: windows.get(&Window::SixHours).cloned().unwrap_or_default(),
            availability: availability(rules, windows),
            latency: latency(rules, windows),
        })
    };
    series.iter().filter_map(row).collect()
}

/// Abandoned, refused and failed requests burn the budget.
fn availability(rules: &Service, windows: &Windows) -> Burn {
    let objective = Objective {
        ppm: rules.objectives.availability_ppm,
        within: None,
    };
    Burn::of(objective, windows, |window| {
        let total = window.counts.total();
        (total, total.saturating_sub(window.counts.answered))
    })
}

/// Late answers and abandoned requests burn the budget.
fn latency(rules: &Service, windows: &Windows) -> Burn {
    let limit = rules.objectives.latency;
    let objective = Objective {
        ppm: rules.objectives.latency_ppm,
        within: Some(limit),
    };
    Burn::of(objective, windows, |window| {
        let (answered, abandoned) = (window.counts.answered, window.counts.abandoned);
        let late = window.latencies.above(limit);
        (
            answered.saturating_add(abandoned),
            late.saturating_add(abandoned),
        )
    })
}

impl Burn {
    fn of(
        objective: Objective,
        windows: &Windows,
        count: impl Fn(&WindowCounts) -> (u64, u64),
    ) -> Self {
        let allowed = f64::from(WHOLE_PPM.saturating_sub(objective.ppm)) / f64::from(WHOLE_PPM);
        let burn = |window: Window| {
            let (total, burnt) = windows.get(&window).map_or((0, 0), &count);
            let rate = rate(total, burnt, allowed);
            (window, WindowBurn { total, burnt, rate })
        };
        let windows: BTreeMap<_, _> = Window::ALL.into_iter().map(burn).collect();
        let rate = |window| {
            windows
                .get(&window)
                .map_or(0.0, |burn: &WindowBurn| burn.rate)
        };
        let fast = rate(Window::OneHour).min(rate(Window::FiveMinutes));
        let slow = rate(Window::SixHours).min(rate(Window::ThirtyMinutes));
        let alarm = if fast >= FAST_ALARM {
            Alarm::Fast
        } else if slow >= SLOW_ALARM {
            Alarm::Slow
        } else {
            Alarm::Quiet
        };
        Self {
            objective,
            alarm,
            budget_left: 1.0 - rate(Window::SixHours),
            windows,
        }
    }
}

fn rate(total: u64, burnt: u64, allowed: f64) -> f64 {
    if total == 0 || allowed <= 0.0 {
        return 0.0;
    }
    (burnt as f64 / total as f64) / allowed
}
