//! Stand-ins for the platform, fault proxies, load generators and experiments; never shipped.
//!
//! Everything runs on loopback in one process, except the entry instances, which are separate
//! processes. Violations are counted from the lab's own ledgers, never from guavacart's reports.

pub mod balancer;
pub mod batch_ledger;
pub mod caller;
pub mod checks;
pub mod client;
pub mod clock;
pub mod cluster;
pub mod cost;
pub mod endpoint;
pub mod fault;
pub mod host;
pub mod instance;
pub mod instance_list;
pub mod jobs;
pub mod journal_check;
pub mod one_instance;
pub mod progress;
pub mod request_ledger;
pub mod scenario;
pub mod server;
pub mod store;
pub mod summary;
mod sync;
pub mod worker;
