//! The cases. Each begins its disruption only if `has_trouble`.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::executor::Fleet;
use crate::http::{Answer, Request};
use crate::json::{Json, quote};
use crate::world::{Queue, World, sleep_ms};

const HOST: &str = "jobs.example";

fn queue(advice: Option<&'static str>) -> Queue {
    Queue {
        name: "r-main",
        host: HOST,
        prefix: "/main/",
        priority: 0,
        attempts: 4,
        advice,
    }
}

fn verdict(world: &mut World, faults: &[String]) -> i32 {
    for fault in faults {
        world.log.line(&format!("BROKEN: {fault}"));
        println!("BROKEN: {fault}");
    }
    if faults.is_empty() {
        world.log.line("the rule held");
        println!("the rule held");
    }
    world.finish();
    i32::from(!faults.is_empty())
}

fn cannot_run(world: &mut World, why: &str) -> i32 {
    world.log.line(why);
    println!("{why}");
    world.finish();
    2
}

/// Hands a job in; true if it was accepted.
fn submit(world: &World, node: usize, path: &str, body: &str) -> bool {
    for _ in 0..5 {
        if let Some((status, _)) = world.client(node, "POST", HOST, path, body) {
            if (200..300).contains(&status) {
                return true;
            }
        }
        sleep_ms(300);
    }
    false
}

/// Two jobs that can never be done fail on the executor that other jobs need.
pub fn penalty(record: &str, has_trouble: bool) -> i32 {
    let ids: Vec<String> = (1..=10).map(|n| format!("i-{n:04}")).collect();
    let executors: Vec<(&str, &[&str])> = ids
        .iter()
        .map(|id| -> (&str, &[&str]) {
            if id == "i-0010" {
                (id, &["b", "r1-2"])
            } else {
                (id, &["a", "r1-1"])
            }
        })
        .collect();
    let mut world = World::start(record, 3, 2_000, &[queue(None)], None, &executors);
    let mut accepted = Vec::new();
    let begun = Instant::now();
    // 48 jobs in 3.4 s, of which two can never be done; the last needs the same executor.
    for number in 0..48_u64 {
        std::thread::sleep(Duration::from_millis(70 * number).saturating_sub(begun.elapsed()));
        let id = format!("0000000000000b{number:02}");
        let poison = has_trouble && (number == 38 || number == 44);
        let is_last = number == 47;
        let body = if number == 38 || number == 44 {
            let work = if poison {
                "work=150 fail=1"
            } else {
                "work=150"
            };
            format!(
                r#"{{"spec":"{work}","steps":[{{"count":6,"cpu":1000,"mem-mb":512,"estimate-ms":500,"requires":"b"}}]}}"#
            )
        } else if is_last {
            r#"{"spec":"work=1500","steps":[{"count":1,"cpu":1000,"mem-mb":512,"estimate-ms":1500,"requires":"b"},{"count":1,"cpu":1000,"mem-mb":512,"estimate-ms":1500,"requires":"b","after":[0]}]}"#.to_owned()
        } else {
            r#"{"spec":"work=600","steps":[{"count":3,"cpu":1000,"mem-mb":512,"estimate-ms":600}]}"#
                .to_owned()
        };
        if !submit(&world, (number % 3) as usize, &format!("/main/{id}"), &body) {
            return cannot_run(&mut world, "a job was not accepted");
        }
        accepted.push((id, poison));
    }
    let traffic_end = world.log.ms();
    world.log.line("the traffic ends");
    // `finish_s` after the end of the traffic.
    let mut idle_since: BTreeMap<String, u64> = BTreeMap::new();
    let mut faults = Vec::new();
    let mut reported: BTreeSet<String> = BTreeSet::new();
    while world.log.ms() < traffic_end + 32_000 {
        sleep_ms(100);
        let now = world.log.ms();
        let ends = world.fleet.ends.lock().unwrap().clone();
        for (id, is_poison) in &accepted {
            let steps = if id.ends_with("47") { 2 } else { 1 };
            let per_step = if id.ends_with("38") || id.ends_with("44") {
                6
            } else {
                3
            };
            let needed = if id.ends_with("47") {
                2
            } else {
                per_step * steps
            };
            let done = ends
                .iter()
                .filter(|e| e.task.starts_with(id.as_str()) && e.how == "done")
                .count();
            if *is_poison
                || done >= needed
                || world.fleet.at_work(id) > 0
                || now < traffic_end + 14_000
            {
                idle_since.remove(id);
                continue;
            }
            let since = *idle_since.entry(id.clone()).or_insert(now);
            if now - since >= 3_000 && reported.insert(id.clone()) {
                faults.push(format!(
                    "LOST: job {id} has nothing running for {} ms, {} ms after the end of the traffic, with an idle executor that may run its task",
                    now - since,
                    now - traffic_end
                ));
            }
        }
    }
    for (id, _) in &accepted[38..] {
        world.state(0, HOST, &format!("/main/{id}"));
    }
    verdict(&mut world, &faults)
}

/// Jobs that are known to be idle although they could run: since when, by job.
fn check_idle(
    world: &World,
    jobs: &[(String, usize)],
    from_ms: u64,
    until_ms: u64,
    traffic_end: u64,
) -> Vec<String> {
    let mut idle_since: BTreeMap<String, u64> = BTreeMap::new();
    let mut reported: BTreeSet<String> = BTreeSet::new();
    let mut faults = Vec::new();
    while world.log.ms() < until_ms {
        sleep_ms(100);
        let now = world.log.ms();
        let ends = world.fleet.ends.lock().unwrap().clone();
        for (id, tasks) in jobs {
            let done = ends
                .iter()
                .filter(|e| e.task.starts_with(id.as_str()) && e.how == "done");
            if now < from_ms || done.count() >= *tasks || world.fleet.at_work(id) > 0 {
                idle_since.remove(id);
                continue;
            }
            let since = *idle_since.entry(id.clone()).or_insert(now);
            if now - since >= 3_000 && reported.insert(id.clone()) {
                faults.push(format!(
                    "LOST: job {id} has nothing running for {} ms, {} ms after the end of the traffic, in an idle service",
                    now - since,
                    now - traffic_end
                ));
            }
        }
    }
    faults
}

/// An executor is slow for a while; jobs that only it can run come after it is fast again.
pub fn slow(record: &str, has_trouble: bool) -> i32 {
    let ids: Vec<String> = (1..=10).map(|n| format!("i-{n:04}")).collect();
    let executors: Vec<(&str, &[&str])> = ids
        .iter()
        .map(|id| -> (&str, &[&str]) {
            if id == "i-0010" {
                (id, &["b", "r1-2"])
            } else {
                (id, &["a", "r1-1"])
            }
        })
        .collect();
    let mut world = World::start(record, 3, 2_000, &[queue(None)], None, &executors);
    let mut jobs: Vec<(String, usize)> = Vec::new();
    let mut hand_in = |world: &World, number: usize, tasks: usize, body: String| {
        let id = format!("0000000000005{number:03}");
        let is_accepted = submit(world, number % 3, &format!("/main/{id}"), &body);
        jobs.push((id, tasks));
        is_accepted
    };
    let small = |label: &str| {
        format!(
            r#"{{"spec":"work=500","steps":[{{"count":3,"cpu":1000,"mem-mb":512,"estimate-ms":500{label}}}]}}"#
        )
    };
    let long = r#"{"spec":"work=18000","steps":[{"count":1,"cpu":1000,"mem-mb":512,"estimate-ms":18000,"requires":"b"}]}"#;
    let mut number = 0;
    let mut is_accepted = true;
    for _ in 0..8 {
        is_accepted &= hand_in(&world, number, 3, small(""));
        number += 1;
        sleep_ms(250);
    }
    if has_trouble {
        world.fleet.set("i-0010", |e| e.slowness = 6.5);
        world
            .log
            .line("executor i-0010 works 6.5 times as long from now on");
    }
    let begun = Instant::now();
    for round in 0..8 {
        is_accepted &= hand_in(&world, number, 3, small(""));
        number += 1;
        if round < 4 {
            is_accepted &= hand_in(&world, number, 3, small(r#","requires":"b""#));
            number += 1;
        }
        sleep_ms(500);
    }
    std::thread::sleep(Duration::from_secs(7).saturating_sub(begun.elapsed()));
    if has_trouble {
        world.fleet.set("i-0010", |e| e.slowness = 1.0);
        world.log.line("executor i-0010 works as fast as before");
    }
    sleep_ms(4_000);
    let gang = r#"{"spec":"work=18000 gang=2","steps":[{"count":2,"cpu":1000,"mem-mb":512,"estimate-ms":18000,"gang":true,"requires":"b"}]}"#;
    for (tasks, body) in [(1, long), (1, long), (2, gang)] {
        is_accepted &= hand_in(&world, number, tasks, body.to_owned());
        number += 1;
        sleep_ms(100);
    }
    if !is_accepted {
        return cannot_run(&mut world, "a job was not accepted");
    }
    let end = world.log.ms();
    world.log.line("the traffic ends");
    // `finish_s` after the end of the traffic.
    let faults = check_idle(&world, &jobs, end + 14_000, end + 24_000, end);
    for (id, _) in jobs.iter().rev().take(3) {
        world.state(0, HOST, &format!("/main/{id}"));
    }
    verdict(&mut world, &faults)
}

/// A gang with checkpoints loses one executor, and the owner's process is killed while the gang waits
/// for room, which comes with a new executor.
pub fn gang(record: &str, has_trouble: bool) -> i32 {
    let ids: Vec<String> = (1..=10).map(|n| format!("i-{n:04}")).collect();
    let executors: Vec<(&str, &[&str])> = ids
        .iter()
        .map(|id| -> (&str, &[&str]) {
            if id.as_str() > "i-0006" {
                (id, &["b", "r1-2"])
            } else {
                (id, &["a", "r1-1"])
            }
        })
        .collect();
    let mut world = World::start(record, 3, 500, &[queue(None)], None, &executors);
    let gang = "00000000000000d1";
    let body = r#"{"spec":"work=14000 gang=4 saves=1","steps":[{"count":4,"cpu":20000,"mem-mb":40000,"estimate-ms":14000,"gang":true,"checkpointing":true,"requires":"b"}]}"#;
    if !submit(&world, 0, &format!("/main/{gang}"), body) {
        return cannot_run(&mut world, "the job was not accepted");
    }
    sleep_ms(4_300);
    if world.fleet.at_work(gang) != 4 {
        return cannot_run(&mut world, "the gang does not run");
    }
    let mut calm_from = world.log.ms();
    if has_trouble {
        let starts = world.fleet.starts.lock().unwrap().clone();
        let last = starts
            .iter()
            .find(|s| s.task == format!("{gang}.0.0.3"))
            .map(|s| s.executor.clone());
        let Some(lost) = last else {
            return cannot_run(&mut world, "no start was seen");
        };
        world.fleet.down(&lost);
        sleep_ms(2_000);
        let Some(owner) = world.owner() else {
            return cannot_run(&mut world, "no owner");
        };
        world.kill_node(owner);
        sleep_ms(1_000);
        world.start_node(owner);
        calm_from = world.log.ms();
        sleep_ms(300);
        world.store.remove(&format!("servers/{lost}"));
        world.log.line(&format!("the entry of {lost} is removed"));
        sleep_ms(7_000);
        world.add_executor(10, "i-0011", &["b", "r1-2"]);
    }
    sleep_ms(30_000);
    let mut faults = Vec::new();
    let starts = world.fleet.starts.lock().unwrap().clone();
    let ends = world.fleet.ends.lock().unwrap().clone();
    let mut runs: Vec<u64> = starts
        .iter()
        .filter(|s| s.task.starts_with(gang))
        .map(|s| s.run)
        .collect();
    runs.sort_unstable();
    runs.dedup();
    for run in runs {
        let of_run: Vec<_> = starts
            .iter()
            .filter(|s| s.task.starts_with(gang) && s.run == run)
            .collect();
        let mut carried: Vec<&str> = of_run.iter().map(|s| s.checkpoint.as_str()).collect();
        carried.sort_unstable();
        carried.dedup();
        world.log.line(&format!(
            "run {run}: {} starts with the checkpoints {carried:?}",
            of_run.len()
        ));
        let alone = ends
            .iter()
            .filter(|e| e.task.starts_with(gang) && e.run == run && e.how == "alone");
        let alone: Vec<_> = alone.collect();
        if let Some(first) = alone.first() {
            let since = first.at.saturating_sub(calm_from);
            faults.push(format!(
                "GANG: {} members of run {run} end `alone`, {since} ms after all is calm; its starts carried {carried:?}",
                alone.len()
            ));
        }
    }
    world.state(0, HOST, &format!("/main/{gang}"));
    verdict(&mut world, &faults)
}

/// The advice service allows two kinds of executors. The one that a step has a ticket for is lost.
pub fn advice(record: &str, has_trouble: bool) -> i32 {
    let ids: Vec<String> = (1..=16).map(|n| format!("i-{n:04}")).collect();
    let executors: Vec<(&str, &[&str])> = ids
        .iter()
        .map(|id| -> (&str, &[&str]) { (id, &["a", "r1-1"]) })
        .collect();
    let advise = Box::new(|fleet: &Fleet, req: &Request| {
        let body = Json::parse(&req.body).unwrap_or(Json::Null);
        let asked: Vec<&str> = body.get("workers").list().iter().map(Json::str).collect();
        std::thread::sleep(Duration::from_millis(20 + 2 * asked.len() as u64));
        // The policy allows each fifth executor to run the step.
        let is_allowed = |id: &&&str| matches!(**id, "i-0003" | "i-0008" | "i-0013");
        let good = asked.iter().filter(is_allowed).filter_map(|id| {
            let state = fleet.state.lock().unwrap();
            let life = state.executors.get(*id)?.life.as_ref()?;
            Some(format!(
                "[{},{}]",
                quote(id),
                quote(&format!("t-{id}-{}", life.born))
            ))
        });
        let good: Vec<String> = good.collect();
        let answer = format!("{{\"good\":[{}],\"validity-ms\":30000}}", good.join(","));
        fleet.log.line(&format!(
            "advice on {} for {asked:?}: {answer}",
            body.get("step").str()
        ));
        Answer::Reply(200, answer)
    });
    let queue = queue(Some(
        r#"{"decision-ms":20,"period-ms":2,"validity-ms":30000}"#,
    ));
    let mut world = World::start(record, 3, 2_000, &[queue], Some(advise), &executors);
    let service = "00000000000000e1";
    let body = r#"{"spec":"lasts=1 ticket=1","steps":[{"count":1,"cpu":2000,"mem-mb":1024,"estimate-ms":1000,"long-running":true}]}"#;
    if !submit(&world, 0, &format!("/main/{service}"), body) {
        return cannot_run(&mut world, "the job was not accepted");
    }
    sleep_ms(2_000);
    let starts = world.fleet.starts.lock().unwrap().clone();
    let Some(first) = starts.iter().find(|s| s.task.starts_with(service)) else {
        return cannot_run(&mut world, "the task does not run");
    };
    let mut faults = Vec::new();
    let lost_at = world.log.ms();
    if has_trouble {
        world.fleet.down(&first.executor);
        sleep_ms(3_300);
        world.store.remove(&format!("servers/{}", first.executor));
        world
            .log
            .line(&format!("the entry of {} is removed", first.executor));
    }
    sleep_ms(lost_at + 26_000 - world.log.ms());
    let starts = world.fleet.starts.lock().unwrap().clone();
    let mut later = starts
        .iter()
        .filter(|s| s.task.starts_with(service) && s.at > lost_at);
    let waited = later.next().map(|next| next.at - lost_at);
    let at_work = world.fleet.at_work(service);
    world.log.line(&format!(
        "the task starts again after {waited:?} ms; it runs {at_work} times at the end"
    ));
    // The entry goes after 3.3 s; `contact-ms`, 4 s of calm and 3 s with room for the task follow. That is
    // later than 6 s after its last run and 3 s more.
    let stood_still = waited.map_or(26_000, |ms| ms);
    if has_trouble && stood_still > 13_300 {
        faults.push(format!(
            "LOST: the task that lasts doesn't run for {stood_still} ms after its executor was lost, with 15 idle executors, two of which may run it"
        ));
    }
    if !has_trouble && (waited.is_some() || at_work != 1) {
        faults.push("LOST: the task that lasts doesn't go on".to_owned());
    }
    verdict(&mut world, &faults)
}
