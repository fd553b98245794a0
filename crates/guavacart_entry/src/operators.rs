//! Handlers of the operators' calls, independent of HTTP; their only I/O is with the store.

mod answer;
mod call;
mod configuration;
mod deployment;
pub mod patching;

pub use answer::Answer;
pub use call::{Call, CallError, Role};
pub use configuration::{difference, version};
pub use deployment::{InstanceNumber, burn, instances};
pub use patching::{dry_run, submit};
