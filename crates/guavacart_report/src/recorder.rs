//! Records the outcomes of requests in short time buckets, in bounded memory.

use std::collections::{BTreeMap, VecDeque};

use guavacart_types::{Outcome, ServiceName, Span, TeamName, Timestamp};

use crate::{
    snapshot::{Series, Snapshot, WindowCounts},
    window::{Window, WindowScale},
};

/// Most pairs of service and team; requests beyond them are only counted.
const MAX_SERIES: usize = 64;
/// Width of a bucket of the fast pair of windows.
const FAST_BUCKET: Span = Span::secs(60);
/// Width of a bucket of the slow pair of windows.
const SLOW_BUCKET: Span = Span::secs(600);

/// Records outcomes since its start.
#[derive(Clone, Debug)]
pub struct Recorder {
    start: Timestamp,
    scale: WindowScale,
    series: BTreeMap<(ServiceName, TeamName), Rings>,
    unattributed: u64,
}

/// The buckets of one series.
#[derive(Clone, Debug)]
struct Rings {
    fast: Ring,
    slow: Ring,
}

/// Buckets of one width, oldest first; those without requests are absent.
#[derive(Clone, Debug)]
struct Ring {
    width: Span,
    keep: Span,
    buckets: VecDeque<Bucket>,
}

#[derive(Clone, Debug)]
struct Bucket {
    start: Timestamp,
    contents: WindowCounts,
}

impl Recorder {
    /// Starts with empty windows.
    pub fn start(now: Timestamp) -> Self {
        Self::scaled(now, WindowScale::ONE)
    }

    /// Starts with empty windows that are shorter than their names.
    pub fn scaled(now: Timestamp, scale: WindowScale) -> Self {
        Self {
            start: now,
            scale,
            series: BTreeMap::new(),
            unattributed: 0,
        }
    }

    /// Records the end of one request; `abandoned` if its caller had gone by then.
    pub fn record(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        team: &TeamName,
        outcome: Outcome,
        latency: Span,
        abandoned: bool,
    ) {
        let key = (service.clone(), team.clone());
        if !self.series.contains_key(&key) && self.series.len() >= MAX_SERIES {
            self.unattributed = self.unattributed.saturating_add(1);
            return;
        }
        let scale = self.scale;
        let rings = self.series.entry(key).or_insert_with(|| Rings::new(scale));
        for ring in [&mut rings.fast, &mut rings.slow] {
            ring.record(now, outcome, latency, abandoned);
        }
    }

    /// What the windows that end now hold.
    pub fn snapshot(&self, now: Timestamp) -> Snapshot {
        let series = self.series.iter().map(|((service, team), rings)| Series {
            service: service.clone(),
            team: team.clone(),
            windows: rings.windows(now, self.scale),
        });
        Snapshot {
            recording: now.since(self.start),
            scale: self.scale,
            series: series.collect(),
            unattributed: self.unattributed,
        }
    }
}

impl Rings {
    fn new(scale: WindowScale) -> Self {
        let ring = |width, window: Window| Ring {
            width: scale.apply(width),
            keep: scale.apply(window.length()),
            buckets: VecDeque::new(),
        };
        Self {
            fast: ring(FAST_BUCKET, Window::OneHour),
            slow: ring(SLOW_BUCKET, Window::SixHours),
        }
    }

    fn windows(&self, now: Timestamp, scale: WindowScale) -> BTreeMap<Window, WindowCounts> {
        let window = |window: Window| {
            let ring = match window {
                Window::FiveMinutes | Window::OneHour => &self.fast,
                Window::ThirtyMinutes | Window::SixHours => &self.slow,
            };
            (window, ring.within(now, scale.apply(window.length())))
        };
        Window::ALL.into_iter().map(window).collect()
    }
}

impl Ring {
    fn record(&mut self, now: Timestamp, outcome: Outcome, latency: Span, abandoned: bool) {
        self.forget(now);
        let start = Timestamp(now.0 - now.0 % self.width.0);
        let newest = self.buckets.back().map(|bucket| bucket.start);
        if newest.is_none_or(|newest| newest < start) {
            let contents = WindowCounts::default();
            self.buckets.push_back(Bucket { start, contents });
        }
        let Some(bucket) = self.buckets.back_mut() else {
            return;
        };
        let contents = &mut bucket.contents;
        contents.counts.record(outcome, abandoned);
        if outcome == Outcome::Answered && !abandoned {
            contents.latencies.record(latency);
        }
    }

    fn forget(&mut self, now: Timestamp) {
        while let Some(oldest) = self.buckets.front()
            && self.ended_before(oldest, now, self.keep)
        {
            self.buckets.pop_front();
        }
    }

    /// The buckets that lie within `length` before `now`, the oldest of them perhaps in part.
    fn within(&self, now: Timestamp, length: Span) -> WindowCounts {
        let mut sum = WindowCounts::default();
        for bucket in &self.buckets {
            if !self.ended_before(bucket, now, length) {
                sum.merge(&bucket.contents);
            }
        }
        sum
    }

    fn ended_before(&self, bucket: &Bucket, now: Timestamp, length: Span) -> bool {
        let end = bucket.start + self.width;
        now.since(end) >= length && end <= now
    }
}
