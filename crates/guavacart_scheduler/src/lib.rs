//! The reducer: [`State::apply`] turns an event at a time into effects.
//!
//! Nothing here reads a clock, opens a socket, starts a thread, draws a random number or writes a
//! log. The runtime feeds events and carries out effects, so a recorded session replays exactly.

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
