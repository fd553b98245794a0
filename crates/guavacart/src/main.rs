//! The guavacart command.
fn main() {}
