//! Counters and latency histograms, as text.

use std::{
    cell::{Cell, RefCell},
    fmt::Write,
};

use hdrhistogram::Histogram;

/// Longest latency that a histogram tells apart, in microseconds; longer ones count as this.
const LONGEST_US: u64 = 60_000_000;
/// Significant digits of a latency.
const DIGITS: u8 = 2;

/// One counter.
#[derive(Debug, Default)]
pub struct Counter(Cell<u64>);

impl Counter {
    pub(crate) fn add(&self, n: u64) {
        self.0.set(self.0.get() + n);
    }
}

/// One latency histogram, in microseconds.
#[derive(Debug)]
pub struct Latency(RefCell<Histogram<u64>>);

impl Default for Latency {
    fn default() -> Self {
        // The bounds are constants that the library takes.
        let histogram = Histogram::new_with_bounds(1, LONGEST_US, DIGITS);
        Self(RefCell::new(histogram.unwrap_or_else(|_| {
            Histogram::new(DIGITS).unwrap_or_else(|_| unreachable!("2 digits are allowed"))
        })))
    }
}

impl Latency {
    pub(crate) fn record(&self, latency: std::time::Duration) {
        let us = u64::try_from(latency.as_micros()).unwrap_or(LONGEST_US);
        self.0
            .borrow_mut()
            .saturating_record(us.clamp(1, LONGEST_US));
    }
}

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident;)*) => {
        /// What a node counts since its start.
        #[derive(Debug, Default)]
        pub struct Counters {
            $($(#[$doc])* pub $name: Counter,)*
            /// Time from a request's head to its answer.
            pub request_latency: Latency,
        }

        impl Counters {
            fn write(&self, text: &mut String) {
                $(line(text, stringify!($name), self.$name.0.get());)*
            }
        }
    };
}

counters! {
    /// Jobs accepted.
    accepted;
    /// Cancels accepted.
    cancelled;
    /// Requests refused with 429 or 503.
    refused;
    /// Requests answered 504.
    unknown;
    /// Requests answered with another 4xx.
    rejected;
    /// Answers about a job taken from the store instead of the owner.
    answered_by_store;
    /// Holds sent.
    holds;
    /// Starts sent.
    starts;
    /// Stops sent.
    stops;
    /// Changes of pace sent.
    paces;
    /// Reads and watches of the store.
    store_reads;
    /// Writes to the store.
    store_writes;
    /// Renewals of the owner's lease.
    store_renewals;
}

fn line(text: &mut String, name: &str, value: u64) {
    // Writing to a string does not fail.
    let _ = writeln!(text, "guavacart_{name} {value}");
}

impl Counters {
    /// The counters as text, one a line.
    pub fn text(&self) -> String {
        let mut text = String::new();
        self.write(&mut text);
        let latency = self.request_latency.0.borrow();
        for (name, quantile) in [("p50", 0.5), ("p99", 0.99), ("max", 1.0)] {
            let name = format!("request_latency_us_{name}");
            line(&mut text, &name, latency.value_at_quantile(quantile));
        }
        line(&mut text, "requests", latency.len());
        text
    }
}
