//! Tests which requests use up the error budget, in which windows, and how a report shows it.

#![allow(clippy::unwrap_used)]

use std::num::NonZeroU32;

use guavacart_config::{Configuration, Patch};
use guavacart_report::{
    Alarm, Recorder, Report, Snapshot, Window, WindowScale, draw_svg, format_table, from_json,
    to_json,
};
use guavacart_types::{ConfigNumber, InstanceId, Outcome, Reason, Span, Timestamp};
use serde_json::json;

const MINUTE: Span = Span::secs(60);
const FAST_LATENCY: Span = Span::millis(10);
const LATE_LATENCY: Span = Span::millis(900);

fn configuration() -> Configuration {
    let patch = Patch {
        id: "p".parse().unwrap(),
        base: ConfigNumber(0),
        change: json!({"services": {"engine": {"objectives":
            {"availability_ppm": 990_000, "latency": 500, "latency_ppm": 900_000}}}}),
    };
    patch.apply(&Configuration::default()).unwrap()
}

/// A recorder and the current time of the test.
struct Fixture {
    now: Timestamp,
    recorder: Recorder,
}

impl Fixture {
    fn start(scale: WindowScale) -> Self {
        let now = Timestamp(1_000);
        let recorder = Recorder::with_scale(now, scale);
        Self { now, recorder }
    }

    fn record(&mut self, team: &str, times: u32, outcome: Outcome, latency: Span, abandoned: bool) {
        let (service, team) = ("engine".parse().unwrap(), team.parse().unwrap());
        for _ in 0..times {
            self.recorder
                .record(self.now, &service, &team, outcome, latency, abandoned);
        }
    }

    fn good(&mut self, times: u32) {
        self.record("a", times, Outcome::Answered, FAST_LATENCY, false);
    }

    fn bad(&mut self, times: u32) {
        self.record(
            "a",
            times,
            Outcome::NotRun(Reason::Overloaded),
            FAST_LATENCY,
            false,
        );
    }

    fn report(&self) -> Report {
        report(&[self.recorder.snapshot(self.now)])
    }
}

fn report(snapshots: &[Snapshot]) -> Report {
    let numbered = snapshots.iter().enumerate();
    let by_instance: Vec<(InstanceId, Snapshot)> = numbered
        .map(|(n, snapshot)| (format!("e{n}").parse().unwrap(), snapshot.clone()))
        .collect();
    Report::from_snapshots(&configuration(), &by_instance, vec!["e9".parse().unwrap()])
}

/// Returns the burnt requests of availability and latency in a window, for all teams together.
fn burnt(report: &Report, window: Window) -> (u64, u64) {
    let row = &report.rows[0];
    (
        row.availability.windows[&window].burnt,
        row.latency.windows[&window].burnt,
    )
}

macro_rules! burn_tests {
    ($($name:ident: $outcome:expr, $latency:expr, $abandoned:expr => $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut fixture = Fixture::start(WindowScale::ONE);
            fixture.record("a", 3, $outcome, $latency, $abandoned);
            assert_eq!(burnt(&fixture.report(), Window::FiveMinutes), $expected);
        }
    )*};
}

burn_tests! {
    a_fast_answer_burns_nothing: Outcome::Answered, FAST_LATENCY, false => (0, 0);
    a_late_answer_burns_latency: Outcome::Answered, LATE_LATENCY, false => (0, 3);
    an_abandoned_answer_burns_both: Outcome::Answered, FAST_LATENCY, true => (3, 3);
    an_abandoned_request_burns_both: Outcome::NotRun(Reason::CallerGone), FAST_LATENCY, false => (3, 3);
    a_refusal_burns_availability: Outcome::NotRun(Reason::QueueFull), FAST_LATENCY, false => (3, 0);
    a_passed_deadline_burns_availability: Outcome::MayHaveRun(Reason::DeadlinePassed), LATE_LATENCY, false => (3, 0);
    a_failure_burns_availability: Outcome::MayHaveRun(Reason::EndpointFailed), FAST_LATENCY, false => (3, 0);
}

#[test]
fn each_window_drops_requests_older_than_its_length() {
    let mut fixture = Fixture::start(WindowScale::ONE);
    fixture.bad(1);
    let burnt_by_window =
        |fixture: &Fixture| Window::ALL.map(|window| burnt(&fixture.report(), window).0);
    assert_eq!(burnt_by_window(&fixture), [1, 1, 1, 1]);
    fixture.now = fixture.now + MINUTE * 7;
    assert_eq!(burnt_by_window(&fixture), [0, 1, 1, 1]);
    fixture.now = fixture.now + MINUTE * 40;
    assert_eq!(burnt_by_window(&fixture), [0, 1, 0, 1]);
    fixture.now = fixture.now + MINUTE * 20;
    assert_eq!(burnt_by_window(&fixture), [0, 0, 0, 1]);
    fixture.now = fixture.now + MINUTE * 320;
    assert_eq!(burnt_by_window(&fixture), [0, 0, 0, 0]);
}

#[test]
fn scaled_windows_drop_requests_sooner() {
    let scale = WindowScale::shorter_by(NonZeroU32::new(360).unwrap());
    let mut fixture = Fixture::start(scale);
    fixture.bad(1);
    fixture.now = fixture.now + Span::secs(2);
    assert_eq!(burnt(&fixture.report(), Window::FiveMinutes).0, 0);
    assert_eq!(burnt(&fixture.report(), Window::OneHour).0, 1);
}

#[test]
fn an_alarm_needs_both_windows_of_its_pair() {
    let mut fixture = Fixture::start(WindowScale::ONE);
    fixture.good(80);
    fixture.bad(20);
    let alarm = |fixture: &Fixture| fixture.report().rows[0].availability.alarm;
    assert_eq!(alarm(&fixture), Alarm::Fast);
    fixture.now = fixture.now + MINUTE * 10;
    fixture.good(10);
    assert_eq!(alarm(&fixture), Alarm::Slow);
    fixture.now = fixture.now + MINUTE * 45;
    fixture.good(10);
    assert_eq!(alarm(&fixture), Alarm::Quiet);
}

#[test]
fn a_report_adds_up_the_snapshots_of_instances() {
    let mut one = Fixture::start(WindowScale::ONE);
    one.good(99);
    one.bad(1);
    let snapshot = one.recorder.snapshot(one.now);
    let encoded = serde_json::to_vec(&snapshot).unwrap();
    let decoded: Snapshot = serde_json::from_slice(&encoded).unwrap();
    assert_eq!(decoded, snapshot);
    let report = report(&[snapshot, decoded]);
    let burn = report.rows[0].availability.windows[&Window::SixHours];
    assert_eq!((burn.total, burn.burnt, burn.rate), (200, 2, 1.0));
    assert!(report.rows[0].availability.budget_left.abs() < 1e-9);
    assert_eq!(from_json(&to_json(&report)).unwrap(), report);
}

#[test]
fn the_number_of_series_is_bounded() {
    let mut fixture = Fixture::start(WindowScale::ONE);
    for team in 0..100 {
        fixture.record(
            &format!("t{team}"),
            1,
            Outcome::Answered,
            FAST_LATENCY,
            false,
        );
    }
    let snapshot = fixture.recorder.snapshot(fixture.now);
    assert_eq!((snapshot.series.len(), snapshot.unattributed), (64, 36));
}

#[test]
fn the_report_lists_instances_without_an_answer() {
    let mut fixture = Fixture::start(WindowScale::ONE);
    fixture.good(90);
    fixture.record("b", 10, Outcome::Answered, LATE_LATENCY, false);
    fixture.record("b", 2, Outcome::Answered, FAST_LATENCY, true);
    fixture.bad(3);
    fixture.now = fixture.now + MINUTE;
    let report = fixture.report();
    insta::assert_snapshot!("table", format_table(&report));
    let svg = draw_svg(&report).unwrap();
    assert!(svg.contains("engine (all) availability"));
    assert!(svg.trim_end().ends_with("</svg>"));
    let rects: Vec<&str> = svg.lines().filter(|l| l.starts_with("<rect")).collect();
    let frame = rects.iter().find(|rect| rect.contains(r#"fill="none""#));
    let legend_left = numeric_attribute(frame.unwrap(), "x");
    let bars = rects
        .iter()
        .skip(1)
        .filter(|rect| numeric_attribute(rect, "x") < legend_left);
    let bar_ends: Vec<f64> = bars
        .map(|r| numeric_attribute(r, "x") + numeric_attribute(r, "width"))
        .collect();
    assert!(bar_ends.len() >= Window::ALL.len());
    assert!(
        bar_ends.iter().all(|bar_end| *bar_end < legend_left),
        "the legend hides a bar"
    );
}

/// Returns the value of a numeric attribute of an SVG element.
fn numeric_attribute(element: &str, name: &str) -> f64 {
    let begin = format!(" {name}=\"");
    let value = element.split(&begin).nth(1).unwrap();
    value.split('"').next().unwrap().parse().unwrap()
}

proptest::proptest! {
    #![proptest_config(proptest::test_runner::Config {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..proptest::test_runner::Config::default()
    })]

    #[test]
    fn decoded_snapshots_with_any_latencies_can_be_reported(pairs in proptest::collection::vec((0u64..u64::MAX, 0u64..u64::MAX), 0..8)) {
        let text = json!({"recording": 1, "scale": 1, "unattributed": 0, "series": [
            {"service": "engine", "team": "a", "windows": {"6h": {"counts":
                {"answered": 1, "abandoned": 0, "not_run": {"overloaded": 1}, "may_have_run": {}},
                "latencies": pairs}}}]}).to_string();
        if let Ok(snapshot) = serde_json::from_str::<Snapshot>(&text) {
            let _ = format_table(&report(&[snapshot.clone(), snapshot]));
        }
    }

    #[test]
    fn arbitrary_bytes_are_not_decoded_as_a_report(bytes in proptest::collection::vec(proptest::prelude::any::<u8>(), 0..200)) {
        proptest::prop_assert!(from_json(&bytes).is_err());
    }
}
