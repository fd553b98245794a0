//! The guavacart command: runs entry instances and nodes, and operates a deployment.

mod burn;
mod check;
mod cli;
mod client;
mod command;
mod config;
mod exit;
mod explain;
mod jobs;
mod log_writer;
mod node;
mod patch;
mod serve;
mod settings_file;
mod status;

use std::{env, process::ExitCode};

use tikv_jemallocator::Jemalloc;

/// Calls allocate buffers of some kilobytes, for which the C library's allocator searches its lists.
#[global_allocator]
static ALLOCATOR: Jemalloc = Jemalloc;

fn main() -> ExitCode {
    let args: Vec<String> = env::args().skip(1).collect();
    match cli::run(&args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => failure.report(),
    }
}
