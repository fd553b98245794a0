//! An entry instance against strangers and hostile callers.

mod front;
mod instance;
mod peers;
