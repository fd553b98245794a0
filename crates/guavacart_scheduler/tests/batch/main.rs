//! Tests of batch work with complete reducers in a simulation of the store and the workers.

#![allow(clippy::unwrap_used)]

mod cases;
mod handoff;
mod history;
mod quotas;
mod random;
mod simulation;
