//! Tests that the JSON of a recorder's snapshot, which instances send to each other, stays the same.
//!
//! An instance of an earlier build would misread a snapshot whose encoding has changed. The values
//! within one type all differ, so that the test also notices swapped field names.

#![allow(clippy::unwrap_used)]

use std::{collections::BTreeMap, num::NonZeroU32};

use guavacart_report::{Counts, Latencies, Series, Snapshot, Window, WindowCounts, WindowScale};
use guavacart_types::{Reason, Span};

fn window_counts(first: u64) -> WindowCounts {
    WindowCounts {
        counts: Counts {
            answered: first,
            abandoned: first + 1,
            not_run: BTreeMap::new(),
            may_have_run: BTreeMap::new(),
        },
        latencies: Latencies::default(),
    }
}

/// Returns a window with every reason among the requests not run and among those that may have run,
/// each with a different count.
fn full_window_counts() -> WindowCounts {
    let reasons = [
        Reason::Overloaded,
        Reason::QueueFull,
        Reason::DeadlinePassed,
        Reason::NoEndpoint,
        Reason::Unknown,
        Reason::EndpointFailed,
        Reason::PeerLost,
        Reason::Repeated,
        Reason::Stopping,
        Reason::CallerGone,
    ];
    WindowCounts {
        counts: Counts {
            answered: 11,
            abandoned: 12,
            not_run: reasons.into_iter().zip(21..).collect(),
            may_have_run: reasons.into_iter().zip(41..).collect(),
        },
        latencies: Latencies::try_from(vec![(7, 13), (90, 14)]).unwrap(),
    }
}

fn snapshot() -> Snapshot {
    Snapshot {
        recording: Span(61),
        scale: WindowScale::shorter_by(NonZeroU32::new(62).unwrap()),
        series: vec![
            Series {
                service: "engine".parse().unwrap(),
                team: "red".parse().unwrap(),
                windows: BTreeMap::from([
                    (Window::FiveMinutes, full_window_counts()),
                    (Window::OneHour, window_counts(71)),
                    (Window::ThirtyMinutes, window_counts(73)),
                    (Window::SixHours, window_counts(75)),
                ]),
            },
            Series {
                service: "plain".parse().unwrap(),
                team: "blue".parse().unwrap(),
                windows: BTreeMap::new(),
            },
        ],
        unattributed: 63,
    }
}

const SNAPSHOT: &str = r#"
{"recording":61,"scale":62,"series":[{"service":"engine","team":"red",
"windows":{"5m":{"counts":{"answered":11,"abandoned":12,"not_run":{"overloaded":21,
"queue_full":22,"deadline_passed":23,"no_endpoint":24,"unknown":25,"endpoint_failed":26,
"peer_lost":27,"repeated":28,"stopping":29,"caller_gone":30},"may_have_run":{"overloaded":41,
"queue_full":42,"deadline_passed":43,"no_endpoint":44,"unknown":45,"endpoint_failed":46,
"peer_lost":47,"repeated":48,"stopping":49,"caller_gone":50}},"latencies":[[7,13],[90,14]]},
"1h":{"counts":{"answered":71,"abandoned":72,"not_run":{},"may_have_run":{}},"latencies":[]},
"30m":{"counts":{"answered":73,"abandoned":74,"not_run":{},"may_have_run":{}},"latencies":[]},
"6h":{"counts":{"answered":75,"abandoned":76,"not_run":{},"may_have_run":{}},"latencies":[]}}},
{"service":"plain","team":"blue","windows":{}}],"unattributed":63}
"#;

#[test]
fn snapshot_json_is_unchanged() {
    // The line breaks in the constant only keep its lines short.
    let fixed: String = SNAPSHOT.lines().collect();
    assert_eq!(serde_json::to_string(&snapshot()).unwrap(), fixed);
    assert_eq!(
        serde_json::from_str::<Snapshot>(&fixed).unwrap(),
        snapshot()
    );
}
