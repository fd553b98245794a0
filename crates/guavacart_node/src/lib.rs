//! The runtime of a node without a disk.
//!
//! Every node runs the same code: it accepts jobs by writing them to the platform's store. The node
//! that holds the owner's lease also runs the reducer of `guavacart_jobs` and sends orders to
//! executors.

mod clock;
mod configuration;
mod election;
mod evacuations;
mod front;
mod links;
mod log;
mod metrics;
mod node;
mod owner;
mod ports;
mod records;
mod shared;
mod submit;
mod suspension;
mod watching;

pub use metrics::Counters;
pub use node::{NodeError, hold_back_hangups, run};
pub use ports::{
    BodyError, Content, Item, JobBody, Key, LATE_ANSWER_TIMEOUT, LeaseId, NodeSettings, NodeSize,
    Platform, Put, Space, StoreError, Value, Write,
};
