//! Progress of a scenario: one line per second on stderr.

use std::{
    io::{self, Write},
    sync::Arc,
    time::Duration,
};

use tokio::task::JoinHandle;

use crate::cluster::Cluster;

/// Time between two lines.
const PERIOD: Duration = Duration::from_secs(1);

/// Writes progress lines until it is dropped.
#[derive(Debug)]
pub struct Progress {
    task: JoinHandle<()>,
}

impl Progress {
    /// Starts to write the progress of `cluster`.
    pub fn spawn(cluster: Arc<Cluster>) -> Self {
        let task = tokio::spawn(write_lines(cluster));
        Self { task }
    }
}

impl Drop for Progress {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn write_lines(cluster: Arc<Cluster>) {
    let mut interval = tokio::time::interval(PERIOD);
    let mut second = 0;
    loop {
        interval.tick().await;
        let (requests, answered) = cluster.attempt_log.progress();
        let instances = cluster.balancer.healthy().join(" ");
        let finished = cluster.batch.counts().finished;
        let line = format!(
            "{second:>3} s  requests {requests}  answered {answered}  tasks {finished}  \
             instances {instances}"
        );
        // A closed stderr ends only the progress lines, not the run.
        if writeln!(io::stderr(), "{line}").is_err() {
            return;
        }
        second += 1;
    }
}
