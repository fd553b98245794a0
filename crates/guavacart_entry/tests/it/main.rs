//! Tests of an entry instance with unauthenticated peers and malformed requests.

#![allow(clippy::unwrap_used)]

mod front;
mod instance;
mod peers;
