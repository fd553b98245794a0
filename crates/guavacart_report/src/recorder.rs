//! Records request outcomes in time buckets. Memory is bounded, as the number of series and the
//! age of buckets are limited.

use std::collections::{BTreeMap, VecDeque};

use guavacart_types::{Outcome, ServiceName, Span, TeamName, Timestamp};

use crate::{
    snapshot::{Series, Snapshot, WindowCounts},
    window::{Window, WindowScale},
};

/// Maximum number of pairs of service and team. Requests of further pairs are only counted as
/// unattributed.
const MAX_SERIES: usize = 64;
/// Bucket width for the fast pair of windows, five minutes and one hour.
const FAST_BUCKET: Span = Span::secs(60);
/// Bucket width for the slow pair of windows, thirty minutes and six hours.
const SLOW_BUCKET: Span = Span::secs(600);

/// Records the request outcomes of one instance.
#[derive(Clone, Debug)]
pub struct Recorder {
    start: Timestamp,
    scale: WindowScale,
    series: BTreeMap<(ServiceName, TeamName), SeriesBuckets>,
    unattributed: u64,
}

/// The buckets of one series, that is of one pair of service and team.
#[derive(Clone, Debug)]
struct SeriesBuckets {
    fast: BucketQueue,
    slow: BucketQueue,
}

/// Buckets of one width, oldest first. A bucket without requests is absent.
#[derive(Clone, Debug)]
struct BucketQueue {
    width: Span,
    retention: Span,
    buckets: VecDeque<Bucket>,
}

#[derive(Clone, Debug)]
struct Bucket {
    start: Timestamp,
    contents: WindowCounts,
}

impl Recorder {
    /// Creates a recorder with empty windows.
    pub fn new(now: Timestamp) -> Self {
        Self::with_scale(now, WindowScale::ONE)
    }

    /// Creates a recorder with empty windows that are shorter than their names by `scale`.
    pub fn with_scale(now: Timestamp, scale: WindowScale) -> Self {
        Self {
            start: now,
            scale,
            series: BTreeMap::new(),
            unattributed: 0,
        }
    }

    /// Records the end of one request. `abandoned` is true if the caller had gone before that end.
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
        let buckets = self
            .series
            .entry(key)
            .or_insert_with(|| SeriesBuckets::new(scale));
        for queue in [&mut buckets.fast, &mut buckets.slow] {
            queue.record(now, outcome, latency, abandoned);
        }
    }

    /// Returns what the windows that end at `now` contain.
    pub fn snapshot(&self, now: Timestamp) -> Snapshot {
        let series = self.series.iter().map(|((service, team), buckets)| Series {
            service: service.clone(),
            team: team.clone(),
            windows: buckets.windows(now, self.scale),
        });
        Snapshot {
            recording: now.since(self.start),
            scale: self.scale,
            series: series.collect(),
            unattributed: self.unattributed,
        }
    }
}

impl SeriesBuckets {
    fn new(scale: WindowScale) -> Self {
        let queue = |width, window: Window| BucketQueue {
            width: scale.apply(width),
            retention: scale.apply(window.length()),
            buckets: VecDeque::new(),
        };
        Self {
            fast: queue(FAST_BUCKET, Window::OneHour),
            slow: queue(SLOW_BUCKET, Window::SixHours),
        }
    }

    fn windows(&self, now: Timestamp, scale: WindowScale) -> BTreeMap<Window, WindowCounts> {
        let window = |window: Window| {
            let queue = match window {
                Window::FiveMinutes | Window::OneHour => &self.fast,
                Window::ThirtyMinutes | Window::SixHours => &self.slow,
            };
            (window, queue.sum_over(now, scale.apply(window.length())))
        };
        Window::ALL.into_iter().map(window).collect()
    }
}

impl BucketQueue {
    fn record(&mut self, now: Timestamp, outcome: Outcome, latency: Span, abandoned: bool) {
        self.drop_expired(now);
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

    fn drop_expired(&mut self, now: Timestamp) {
        while let Some(oldest) = self.buckets.front()
            && self.ended_before(oldest, now, self.retention)
        {
            self.buckets.pop_front();
        }
    }

    /// Returns the sum of the buckets in the window of `length` that ends at `now`. The oldest
    /// bucket counts in full even if the window covers only part of it.
    fn sum_over(&self, now: Timestamp, length: Span) -> WindowCounts {
        let mut sum = WindowCounts::default();
        for bucket in &self.buckets {
            if !self.ended_before(bucket, now, length) {
                sum.merge(&bucket.contents);
            }
        }
        sum
    }

    /// Returns whether the bucket ended at least `length` before `now`.
    fn ended_before(&self, bucket: &Bucket, now: Timestamp, length: Span) -> bool {
        let end = bucket.start + self.width;
        now.since(end) >= length && end <= now
    }
}
