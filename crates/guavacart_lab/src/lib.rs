//! Stand-ins of the platform, fault proxies, load and experiments; never shipped.
//!
//! Everything runs on loopback in one process, but for the entry instances, which are real
//! processes. Violations are counted from the ledgers kept here, never from what guavacart says.

pub mod balancer;
pub mod batch_ledger;
pub mod caller;
pub mod client;
pub mod clock;
pub mod endpoint;
pub mod fault;
pub mod host;
pub mod instance;
pub mod instance_list;
pub mod request_ledger;
pub mod server;
pub mod store;
mod sync;
pub mod worker;
