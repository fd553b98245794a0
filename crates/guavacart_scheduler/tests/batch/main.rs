//! Batch work through whole reducers, with a model of the store and of workers.

#![allow(clippy::unwrap_used)]

mod cases;
mod handoff;
mod history;
mod model;
mod quotas;
mod random;
