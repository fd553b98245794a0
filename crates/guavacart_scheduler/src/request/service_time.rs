//! Learned service times: a decayed mean and a high quantile of each kind of request.

use std::collections::BTreeMap;

use guavacart_config::{Queueing, Service};
use guavacart_types::{Class, ServiceName, Span, TeamName};

use super::RequestHead;

/// A new sample has a weight of 1 / 2^`MEAN_SHIFT` in the mean.
const MEAN_SHIFT: u32 = 4;
/// Number of samples from which learned times replace the declared ones.
const MIN_SAMPLES: u32 = 8;
const MICROS_PER_MILLI: u64 = 1_000;
/// Maximum number of kinds of requests with learned times.
const MAX_KINDS: usize = 10_000;
/// Ratio of the high quantile's step up, for a sample above it, to its step down, for a sample below
/// it; a ratio of 19 tracks the 95th percentile.
const STEP_RATIO: u64 = 19;

/// A sample moves the first quartile by the quartile divided by this.
const QUARTILE_STEP_DIVISOR: u64 = 100;

/// The learned times of one kind of request.
#[derive(Clone, Copy, Debug, Default)]
struct Times {
    samples: u32,
    mean_us: u64,
    high_quantile_us: u64,
}

/// A kind of request: requests of one kind share their learned times.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Kind {
    service: ServiceName,
    team: TeamName,
    class: Class,
    /// Half the binary logarithm of the body's size: sizes within a factor of 4 share a kind.
    size_bits: u32,
}

/// The first quartile of a service's times, in microseconds.
#[derive(Clone, Copy, Debug)]
struct Quartile {
    us: u64,
}

/// Learned service times by service, team, declared class and size.
#[derive(Debug, Default)]
pub(super) struct ServiceTimes {
    kinds: BTreeMap<Kind, Times>,
    quartiles: BTreeMap<ServiceName, Quartile>,
}

impl Kind {
    fn of(head: &RequestHead) -> Self {
        Self {
            service: head.service.clone(),
            team: head.team.clone(),
            class: head.class,
            size_bits: head.size.0.checked_ilog2().unwrap_or(0) / 2,
        }
    }
}

impl ServiceTimes {
    /// Adds the service time of an answered request.
    pub(super) fn learn(&mut self, head: &RequestHead, took: Span) {
        let kind = Kind::of(head);
        if self.kinds.len() >= MAX_KINDS && !self.kinds.contains_key(&kind) {
            return;
        }
        let us = took.0 * MICROS_PER_MILLI;
        self.kinds.entry(kind).or_default().add(us);
        let quartile = self.quartiles.entry(head.service.clone());
        quartile.or_insert(Quartile { us }).add(us);
    }

    /// Returns the expected service time: the learned mean, or the declared time until it is known.
    pub(super) fn mean(&self, head: &RequestHead, service: &Service) -> Span {
        match self.learned(head) {
            Some(times) => Span((times.mean_us / MICROS_PER_MILLI).max(1)),
            None => declared(head, service),
        }
    }

    /// Returns the high quantile of the service time, once it is known.
    pub(super) fn high_quantile(&self, head: &RequestHead) -> Option<Span> {
        self.learned(head)
            .map(|times| Span(times.high_quantile_us / MICROS_PER_MILLI + 1))
    }

    /// True if requests of this kind are long by their learned mean or, until it is known, by their
    /// declared class.
    fn is_long(&self, head: &RequestHead, service: &Service) -> bool {
        match self.learned(head) {
            Some(times) => times.mean_us > self.long_threshold_us(head, service),
            None => head.class == Class::Long,
        }
    }

    /// True if a request may use only the slots that long requests may use.
    pub(super) fn is_limited_to_long_slots(&self, head: &RequestHead, service: &Service) -> bool {
        service.queueing == Queueing::Fair && self.is_long(head, service)
    }

    /// Returns the mean above which a request counts as long, in microseconds.
    ///
    /// The threshold is the geometric mean of the declared short and long times. If the service's
    /// first quartile is above the declared short time, the threshold is raised by the same ratio:
    /// otherwise, in a service whose short requests are all slower than declared, every request would
    /// count as long and the slots reserved for short ones would stay idle.
    fn long_threshold_us(&self, head: &RequestHead, service: &Service) -> u64 {
        let short = service.short_time.0.max(1);
        let declared = short.saturating_mul(service.long_time.0).isqrt().max(short);
        let quartile_us = self.quartiles.get(&head.service).map_or(0, |q| q.us);
        let learned_us = quartile_us.saturating_mul(declared) / short;
        learned_us.max(declared * MICROS_PER_MILLI)
    }

    fn learned(&self, head: &RequestHead) -> Option<&Times> {
        let times = self.kinds.get(&Kind::of(head))?;
        (times.samples >= MIN_SAMPLES).then_some(times)
    }
}

impl Times {
    fn add(&mut self, sample_us: u64) {
        self.samples = self.samples.saturating_add(1);
        if self.samples == 1 {
            self.mean_us = sample_us;
            self.high_quantile_us = sample_us * 2;
            return;
        }
        let decayed = self.mean_us - (self.mean_us >> MEAN_SHIFT);
        self.mean_us = decayed + (sample_us >> MEAN_SHIFT);
        let step = self.mean_us / 50 + 1;
        if sample_us > self.high_quantile_us {
            self.high_quantile_us += step * STEP_RATIO;
        } else {
            self.high_quantile_us = self.high_quantile_us.saturating_sub(step);
        }
    }
}

impl Quartile {
    /// Moves the estimate towards the value that three of four samples exceed.
    fn add(&mut self, sample_us: u64) {
        let step = self.us / QUARTILE_STEP_DIVISOR + 1;
        if sample_us > self.us {
            self.us += step;
        } else {
            self.us = self.us.saturating_sub(step * 3);
        }
    }
}

fn declared(head: &RequestHead, service: &Service) -> Span {
    match head.class {
        Class::Short => service.short_time,
        Class::Long => service.long_time,
    }
}
