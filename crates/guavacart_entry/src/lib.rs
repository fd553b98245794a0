//! The runtime of an entry instance: sockets, threads and timers around the reducer.
//!
//! The reducer ([`guavacart_scheduler::State`]) decides and does no I/O. The path of a caller's
//! request: `front` →
//! [`RequestEvent::Arrived`](guavacart_scheduler::request::RequestEvent::Arrived) → the reducer →
//! `runner` → the endpoint → the reducer → `runner` → `front`.

mod batch;
mod calls;
mod clock;
mod entry;
mod error;
mod fence;
mod front;
mod heartbeats;
mod jobs;
mod links;
mod listing;
mod metrics;
pub mod operators;
mod rate;
mod reducer_thread;
mod runner;
mod status;
mod status_counters;
mod stop_signal;
mod store_health;
mod view_store;

pub use crate::{entry::Entry, error::EntryError};
