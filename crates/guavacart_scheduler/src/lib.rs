//! The scheduler as a deterministic state machine: [`State::apply`] takes one event and returns the
//! effects that the runtime has to carry out.
//!
//! This crate reads no clock, opens no socket, starts no thread, draws no random number and writes no
//! log. A recorded sequence of events therefore replays exactly.

pub mod batch;
pub mod config;
mod cx;
pub mod directory;
mod event;
pub mod interference;
pub mod membership;
pub mod request;
mod state;

pub use cx::Cx;
pub use event::{Effect, Event};
pub use state::{Start, State};
