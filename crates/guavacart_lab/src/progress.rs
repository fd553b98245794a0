//! A line a second on stderr while a scenario runs.

use std::{
    io::{self, Write},
    sync::Arc,
    time::Duration,
};

use tokio::task::JoinHandle;

use crate::cluster::Cluster;

/// Time between two lines.
const PERIOD: Duration = Duration::from_secs(1);

/// Writes progress until it is dropped.
#[derive(Debug)]
pub struct Progress {
    task: JoinHandle<()>,
}

impl Progress {
    /// Starts to write.
    pub fn spawn(cluster: Arc<Cluster>) -> Self {
        let task = tokio::spawn(write(cluster));
        Self { task }
    }
}

impl Drop for Progress {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn write(cluster: Arc<Cluster>) {
    let mut interval = tokio::time::interval(PERIOD);
    let mut second = 0;
    loop {
        interval.tick().await;
        let (requests, answered) = cluster.record.progress();
        let instances = cluster.balancer.healthy().join(" ");
        let finished = cluster.batch.counts().finished;
        let line = format!(
            "{second:>3} s  requests {requests}  answered {answered}  tasks {finished}  \
             instances {instances}"
        );
        // Progress is for people; a closed stderr ends nothing.
        if writeln!(io::stderr(), "{line}").is_err() {
            return;
        }
        second += 1;
    }
}
