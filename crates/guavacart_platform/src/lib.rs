//! Clients of the platform: the store, the instance list, the workers and the endpoints.
//!
//! `docs/PLATFORM.md` gives the protocol; this is the only crate that changes with it.

pub mod store;
