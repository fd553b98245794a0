//! Tests of the stand-in worker with guavacart's own client.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use guavacart_lab::{
    batch_ledger::{BatchLedger, TaskAttemptEnd},
    host::{Host, SharedInterference},
    worker::Worker,
};
use guavacart_platform::worker::{
    Command, HttpWorkers, Renewal, Start, SyncAnswer, SyncRequest, TaskState, WorkerError, Workers,
};
use guavacart_types::{Attempt, Epoch, Processors, Resources, TaskId};
use serde_json::json;
use smol_str::SmolStr;

const TIMEOUT: Duration = Duration::from_secs(10);
const LEASE_MS: u64 = 60_000;

struct Fixture {
    worker: Worker,
    client: HttpWorkers,
    ledger: BatchLedger,
    interference: SharedInterference,
}

fn task(index: u32) -> TaskId {
    format!("j/{index}").parse().unwrap()
}

fn start(index: u32, attempt: u32, run_ms: u64) -> Start {
    Start {
        task: task(index),
        attempt: Attempt(attempt),
        class: "deck".parse().unwrap(),
        resources: cores(2),
        payload: json!({ "run_ms": run_ms }),
        checkpoint: None,
        lease_ms: LEASE_MS,
    }
}

fn cores(n: u64) -> Resources {
    Resources {
        processors: Processors::cores(n),
        ..Resources::default()
    }
}

fn stop(index: u32, attempt: u32) -> Command {
    Command::Stop {
        task: task(index),
        attempt: Attempt(attempt),
        checkpoint: true,
    }
}

impl Fixture {
    async fn open() -> Self {
        let interference = SharedInterference::default();
        let host = Host::open(4_000, interference.clone());
        let ledger = BatchLedger::default();
        let id = "w1".parse().unwrap();
        let worker = Worker::bind(id, cores(4), host, ledger.clone())
            .await
            .unwrap();
        let client = HttpWorkers::open();
        Self {
            worker,
            client,
            ledger,
            interference,
        }
    }

    async fn sync(&self, epoch: u64, commands: Vec<Command>) -> Result<SyncAnswer, WorkerError> {
        let req = SyncRequest {
            cell: "c1".parse().unwrap(),
            epoch: Epoch(epoch),
            renew: Vec::new(),
            commands,
        };
        self.client.sync(self.worker.address(), &req, TIMEOUT).await
    }

    async fn state(&self, commands: Vec<Command>, index: u32, attempt: u32) -> TaskState {
        let answer = self.sync(1, commands).await.unwrap();
        let wanted = (task(index), Attempt(attempt));
        let mut reports = answer.tasks.into_iter();
        let report = reports.find(|r| (r.task.clone(), r.attempt) == wanted);
        report.unwrap().state
    }

    async fn wait_state(&self, index: u32, attempt: u32, state: TaskState) {
        while self.state(Vec::new(), index, attempt).await != state {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}

#[tokio::test]
async fn task_finishes_and_keeps_its_result_until_acknowledged() {
    let f = Fixture::open().await;
    let commands = vec![Command::Start(start(0, 1, 30))];
    assert_eq!(f.state(commands.clone(), 0, 1).await, TaskState::Running);
    assert_eq!(f.state(commands, 0, 1).await, TaskState::Running);
    f.wait_state(0, 1, TaskState::Finished).await;
    let acknowledge = Command::Acknowledge {
        task: task(0),
        attempt: Attempt(1),
    };
    let answer = f.sync(1, vec![acknowledge]).await.unwrap();
    assert!(answer.tasks.is_empty());
    let again = f.state(vec![Command::Start(start(0, 1, 30))], 0, 1).await;
    assert_eq!(again, TaskState::Refused);
    assert_eq!(f.ledger.counts().finished, 1);
    assert_eq!(f.ledger.counts().starts, 1);
}

#[tokio::test]
async fn refuses_and_counts_tasks_beyond_capacity() {
    let f = Fixture::open().await;
    let starts = (0..3).map(|i| Command::Start(start(i, 1, 60_000)));
    assert_eq!(f.state(starts.collect(), 2, 1).await, TaskState::Refused);
    assert_eq!(f.ledger.counts().over_capacity, 1);
    assert_eq!(f.worker.committed(), cores(4));
}

#[tokio::test]
async fn refuses_an_older_epoch() {
    let f = Fixture::open().await;
    f.sync(5, Vec::new()).await.unwrap();
    let err = f
        .sync(4, vec![Command::Start(start(0, 1, 10))])
        .await
        .unwrap_err();
    assert!(
        matches!(
            err,
            WorkerError::Superseded {
                epoch: Epoch(5),
                ..
            }
        ),
        "{err}"
    );
    assert_eq!(f.ledger.counts().starts, 0);
}

#[tokio::test]
async fn refuses_older_and_stopped_attempts() {
    let f = Fixture::open().await;
    f.state(vec![Command::Start(start(0, 2, 60_000))], 0, 2)
        .await;
    let older = f.state(vec![Command::Start(start(0, 1, 10))], 0, 1).await;
    assert_eq!(older, TaskState::Refused);
    f.sync(1, vec![stop(1, 1)]).await.unwrap();
    let stopped = f.state(vec![Command::Start(start(1, 1, 10))], 1, 1).await;
    assert_eq!(stopped, TaskState::Stopped { checkpoint: None });
    assert_eq!(f.ledger.counts().starts, 1);
}

#[tokio::test]
async fn checkpoint_keeps_progress() {
    let f = Fixture::open().await;
    let mut progress_ppm = 0;
    let mut commands = vec![Command::Start(start(0, 1, 2_000))];
    while progress_ppm < 200_000 {
        let answer = f.sync(1, std::mem::take(&mut commands)).await.unwrap();
        progress_ppm = answer.tasks[0].progress_ppm;
    }
    let TaskState::Stopped {
        checkpoint: Some(name),
    } = f.state(vec![stop(0, 1)], 0, 1).await
    else {
        panic!("no checkpoint");
    };
    let mut resumed = start(0, 2, 2_000);
    resumed.checkpoint = Some(name);
    f.state(vec![Command::Start(resumed)], 0, 2).await;
    f.wait_state(0, 2, TaskState::Finished).await;
    let attempts = &f.ledger.attempts()[&task(0)];
    assert!(attempts[1].from_ppm >= 200_000, "{attempts:?}");
    assert_eq!(f.ledger.counts().evictions, 1);
    assert_eq!(f.ledger.counts().double_run, 0);
    assert_eq!(f.ledger.counts().redone_milli_tasks, 0);
}

#[tokio::test]
async fn expired_lease_stops_the_task_of_a_paused_worker() {
    let f = Fixture::open().await;
    let mut short = start(0, 1, 60_000);
    short.lease_ms = 50;
    f.state(vec![Command::Start(short)], 0, 1).await;
    f.worker.switch(|s| s.paused = true);
    let req = SyncRequest {
        cell: "c1".parse().unwrap(),
        epoch: Epoch(1),
        renew: Vec::new(),
        commands: Vec::new(),
    };
    let wait = Duration::from_millis(50);
    let unanswered = f.client.sync(f.worker.address(), &req, wait).await;
    assert!(matches!(unanswered, Err(WorkerError::Broken { .. })));
    while f.worker.running() > 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    f.worker.switch(|s| s.paused = false);
    f.wait_state(0, 1, TaskState::Lapsed).await;
}

#[tokio::test]
async fn renewal_extends_the_first_lease() {
    let f = Fixture::open().await;
    let mut short = start(0, 1, 2_500);
    short.lease_ms = 2_000;
    f.state(vec![Command::Start(short)], 0, 1).await;
    let req = SyncRequest {
        cell: "c1".parse().unwrap(),
        epoch: Epoch(1),
        renew: vec![Renewal {
            task: task(0),
            attempt: Attempt(1),
            lease_ms: LEASE_MS,
        }],
        commands: Vec::new(),
    };
    f.client
        .sync(f.worker.address(), &req, TIMEOUT)
        .await
        .unwrap();
    f.wait_state(0, 1, TaskState::Finished).await;
}

#[tokio::test]
async fn fails_every_task_when_set() {
    let f = Fixture::open().await;
    f.worker.switch(|s| s.fails_every_task = true);
    f.sync(1, vec![Command::Start(start(0, 1, 60_000))])
        .await
        .unwrap();
    f.wait_state(0, 1, TaskState::Failed).await;
}

#[tokio::test]
async fn throttle_and_interference_slow_tasks() {
    let f = Fixture::open().await;
    f.interference.lock().unwrap().set("deck", "deck", 1_000.0);
    let throttle = Command::Throttle {
        task: task(1),
        attempt: Attempt(1),
        percent: 0,
    };
    let starts = [start(0, 1, 100), start(1, 1, 100)].map(Command::Start);
    f.sync(1, starts.into_iter().chain([throttle]).collect())
        .await
        .unwrap();
    tokio::time::sleep(Duration::from_millis(200)).await;
    let answer = f.sync(1, Vec::new()).await.unwrap();
    assert!(answer.tasks[0].progress_ppm < 100_000, "{answer:?}");
    assert!(answer.tasks[1].progress_ppm < 1_000, "{answer:?}");
}

#[tokio::test]
async fn usage_is_reported_after_its_lag() {
    let f = Fixture::open().await;
    f.worker
        .switch(|s| s.usage_lag = Duration::from_millis(200));
    let mut usage = f
        .sync(1, vec![Command::Start(start(0, 1, 60_000))])
        .await
        .unwrap()
        .usage;
    while usage.is_empty() {
        tokio::time::sleep(Duration::from_millis(20)).await;
        usage = f.sync(1, Vec::new()).await.unwrap().usage;
    }
    assert!(usage[0].age_ms >= 200);
    assert_eq!(usage[0].tasks[0].processors, Processors::cores(2));
}

#[tokio::test]
async fn ledger_counts_double_runs() {
    let ledger = BatchLedger::default();
    let (w1, w2) = ("w1".parse().unwrap(), "w2".parse().unwrap());
    let none: Option<SmolStr> = None;
    ledger.start(&task(0), Attempt(1), &w1, 0, none.clone());
    ledger.start(&task(0), Attempt(2), &w2, 0, none.clone());
    assert_eq!(ledger.counts().double_run, 1);
    ledger.start(&task(1), Attempt(1), &w1, 0, none.clone());
    ledger.end(
        &task(1),
        Attempt(1),
        &w1,
        TaskAttemptEnd::Finished,
        1_000_000,
    );
    tokio::time::sleep(Duration::from_millis(1)).await;
    ledger.start(&task(1), Attempt(2), &w2, 0, none);
    assert_eq!(ledger.counts().double_run, 1);
    ledger.end(
        &task(1),
        Attempt(2),
        &w2,
        TaskAttemptEnd::Finished,
        1_000_000,
    );
    assert_eq!(ledger.counts().double_run, 2);
    assert_eq!(ledger.counts().redone_milli_tasks, 1_000);
    ledger.record_cancelled(&"j".parse().unwrap());
    assert_eq!(ledger.counts().started_after_cancel, 0);
    ledger.start(&task(2), Attempt(1), &w1, 0, None);
    assert_eq!(ledger.counts().started_after_cancel, 1);
}
