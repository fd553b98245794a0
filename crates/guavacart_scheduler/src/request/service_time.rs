//! Learned service times: a decayed mean and a high quantile.

use std::collections::BTreeMap;

use guavacart_config::{Queueing, Service};
use guavacart_types::{Class, ServiceName, Span, TeamName};

use super::RequestHead;

/// Share of a new sample in the mean, as a power of two.
const MEAN_SHIFT: u32 = 4;
/// Samples before a mean is believed.
const MIN_SAMPLES: u32 = 8;
/// Microseconds in a millisecond.
const MICROS: u64 = 1_000;
/// Most kinds of requests that are told apart.
const MAX_KINDS: usize = 10_000;
/// The quantile's step up for a sample above it, in times the step down for one below it.
const STEP_RATIO: u64 = 19;

/// Part of a quartile by which one sample moves it.
const QUARTILE_STEP: u64 = 100;

/// What is known of one kind of request.
#[derive(Clone, Copy, Debug, Default)]
struct Times {
    samples: u32,
    mean_us: u64,
    high_us: u64,
}

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Kind {
    service: ServiceName,
    team: TeamName,
    class: Class,
    size_bits: u32,
}

/// The first quartile of a service's times.
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
    /// Learns from a request that was answered.
    pub(super) fn learn(&mut self, head: &RequestHead, took: Span) {
        let kind = Kind::of(head);
        if self.kinds.len() >= MAX_KINDS && !self.kinds.contains_key(&kind) {
            return;
        }
        let us = took.0 * MICROS;
        self.kinds.entry(kind).or_default().add(us);
        let quartile = self.quartiles.entry(head.service.clone());
        quartile.or_insert(Quartile { us }).add(us);
    }

    /// The time that a request is expected to take.
    pub(super) fn mean(&self, head: &RequestHead, service: &Service) -> Span {
        match self.known(head) {
            Some(times) => Span((times.mean_us / MICROS).max(1)),
            None => declared(head, service),
        }
    }

    /// A time that few such requests pass, once it is known.
    pub(super) fn high(&self, head: &RequestHead) -> Option<Span> {
        self.known(head)
            .map(|times| Span(times.high_us / MICROS + 1))
    }

    /// True if such requests prove long, whatever they declare.
    fn is_long(&self, head: &RequestHead, service: &Service) -> bool {
        match self.known(head) {
            Some(times) => times.mean_us > self.long_from_us(head, service),
            None => head.class == Class::Long,
        }
    }

    /// True if a request is kept to the slots for long ones.
    pub(super) fn is_kept_long(&self, head: &RequestHead, service: &Service) -> bool {
        service.queueing == Queueing::Fair && self.is_long(head, service)
    }

    /// The mean from which a request counts as long, in microseconds: halfway, by ratio, between the
    /// declared times, and as far above what is usual here, so that a service whose short requests
    /// prove slow as a whole does not rest the slots kept for short ones.
    fn long_from_us(&self, head: &RequestHead, service: &Service) -> u64 {
        let short = service.short_time.0.max(1);
        let declared = short.saturating_mul(service.long_time.0).isqrt().max(short);
        let usual_us = self.quartiles.get(&head.service).map_or(0, |q| q.us);
        let learned_us = usual_us.saturating_mul(declared) / short;
        learned_us.max(declared * MICROS)
    }

    fn known(&self, head: &RequestHead) -> Option<&Times> {
        let times = self.kinds.get(&Kind::of(head))?;
        (times.samples >= MIN_SAMPLES).then_some(times)
    }
}

impl Times {
    fn add(&mut self, sample_us: u64) {
        self.samples = self.samples.saturating_add(1);
        if self.samples == 1 {
            self.mean_us = sample_us;
            self.high_us = sample_us * 2;
            return;
        }
        let rest = self.mean_us - (self.mean_us >> MEAN_SHIFT);
        self.mean_us = rest + (sample_us >> MEAN_SHIFT);
        let step = self.mean_us / 50 + 1;
        if sample_us > self.high_us {
            self.high_us += step * STEP_RATIO;
        } else {
            self.high_us = self.high_us.saturating_sub(step);
        }
    }
}

impl Quartile {
    /// Moves towards where three samples of four are greater.
    fn add(&mut self, sample_us: u64) {
        let step = self.us / QUARTILE_STEP + 1;
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
