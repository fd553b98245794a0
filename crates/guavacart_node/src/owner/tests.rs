//! An owner whose machine is suspended.

mod fake_platform;

use std::{rc::Rc, time::Duration};

use guavacart_jobs::{Event, Job, JobKey, MaintenanceOrder, QueuePolicy, Step, WaveNumber};
use guavacart_types::{Processors, Resources, Revision, Span, Timestamp};
use tokio::{
    runtime,
    task::LocalSet,
    time::{self, Instant},
};

use super::{Owner, Renewal};
use crate::{LeaseId, clock, shared::Shared};
use fake_platform::{FakePlatform, configuration, settings};

/// Longest time that a test waits for a start.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Time after which an owner that can start a task has started it.
const START_TIME: Duration = Duration::from_millis(200);

fn job() -> Box<Job> {
    let step = Step {
        task_count: 1,
        resources: Resources {
            processors: Processors(1_000),
            ..Resources::default()
        },
        estimate: Span::secs(60),
        ..Step::default()
    };
    Box::new(Job {
        queue: "q".into(),
        rules: QueuePolicy {
            pool: "pool".into(),
            priority: 0,
            max_attempts: 3,
            stretch: 2.0,
            base_time: Span(500),
            advice: None,
        },
        accepted_unix_ms: clock::unix_ms(),
        payload: "p".into(),
        steps: vec![step],
        schedule: None,
    })
}

fn block_on(test: impl Future<Output = ()>) {
    let runtime = runtime::Builder::new_current_thread().enable_all().build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), test);
}

/// Returns an owner that has started one task.
async fn working_owner() -> (Rc<Owner<FakePlatform>>, FakePlatform) {
    let platform = FakePlatform::new();
    let shared = Rc::new(Shared::new(platform.clone(), settings()));
    let owner = Owner::start(&shared, LeaseId(1), Revision(1), clock::now(), Timestamp(0)).await;
    let owner = owner.expect("the store answers");
    owner.apply(Event::JobAccepted(JobKey(1), job()));
    wait_for_starts(&owner, &platform, 1).await;
    (owner, platform)
}

/// Renews the lease until that many runs were started.
async fn wait_for_starts(owner: &Rc<Owner<FakePlatform>>, platform: &FakePlatform, count: usize) {
    let end = Instant::now() + TIMEOUT;
    while platform.starts() < count {
        assert!(
            Instant::now() < end,
            "{} of {count} starts",
            platform.starts()
        );
        assert_eq!(owner.renew().await, Renewal::Confirmed);
        time::sleep(Duration::from_millis(10)).await;
    }
}

/// Guards against a task that runs twice, since an owner that was suspended believes that its lease
/// was confirmed a moment ago.
#[test]
fn a_suspended_owner_starts_nothing_until_its_lease_is_confirmed() {
    block_on(async {
        let (owner, platform) = working_owner().await;
        clock::tests::suspend(Span::secs(5));
        let unconfirmed_for = owner.unconfirmed_for();
        owner.apply(Event::JobAccepted(JobKey(2), job()));
        time::sleep(START_TIME).await;
        assert_eq!(
            platform.starts(),
            1,
            "starts without a confirmation, {unconfirmed_for} after the last one"
        );
        assert!(unconfirmed_for >= Span::secs(5), "{unconfirmed_for}");
        wait_for_starts(&owner, &platform, 2).await;
    });
}

/// Guards against a job that two nodes start, since an owner that was suspended accepts it.
#[test]
fn a_suspended_owner_defers_jobs_until_its_lease_is_confirmed() {
    block_on(async {
        let (owner, platform) = working_owner().await;
        clock::tests::suspend(Span::secs(5));
        owner.accept_job(JobKey(2), job());
        assert_eq!(owner.job_state(JobKey(2)), None, "the job was accepted");
        wait_for_starts(&owner, &platform, 2).await;
    });
}

/// Guards against an order to a machine that is sent seconds after its decision, beside those of the
/// next owner.
#[test]
fn maintenance_that_was_decided_before_a_suspension_is_not_ordered() {
    block_on(async {
        let (owner, platform) = working_owner().await;
        let order = || MaintenanceOrder {
            machine: "m".into(),
            wave: WaveNumber(1),
            epoch: owner.epoch,
        };
        let decided = clock::now();
        clock::tests::suspend(Span::secs(5));
        Rc::clone(&owner).begin_maintenance(order(), decided).await;
        assert_eq!(platform.maintained.get(), 0);
        Rc::clone(&owner)
            .begin_maintenance(order(), clock::now())
            .await;
        assert_eq!(platform.maintained.get(), 1);
    });
}

/// Guards against a request that is answered by a configuration that was confirmed before a
/// suspension.
#[test]
fn a_configuration_is_old_after_a_suspension() {
    block_on(async {
        let shared = Shared::new(FakePlatform::new(), settings());
        shared
            .configuration
            .apply(Revision(1), Some(configuration()));
        shared.configuration.confirm(clock::now());
        clock::tests::suspend(Span::secs(5));
        let age = shared.configuration.age();
        assert!(age >= Span::secs(5), "confirmed {age} ago");
    });
}

/// Guards against a start that is sent seconds after its decision, when another node may have become
/// the owner.
#[test]
fn a_start_that_was_decided_before_a_suspension_is_not_sent() {
    block_on(async {
        let (owner, platform) = working_owner().await;
        platform.connect_time.set(START_TIME / 2);
        owner.apply(Event::JobAccepted(JobKey(2), job()));
        let runs = owner.summary().runs;
        assert_eq!(runs, 2, "the start is decided");
        clock::tests::suspend(Span::secs(5));
        time::sleep(START_TIME).await;
        assert_eq!(
            platform.starts(),
            1,
            "the start is sent 5 s after its decision"
        );
        platform.connect_time.set(Duration::ZERO);
        wait_for_starts(&owner, &platform, 2).await;
    });
}

/// Guards against a start that is sent when the renewal that its decision relies on is older than the
/// lease, and that a successor does not wait for.
#[test]
fn a_start_is_not_sent_after_the_validity_of_its_decision() {
    block_on(async {
        let (owner, platform) = working_owner().await;
        platform.connect_time.set(START_TIME / 2);
        clock::tests::suspend(Span::millis(700));
        owner.apply(Event::JobAccepted(JobKey(2), job()));
        let runs = owner.summary().runs;
        assert_eq!(runs, 2, "the start is decided");
        clock::tests::suspend(Span::millis(600));
        time::sleep(START_TIME).await;
        assert_eq!(
            platform.starts(),
            1,
            "the start is sent 1.3 s after the renewal"
        );
        platform.connect_time.set(Duration::ZERO);
        wait_for_starts(&owner, &platform, 2).await;
    });
}

/// Guards against an urgent start that waits behind the other work of a busy owner.
#[test]
fn a_start_is_sent_when_it_is_decided() {
    block_on(async {
        let (owner, platform) = working_owner().await;
        owner.apply(Event::JobAccepted(JobKey(2), job()));
        assert_eq!(owner.summary().runs, 2, "the start is decided");
        assert_eq!(platform.starts(), 2, "the start waits for the event loop");
    });
}
