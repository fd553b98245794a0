//! What burns the budget, over which window, and how it is shown.

#![allow(clippy::unwrap_used)]

use std::num::NonZeroU32;

use guavacart_config::{Configuration, Patch};
use guavacart_report::{
    Alarm, Recorder, Report, Snapshot, Window, WindowScale, draw, read, table, write,
};
use guavacart_types::{ConfigNumber, InstanceId, Outcome, Reason, Span, Timestamp};
use serde_json::json;

const MINUTE: Span = Span::secs(60);
const QUICK: Span = Span::millis(10);
const LATE: Span = Span::millis(900);

fn configuration() -> Configuration {
    let patch = Patch {
        id: "p".parse().unwrap(),
        base: ConfigNumber(0),
        change: json!({"services": {"engine": {"objectives":
            {"availability_ppm": 990_000, "latency": 500, "latency_ppm": 900_000}}}}),
    };
    patch.apply(&Configuration::default()).unwrap()
}

struct Bench {
    now: Timestamp,
    recorder: Recorder,
}

impl Bench {
    fn start(scale: WindowScale) -> Self {
        let now = Timestamp(1_000);
        let recorder = Recorder::scaled(now, scale);
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
        self.record("a", times, Outcome::Answered, QUICK, false);
    }

    fn bad(&mut self, times: u32) {
        self.record(
            "a",
            times,
            Outcome::NotRun(Reason::Overloaded),
            QUICK,
            false,
        );
    }

    fn report(&self) -> Report {
        report(&[self.recorder.snapshot(self.now)])
    }
}

fn report(snapshots: &[Snapshot]) -> Report {
    let named = snapshots.iter().enumerate();
    let named: Vec<(InstanceId, Snapshot)> = named
        .map(|(n, snapshot)| (format!("e{n}").parse().unwrap(), snapshot.clone()))
        .collect();
    Report::of(&configuration(), &named, vec!["e9".parse().unwrap()])
}

/// Burnt requests of availability and latency in a window, all teams together.
fn burnt(report: &Report, window: Window) -> (u64, u64) {
    let row = &report.rows[0];
    (
        row.availability.windows[&window].burnt,
        row.latency.windows[&window].burnt,
    )
}

macro_rules! burns {
    ($($name:ident: $outcome:expr, $latency:expr, $abandoned:expr => $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut bench = Bench::start(WindowScale::ONE);
            bench.record("a", 3, $outcome, $latency, $abandoned);
            assert_eq!(burnt(&bench.report(), Window::FiveMinutes), $expected);
        }
    )*};
}

burns! {
    a_quick_answer_burns_nothing: Outcome::Answered, QUICK, false => (0, 0);
    a_late_answer_burns_latency: Outcome::Answered, LATE, false => (0, 3);
    an_abandoned_answer_burns_both: Outcome::Answered, QUICK, true => (3, 3);
    an_abandoned_request_burns_both: Outcome::NotRun(Reason::CallerGone), QUICK, false => (3, 3);
    a_refusal_burns_availability: Outcome::NotRun(Reason::QueueFull), QUICK, false => (3, 0);
    a_passed_deadline_burns_availability: Outcome::MayHaveRun(Reason::DeadlinePassed), LATE, false => (3, 0);
    a_failure_burns_availability: Outcome::MayHaveRun(Reason::EndpointFailed), QUICK, false => (3, 0);
}

#[test]
fn each_window_forgets_after_its_length() {
    let mut bench = Bench::start(WindowScale::ONE);
    bench.bad(1);
    let seen = |bench: &Bench| Window::ALL.map(|window| burnt(&bench.report(), window).0);
    assert_eq!(seen(&bench), [1, 1, 1, 1]);
    bench.now = bench.now + MINUTE * 7;
    assert_eq!(seen(&bench), [0, 1, 1, 1]);
    bench.now = bench.now + MINUTE * 40;
    assert_eq!(seen(&bench), [0, 1, 0, 1]);
    bench.now = bench.now + MINUTE * 20;
    assert_eq!(seen(&bench), [0, 0, 0, 1]);
    bench.now = bench.now + MINUTE * 320;
    assert_eq!(seen(&bench), [0, 0, 0, 0]);
}

#[test]
fn scaled_windows_forget_sooner() {
    let scale = WindowScale::shorter_by(NonZeroU32::new(360).unwrap());
    let mut bench = Bench::start(scale);
    bench.bad(1);
    bench.now = bench.now + Span::secs(2);
    assert_eq!(burnt(&bench.report(), Window::FiveMinutes).0, 0);
    assert_eq!(burnt(&bench.report(), Window::OneHour).0, 1);
}

#[test]
fn both_windows_of_a_pair_raise_its_alarm() {
    let mut bench = Bench::start(WindowScale::ONE);
    bench.good(80);
    bench.bad(20);
    let alarm = |bench: &Bench| bench.report().rows[0].availability.alarm;
    assert_eq!(alarm(&bench), Alarm::Fast);
    bench.now = bench.now + MINUTE * 10;
    bench.good(10);
    assert_eq!(alarm(&bench), Alarm::Slow);
    bench.now = bench.now + MINUTE * 45;
    bench.good(10);
    assert_eq!(alarm(&bench), Alarm::Quiet);
}

#[test]
fn snapshots_of_instances_add_up() {
    let mut one = Bench::start(WindowScale::ONE);
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
    assert_eq!(read(&write(&report)).unwrap(), report);
}

#[test]
fn memory_is_bounded_by_series() {
    let mut bench = Bench::start(WindowScale::ONE);
    for team in 0..100 {
        bench.record(&format!("t{team}"), 1, Outcome::Answered, QUICK, false);
    }
    let snapshot = bench.recorder.snapshot(bench.now);
    assert_eq!((snapshot.series.len(), snapshot.unattributed), (64, 36));
}

#[test]
fn the_report_says_who_did_not_answer() {
    let mut bench = Bench::start(WindowScale::ONE);
    bench.good(90);
    bench.record("b", 10, Outcome::Answered, LATE, false);
    bench.record("b", 2, Outcome::Answered, QUICK, true);
    bench.bad(3);
    bench.now = bench.now + MINUTE;
    let report = bench.report();
    insta::assert_snapshot!("table", table(&report));
    let svg = draw(&report).unwrap();
    assert!(svg.contains("engine (all) availability"));
    assert!(svg.trim_end().ends_with("</svg>"));
    let rects: Vec<&str> = svg.lines().filter(|l| l.starts_with("<rect")).collect();
    let frame = rects.iter().find(|rect| rect.contains(r#"fill="none""#));
    let legend = number(frame.unwrap(), "x");
    let bars = rects
        .iter()
        .skip(1)
        .filter(|rect| number(rect, "x") < legend);
    let ends: Vec<f64> = bars.map(|r| number(r, "x") + number(r, "width")).collect();
    assert!(ends.len() >= Window::ALL.len());
    assert!(
        ends.iter().all(|end| *end < legend),
        "the legend hides a bar"
    );
}

/// A number among the attributes of an SVG element.
fn number(element: &str, name: &str) -> f64 {
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
    fn snapshots_of_any_latencies(pairs in proptest::collection::vec((0u64..u64::MAX, 0u64..u64::MAX), 0..8)) {
        let text = json!({"recording": 1, "scale": 1, "unattributed": 0, "series": [
            {"service": "engine", "team": "a", "windows": {"6h": {"counts":
                {"answered": 1, "abandoned": 0, "not_run": {"overloaded": 1}, "may_have_run": {}},
                "latencies": pairs}}}]}).to_string();
        if let Ok(snapshot) = serde_json::from_str::<Snapshot>(&text) {
            let _ = table(&report(&[snapshot.clone(), snapshot]));
        }
    }

    #[test]
    fn reports_of_any_bytes(bytes in proptest::collection::vec(proptest::prelude::any::<u8>(), 0..200)) {
        proptest::prop_assert!(read(&bytes).is_err());
    }
}
