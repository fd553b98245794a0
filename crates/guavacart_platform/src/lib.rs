//! Clients for the platform: the store, the instance list, the workers and the endpoints.
//!
//! `docs/PLATFORM.md` describes the protocol. Only this crate changes when the protocol changes.

mod blocking_http;
mod connection;
pub mod endpoint;
mod http_store;
pub mod instance_list;
pub mod store;
mod traffic;
pub mod worker;

pub use http_store::HttpStore;
pub use traffic::Traffic;
