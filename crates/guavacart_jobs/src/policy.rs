//! Decisions under load, as functions of what they weigh; they know nothing of the reducer's state.

pub mod order;
pub mod wait;
