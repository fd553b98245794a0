//! Counters and a latency histogram, with their text form.

use std::{
    cell::{Cell, RefCell},
    fmt::Write,
};

use hdrhistogram::Histogram;

/// Longest latency that the histogram records, in microseconds; longer ones are recorded as this
/// value.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Significant decimal digits of a recorded latency.
const SIGNIFICANT_DIGITS: u8 = 2;

/// A counter that only grows.
#[derive(Debug, Default)]
pub struct Counter(Cell<u64>);

impl Counter {
    pub(crate) fn add(&self, n: u64) {
        self.0.set(self.0.get() + n);
    }
}

/// A histogram of latencies in microseconds.
#[derive(Debug)]
pub struct Latency(RefCell<Histogram<u64>>);

impl Default for Latency {
    fn default() -> Self {
        // These constants are within the bounds that the library accepts.
        let histogram = Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS);
        Self(RefCell::new(histogram.unwrap_or_else(|_| {
            Histogram::new(SIGNIFICANT_DIGITS)
                .unwrap_or_else(|_| unreachable!("2 digits are allowed"))
        })))
    }
}

impl Latency {
    pub(crate) fn record(&self, latency: std::time::Duration) {
        let us = u64::try_from(latency.as_micros()).unwrap_or(MAX_LATENCY_US);
        self.0
            .borrow_mut()
            .saturating_record(us.clamp(1, MAX_LATENCY_US));
    }
}

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident;)*) => {
        /// What a node has counted since its start.
        #[derive(Debug, Default)]
        pub struct Counters {
            $($(#[$doc])* pub $name: Counter,)*
            /// Time from the receipt of a request's head to its response.
            pub request_latency: Latency,
            /// Time from the decision to start a task until its order is sent.
            pub start_delay: Latency,
        }

        impl Counters {
            fn write(&self, text: &mut String) {
                $(write_line(text, stringify!($name), self.$name.0.get());)*
            }
        }
    };
}

counters! {
    /// Jobs stored for submitters.
    accepted;
    /// Cancels stored for submitters.
    cancelled;
    /// Tombstones stored for cancels of jobs that the store does not have.
    tombstones;
    /// Requests answered with 429 or 503.
    refused;
    /// Requests answered with 503 while the store did not serve this node.
    refused_in_outages;
    /// Time for which these callers were asked to wait, in milliseconds.
    retry_after_ms;
    /// Requests answered with 504: the outcome is not known.
    unknown;
    /// Requests answered with another 4xx status.
    rejected;
    /// Requests for a job's state that were answered from the store instead of by the owner.
    answered_by_store;
    /// Holds sent to executors.
    holds;
    /// Starts sent to executors.
    starts;
    /// Stops sent to executors.
    stops;
    /// Changes of pace sent to executors.
    paces;
    /// Runs that the owner considered over without a report of their end.
    lost_runs;
    /// Runs of earlier owners that the owner found on executors and kept.
    adopted_runs;
    /// Orders to take a machine down for maintenance.
    maintenance_orders;
    /// Jobs that were not stored at first, since the configuration had changed unnoticed.
    stale_submissions;
    /// Operator's configurations that could not be decoded.
    configurations_unreadable;
    /// Lists and watches of the store that failed.
    store_follows_failed;
    /// Reads, lists and watches of the store.
    store_reads;
    /// Writes to the store.
    store_writes;
    /// Renewals of the owner's lease.
    store_renewals;
    /// Suspensions of the machine.
    suspensions;
    /// Time for which the machine was suspended, in milliseconds.
    suspended_ms;
}

fn write_line(text: &mut String, name: &str, value: u64) {
    // Writing to a string does not fail.
    let _ = writeln!(text, "guavacart_{name} {value}");
}

impl Counters {
    /// Returns the counters as text, one a line.
    pub fn text(&self) -> String {
        let mut text = String::new();
        self.write(&mut text);
        for (name, latency) in [
            ("request_latency", &self.request_latency),
            ("start_delay", &self.start_delay),
        ] {
            let latency = latency.0.borrow();
            for (quantile_name, quantile) in [("p50", 0.5), ("p99", 0.99), ("max", 1.0)] {
                let name = format!("{name}_us_{quantile_name}");
                write_line(&mut text, &name, latency.value_at_quantile(quantile));
            }
        }
        write_line(&mut text, "requests", self.request_latency.0.borrow().len());
        text
    }
}
