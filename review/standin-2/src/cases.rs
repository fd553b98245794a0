//! The cases that are shown with a script.

use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    cluster::{Cluster, Queue, step, with},
    executor::Kind,
    json::{Json, s},
    record::Record,
};

/// True if the rule was broken; `None` if there is no such case.
pub fn run(case: &str, record: Arc<Record>, has_trouble: bool) -> Option<bool> {
    match case {
        "crashes" => Some(crashes(record, has_trouble)),
        "isolation" => Some(isolation(record, has_trouble)),
        "kind" => Some(kind(record, has_trouble)),
        "gang" => Some(gang(record, has_trouble)),
        "penalty" => Some(penalty(record, has_trouble)),
        "waiting" => Some(waiting(record, has_trouble)),
        "rack" => Some(rack(record, has_trouble)),
        _ => None,
    }
}

fn kinds(count: usize, cpu: u64) -> Vec<Kind> {
    let kind = |index: usize| Kind {
        id: format!("i-{index:02}"),
        service: "pool".into(),
        rack: format!("r{}", index.div_ceil(4)),
        label: "a".into(),
        cpu,
        mem_mb: 64_000,
    };
    (1..=count).map(kind).collect()
}

fn sleep(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// LOST: a job is shown as `failed` although no run of it has ended `failed`.
fn crashes(record: Arc<Record>, has_trouble: bool) -> bool {
    let queues = [Queue { prefix: "/recode/", priority: 0, max_attempts: 4 }];
    let cluster = Cluster::start(record, &queues, kinds(7, 16_000), 3);
    sleep(2_000);
    let job = cluster.submit(1, "/recode/", 2, "done 4000 2000", &[step(1, 2_000, 256, 4_000)]);
    sleep(600);
    if has_trouble {
        // One of seven executors at a time, each once, in a fixed order.
        for executor in (0..7).rev() {
            cluster.crash(executor, Duration::from_millis(1_000));
            sleep(2_000);
        }
    }
    let end = Instant::now() + Duration::from_secs(30);
    let mut state = String::new();
    while Instant::now() < end {
        state = cluster.state(2, "/recode/", &job).unwrap_or_default();
        if state == "failed" || state == "completed" {
            break;
        }
        sleep(500);
    }
    let failed = cluster.record.ends_of(&job, "failed");
    let starts = cluster.record.starts_of(&job);
    cluster.record.line(&format!("{job} is {state:?} after {starts} starts and {failed} ends `failed`"));
    assert!(!state.is_empty(), "the job's state is not known");
    state == "failed" && failed == 0
}

/// LOST: tasks that last stand still in a calm and nearly empty service.
fn isolation(record: Arc<Record>, has_trouble: bool) -> bool {
    const TASKS: usize = 20;
    let queues = [Queue { prefix: "/refresh/", priority: 0, max_attempts: 2 }];
    let cluster = Cluster::start(record, &queues, kinds(7, 16_000), 3);
    sleep(2_000);
    let lasting = with(step(TASKS as u64, 500, 256, 1_000), "long-running", Json::Bool(true));
    let job = cluster.submit(1, "/refresh/", 2, "last 0 500", &[lasting]);
    sleep(500);
    let down = Duration::from_millis(1_000);
    if has_trouble {
        // One of seven executors at a time, in a fixed order.
        cluster.crash(6, down);
        sleep(2_000);
        cluster.crash(5, down);
    }
    // Calm begins when the last executor is up again.
    let calm_since = Instant::now() + down;
    let seconds = Duration::from_secs;
    let mut idle_since = vec![None; TASKS];
    let mut last_run = vec![Instant::now(); TASKS];
    let end = Instant::now() + seconds(40);
    let mut is_broken = false;
    while Instant::now() < end && !is_broken {
        sleep(20);
        let running: Vec<String> = cluster.executors.iter().flat_map(|executor| executor.running()).collect();
        for index in 0..TASKS {
            let now = Instant::now();
            if running.contains(&format!("{job}.0.0.{index}")) {
                (idle_since[index], last_run[index]) = (None, now);
                continue;
            }
            // The rule holds from 6 s after the last run, for 3 s after 4 s that were calm as well. Calm is
            // counted from `contact-ms` (3 s) and 2 s more after the last executor was up again.
            let is_judged = now.saturating_duration_since(calm_since) >= seconds(3 + 2 + 4)
                && now.saturating_duration_since(last_run[index]) >= seconds(6);
            if !is_judged {
                continue;
            }
            let since = *idle_since[index].get_or_insert(now);
            if now - since >= seconds(3) {
                let (at, still) = ((now - calm_since).as_secs_f64(), TASKS - running.len());
                cluster.record.line(&format!(
                    "task {index} had no run for 3 s, {at:.1} s after the last executor was up again; {still} tasks do not run"
                ));
                is_broken = true;
                break;
            }
        }
    }
    cluster.state(2, "/refresh/", &job);
    is_broken
}

/// LOST: a job waits while the service is idle.
fn penalty(record: Arc<Record>, has_trouble: bool) -> bool {
    let queues = [Queue { prefix: "/recode/", priority: 0, max_attempts: 2 }];
    let cluster = Cluster::start(record, &queues, kinds(3, 8_000), 3);
    sleep(2_000);
    let small = [step(1, 1_000, 256, 50)];
    for id in 100..140 {
        cluster.submit(1, "/recode/", id, "done 50 1000", &small);
        sleep(50);
    }
    // One job of 42 can never be done; it fills the service.
    let work = if has_trouble { "fail 8000 1000" } else { "done 8000 1000" };
    cluster.submit(1, "/recode/", 200, work, &[step(24, 1_000, 256, 8_000)]);
    let job = cluster.submit(1, "/recode/", 202, "done 500 4000", &[step(1, 4_000, 256, 500)]);
    let end_of_traffic = Instant::now();
    let is_idle = || cluster.running(&job) == 0 && cluster.all_running() <= 11;
    watch_from(&cluster, end_of_traffic, &job, is_idle)
}

/// LOST: a job waits for a rack that is gone.
fn rack(record: Arc<Record>, has_trouble: bool) -> bool {
    let queues = [Queue { prefix: "/recode/", priority: 0, max_attempts: 2 }];
    let mut kinds = kinds(7, 8_000);
    kinds[6].rack = "r9".into();
    let cluster = Cluster::start(record, &queues, kinds, 3);
    sleep(2_000);
    if has_trouble {
        cluster.executors[6].crash();
    }
    sleep(3_000);
    let near = with(step(1, 1_000, 256, 12_000), "data-rack", s("r9"));
    // It takes 10 s on that rack, and would take three times as long on another.
    let job = cluster.submit(1, "/recode/", 202, "done 10000 1000", &[near]);
    let end_of_traffic = Instant::now();
    let is_idle = || cluster.running(&job) == 0;
    watch_from(&cluster, end_of_traffic, &job, is_idle)
}

/// From `finish_s` after the end of the traffic on: true if the job, which is not completed, has
/// nothing running for 3 s while the service is idle.
fn watch_from(cluster: &Cluster, end_of_traffic: Instant, job: &str, is_idle: impl Fn() -> bool) -> bool {
    let (finish, standstill) = (Duration::from_secs(14), Duration::from_secs(3));
    let mut idle_since: Option<Instant> = None;
    let mut is_completed = false;
    let mut asked = Instant::now();
    while end_of_traffic.elapsed() < finish + Duration::from_secs(20) {
        if asked.elapsed() >= Duration::from_millis(500) {
            asked = Instant::now();
            let state = cluster.state(2, "/recode/", job).unwrap_or_default();
            is_completed = state == "completed";
        }
        if is_completed {
            return false;
        }
        let is_judged = end_of_traffic.elapsed() >= finish;
        if is_judged && is_idle() && cluster.record.starts_of(job) == 0 {
            let since = *idle_since.get_or_insert_with(Instant::now);
            if since.elapsed() >= standstill {
                cluster.record.line(&format!("{job} had nothing running for 3 s while the service was idle"));
                return true;
            }
        } else {
            idle_since = None;
        }
        sleep(20);
    }
    false
}

/// MIXED: the count of waiting jobs leaves out jobs that have not begun.
fn waiting(record: Arc<Record>, has_trouble: bool) -> bool {
    let queues = [
        Queue { prefix: "/recode/", priority: 0, max_attempts: 2 },
        Queue { prefix: "/wide/", priority: 0, max_attempts: 2 },
    ];
    let mut kinds = kinds(7, 8_000);
    kinds[6].label = "b".into();
    let cluster = Cluster::start(record, &queues, kinds, 3);
    sleep(3_500);
    if has_trouble {
        cluster.executors[6].set_refuses(true);
    }
    let needs = with(step(1, 500, 256, 60_000), "requires", s("b"));
    let jobs: Vec<String> = (1..=10).map(|id| cluster.submit(1, "/wide/", id, "done 60000 500", std::slice::from_ref(&needs))).collect();
    let accepted = Instant::now();
    let mut is_broken = false;
    while accepted.elapsed() < Duration::from_millis(6_200) {
        sleep(100);
        if accepted.elapsed() < Duration::from_millis(5_100) {
            continue;
        }
        for node in 0..3 {
            let not_begun = |jobs: &[String]| jobs.iter().filter(|job| cluster.record.starts_of(job) == 0).count() as u64;
            let shown = cluster.waiting(node, "/wide/");
            // Counted after the answer: those that begin meanwhile are not owed.
            let owed = not_begun(&jobs);
            if let Some(shown) = shown.filter(|shown| shown * 2 < owed) {
                cluster.record.line(&format!("node {node} gives {shown} as waiting; {owed} jobs have not begun"));
                is_broken = true;
            }
        }
    }
    cluster.executors[6].set_refuses(false);
    is_broken
}

/// ROUTE: a task starts on an executor without the label in `requires`.
fn kind(record: Arc<Record>, has_trouble: bool) -> bool {
    let queues = [Queue { prefix: "/recode/", priority: 0, max_attempts: 2 }];
    let mut kinds = kinds(7, 8_000);
    kinds[4..].iter_mut().for_each(|kind| kind.label = "b".into());
    let cluster = Cluster::start(record, &queues, kinds, 3);
    sleep(2_000);
    let mut is_broken = false;
    for (round, x) in [(0, 6), (1, 5)] {
        let executor = &cluster.executors[x];
        if has_trouble {
            executor.crash();
            sleep(1_000);
            executor.set_label("a");
            executor.come_up(&cluster.store).expect("the executor starts again");
            sleep(60);
        }
        let needs = with(step(1, 1_000, 256, 300), "requires", s("b"));
        let job = cluster.submit(1, "/recode/", 10 + round, "done 300 1000", &[needs]);
        for _ in 0..100 {
            sleep(20);
            for executor in &cluster.executors {
                if executor.label() != "b" && executor.running().iter().any(|task| task.starts_with(&job)) {
                    let (id, label) = (&executor.kind.id, executor.label());
                    cluster.record.line(&format!("{job}, which requires kind b, runs on {id} of kind {label}"));
                    is_broken = true;
                }
            }
        }
        if is_broken {
            break;
        }
    }
    is_broken
}

/// UNASKED: the members of a gang are started with different checkpoints.
fn gang(record: Arc<Record>, has_trouble: bool) -> bool {
    let queues = [Queue { prefix: "/recode/", priority: 0, max_attempts: 4 }];
    let cluster = Cluster::start(record, &queues, kinds(7, 8_000), 3);
    sleep(2_000);
    let members = with(step(7, 5_000, 256, 6_000), "gang", Json::Bool(true));
    let members = with(members, "checkpointing", Json::Bool(true));
    let job = cluster.submit(1, "/recode/", 2, "done 6000 5000 gang 7", &[members]);
    sleep(2_200);
    if has_trouble {
        // One of seven executors crashes; the gang waits for its room. Then one node is killed.
        cluster.crash(6, Duration::from_millis(4_000));
        sleep(1_500);
        cluster.kill_last_writer();
    }
    let end = Instant::now() + Duration::from_secs(30);
    while Instant::now() < end && cluster.record.ends_of(&job, "done") == 0 {
        sleep(500);
    }
    let mut is_broken = false;
    for (run, starts) in cluster.record.checkpoints_of(&job) {
        let first = &starts[0].1;
        if starts.iter().any(|(_, checkpoint)| checkpoint != first) {
            cluster.record.line(&format!("the members of run {run} were started with {starts:?}"));
            is_broken = true;
        }
    }
    is_broken
}
