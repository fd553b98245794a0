//! The runtime of an entry instance: sockets, threads and timers around the reducer.
//!
//! A request travels so: `front` → [`Event::RequestArrived`](guavacart_scheduler::request) →
//! the reducer → `runner` → the endpoint → the reducer → `front`.

mod batch;
mod calls;
mod clock;
mod core;
mod entry;
mod error;
mod fence;
mod front;
mod heartbeats;
mod jobs;
mod links;
mod listing;
mod meters;
mod metrics;
pub mod operators;
mod rate;
mod runner;
mod status;
mod stop_signal;
mod store_health;
mod view_store;

pub use crate::{entry::Entry, error::EntryError};
