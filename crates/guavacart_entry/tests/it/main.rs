//! An entry instance against strangers and hostile callers.

#![allow(clippy::unwrap_used)]

mod front;
mod instance;
mod peers;
