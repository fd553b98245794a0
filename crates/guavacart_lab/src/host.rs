//! A machine shared by a worker's tasks and an endpoint, and how they slow each other.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, Mutex},
};

use smol_str::SmolStr;

use crate::sync::lock;

/// How much each kind of work slows each other kind; guavacart cannot read this table.
///
/// Kinds are names of services and of batch classes. A coefficient of 2 triples the time of the
/// victim when the aggressor uses the whole machine.
#[derive(Clone, Debug, Default)]
pub struct Interference {
    coefficients: HashMap<(SmolStr, SmolStr), f64>,
}

impl Interference {
    /// Sets the coefficient by which `aggressor` slows `victim`.
    pub fn set(&mut self, victim: &str, aggressor: &str, coefficient: f64) {
        self.coefficients
            .insert((victim.into(), aggressor.into()), coefficient);
    }

    fn coefficient(&self, victim: &str, aggressor: &str) -> f64 {
        let pair = (SmolStr::new(victim), SmolStr::new(aggressor));
        self.coefficients.get(&pair).copied().unwrap_or_default()
    }
}

/// An interference table that a scenario may change during a run.
pub type SharedInterference = Arc<Mutex<Interference>>;

/// A machine with its batch load and the service times measured on it.
#[derive(Debug)]
pub struct Host {
    processors: f64,
    interference: SharedInterference,
    batch_load: Mutex<BTreeMap<SmolStr, f64>>,
    meters: Mutex<BTreeMap<SmolStr, Meter>>,
}

/// Measurements of a service since they were last taken.
#[derive(Clone, Debug, Default)]
pub struct Meter {
    /// Service times, in microseconds.
    pub times_us: Vec<u64>,
    /// Requests that were refused because all slots were occupied.
    pub refused: u64,
}

impl Host {
    /// Creates a machine with `processors` thousandths of a core.
    pub fn open(processors: u64, interference: SharedInterference) -> Arc<Self> {
        Arc::new(Self {
            processors: (processors as f64).max(1.0),
            interference,
            batch_load: Mutex::default(),
            meters: Mutex::default(),
        })
    }

    /// Sets how many thousandths of a core each batch class uses now.
    pub fn set_batch_load(&self, used: BTreeMap<SmolStr, f64>) {
        *lock(&self.batch_load) = used;
    }

    /// Returns the factor by which the batch work on this machine lengthens the time of `victim`,
    /// at least 1.
    pub fn slowdown(&self, victim: &str) -> f64 {
        let interference = lock(&self.interference);
        let slowed_by = |(aggressor, used): (&SmolStr, &f64)| {
            interference.coefficient(victim, aggressor) * used / self.processors
        };
        1.0 + lock(&self.batch_load).iter().map(slowed_by).sum::<f64>()
    }

    /// Records one service time of an endpoint on this machine, in microseconds.
    pub fn record_served(&self, service: &str, time_us: u64) {
        let mut meters = lock(&self.meters);
        meters
            .entry(service.into())
            .or_default()
            .times_us
            .push(time_us);
    }

    /// Counts a request that an endpoint on this machine refused because all slots were occupied.
    pub fn count_refused(&self, service: &str) {
        lock(&self.meters)
            .entry(service.into())
            .or_default()
            .refused += 1;
    }

    /// Returns the measurements since the last call and resets them.
    pub fn take_meters(&self) -> BTreeMap<SmolStr, Meter> {
        std::mem::take(&mut *lock(&self.meters))
    }
}

impl Meter {
    /// Returns the 99th percentile of the service times, in microseconds; 0 without service times.
    pub fn p99_us(&mut self) -> u64 {
        self.times_us.sort_unstable();
        let rank = (self.times_us.len() * 99).div_ceil(100);
        match rank.checked_sub(1) {
            Some(i) => self.times_us[i],
            None => 0,
        }
    }
}
