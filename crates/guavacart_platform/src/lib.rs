//! Clients of the platform: the store, the instance list, the workers and the endpoints.
//!
//! `docs/PLATFORM.md` gives the protocol; this is the only crate that changes with it.

mod connection;
pub mod endpoint;
mod http_store;
pub mod instance_list;
mod plain_http;
pub mod store;
mod traffic;
pub mod worker;

pub use http_store::HttpStore;
pub use traffic::Traffic;
