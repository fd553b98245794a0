//! Burn rates of the whole deployment, computed from the snapshots of its instances.

use std::collections::BTreeMap;

use guavacart_config::{Configuration, Service};
use guavacart_types::{ConfigNumber, InstanceId, ServiceName, Span, TeamName};
use serde::{Deserialize, Serialize};

use crate::{
    snapshot::{Snapshot, WindowCounts},
    window::{Window, WindowScale},
};

/// A share of 1 in parts per million.
const PPM_PER_ONE: u32 = 1_000_000;
/// The fast alarm is raised when both windows of the fast pair reach this burn rate.
const FAST_ALARM_RATE: f64 = 14.4;
/// The slow alarm is raised when both windows of the slow pair reach this burn rate.
const SLOW_ALARM_RATE: f64 = 6.0;

/// Burn rates of the whole deployment.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Report {
    /// The configuration from which the objectives are taken.
    pub config: ConfigNumber,
    /// How many times shorter than their names the windows are.
    pub scale: WindowScale,
    /// The instances whose snapshots are included.
    pub instances: Vec<ReportedInstance>,
    /// The instances that were asked and gave no readable answer. Their requests are not in the
    /// rows.
    pub missing: Vec<InstanceId>,
    /// For each service, one row of all teams together, then one row for each team.
    pub rows: Vec<Row>,
    /// Requests that are in no row: those of services that the configuration does not contain, and
    /// those of pairs of service and team beyond the maximum of a recorder.
    pub unattributed: u64,
}

/// An instance whose snapshot is included.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ReportedInstance {
    /// Id of the instance.
    pub id: InstanceId,
    /// How long its recorder has been running. The recordings of stopped instances are lost.
    pub recording_ms: Span,
}

/// Counts and burn rates of one service, for one team or for all teams together.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Row {
    /// The service that was called.
    pub service: ServiceName,
    /// The team that called it; none for all teams together.
    pub team: Option<TeamName>,
    /// Counts and latencies of the six-hour window.
    pub counts: WindowCounts,
    /// Burn of the availability objective: requests answered completely while the caller waited.
    pub availability: Burn,
    /// Burn of the latency objective: answers within its latency limit.
    pub latency: Burn,
}

/// An objective and how much of its error budget is used up.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Burn {
    /// The share of good requests that is promised.
    pub objective: Objective,
    /// Burn rate of each window.
    pub windows: BTreeMap<Window, WindowBurn>,
    /// The alarm that the burn rates raise.
    pub alarm: Alarm,
    /// Share of the six-hour error budget that is left; below zero when more than the budget is
    /// used up.
    pub budget_left: f64,
}

/// A service-level objective.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Objective {
    /// Share of requests that have to be good, in parts per million.
    pub ppm: u32,
    /// For a latency objective, the time within which a request has to be answered to be good.
    pub within: Option<Span>,
}

/// How much of the error budget was used up in one window.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct WindowBurn {
    /// Requests to which the objective applies.
    pub total: u64,
    /// The bad ones among these requests, which use up the budget.
    pub burnt: u64,
    /// Burn rate: the share of bad requests as a multiple of the share that the objective allows.
    pub rate: f64,
}

/// An alarm about the burn rate of an objective.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Alarm {
    /// No alarm.
    Quiet,
    /// The burn rates of six hours and of thirty minutes are both at least 6.
    Slow,
    /// The burn rates of one hour and of five minutes are both at least 14.4.
    Fast,
}

impl Report {
    /// Computes the report from the snapshots of the instances that answered. `missing` lists the
    /// instances that did not.
    pub fn from_snapshots(
        configuration: &Configuration,
        snapshots: &[(InstanceId, Snapshot)],
        missing: Vec<InstanceId>,
    ) -> Self {
        let mut unattributed: u64 = 0;
        let mut series = BTreeMap::new();
        for (_, snapshot) in snapshots {
            let unknown = merge_series(&mut series, configuration, snapshot);
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

/// Adds a snapshot's series to those of all instances. Returns the number of requests to services
/// that the configuration does not contain.
fn merge_series<'a>(
    series: &mut BTreeMap<SeriesKey<'a>, Windows>,
    configuration: &Configuration,
    snapshot: &'a Snapshot,
) -> u64 {
    let mut unknown: u64 = 0;
    for recorded in &snapshot.series {
        if !configuration.services.contains_key(&recorded.service) {
            let longest = recorded.windows.get(&Window::SixHours);
            let total = longest.map_or(0, |window| window.counts.total());
            unknown = unknown.saturating_add(total);
            continue;
        }
        for team in [None, Some(&recorded.team)] {
            let windows = series.entry((&recorded.service, team)).or_default();
            for (window, counts) in &recorded.windows {
                windows.entry(*window).or_default().merge(counts);
            }
        }
    }
    unknown
}

fn rows(configuration: &Configuration, series: &BTreeMap<SeriesKey<'_>, Windows>) -> Vec<Row> {
    let row = |(key, windows): (&SeriesKey<'_>, &Windows)| {
        let (service, team) = *key;
        let service_config = configuration.services.get(service)?;
        Some(Row {
            service: service.clone(),
            team: team.cloned(),
            counts: windows.get(&Window::SixHours).cloned().unwrap_or_default(),
            availability: availability(service_config, windows),
            latency: latency(service_config, windows),
        })
    };
    series.iter().filter_map(row).collect()
}

/// Computes the burn of the availability objective. Abandoned, refused and failed requests are bad.
fn availability(service_config: &Service, windows: &Windows) -> Burn {
    let objective = Objective {
        ppm: service_config.objectives.availability_ppm,
        within: None,
    };
    Burn::from_windows(objective, windows, |window| {
        let total = window.counts.total();
        (total, total.saturating_sub(window.counts.answered))
    })
}

/// Computes the burn of the latency objective. Late answers and abandoned requests are bad.
fn latency(service_config: &Service, windows: &Windows) -> Burn {
    let limit = service_config.objectives.latency;
    let objective = Objective {
        ppm: service_config.objectives.latency_ppm,
        within: Some(limit),
    };
    Burn::from_windows(objective, windows, |window| {
        let (answered, abandoned) = (window.counts.answered, window.counts.abandoned);
        let late = window.latencies.above(limit);
        (
            answered.saturating_add(abandoned),
            late.saturating_add(abandoned),
        )
    })
}

impl Burn {
    /// Computes the burn. `count` returns the total and the bad requests of a window.
    fn from_windows(
        objective: Objective,
        windows: &Windows,
        count: impl Fn(&WindowCounts) -> (u64, u64),
    ) -> Self {
        let allowed = f64::from(PPM_PER_ONE.saturating_sub(objective.ppm)) / f64::from(PPM_PER_ONE);
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
        let alarm = if fast >= FAST_ALARM_RATE {
            Alarm::Fast
        } else if slow >= SLOW_ALARM_RATE {
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

/// Returns the burn rate; zero without requests, and for an objective that allows no bad request.
fn rate(total: u64, burnt: u64, allowed: f64) -> f64 {
    if total == 0 || allowed <= 0.0 {
        return 0.0;
    }
    (burnt as f64 / total as f64) / allowed
}
