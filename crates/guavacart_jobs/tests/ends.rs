//! Tests of ended runs that are read and acknowledged in several lists.

mod support;

use guavacart_jobs::{
    Effect, EndedRun, Event, ExecutorId, HoldReport, JobOutcome, RunOutcome, Step,
};
use guavacart_types::{ByteSize, Incarnation, Processors, Span, Timestamp};
use support::{FIRST_INCARNATION, Harness, StartedRun, job, step};

/// A step of tasks that need next to nothing, so that many of them run on one executor.
fn small_tasks(count: u16) -> Step {
    let mut small = step(count);
    small.resources.processors = Processors(5);
    small.resources.memory = ByteSize::mib(1);
    small
}

fn new_starts(harness: &mut Harness) -> Vec<StartedRun> {
    std::iter::from_fn(|| harness.next_start()).collect()
}

/// Guards against ends that are never acknowledged: more runs than one list holds end between two
/// holds, so that no list shows the last of them running or ended.
#[test]
fn runs_that_end_unlisted_behind_a_full_list_are_acknowledged() {
    let mut harness = Harness::new(&["a"]);
    harness.accept(1, job(vec![small_tasks(1_200)]));
    for _ in 0..400 {
        harness.run_for(50);
        for started in new_starts(&mut harness) {
            harness.complete_run(&started);
        }
    }
    assert_eq!(harness.outcome(1), Some(JobOutcome::Completed));
}

/// Guards against starts that stop for good because runs end faster than holds are answered.
#[test]
fn short_tasks_keep_nine_tenths_of_an_executor_in_use() {
    let mut harness = Harness::new(&["a"]);
    let mut short = step(8_000);
    short.resources.processors = Processors(1_000);
    harness.accept(1, job(vec![short]));
    harness.run_for(20);
    let (begin, mut running, mut done) = (harness.now(), Vec::new(), 0);
    while harness.now() < begin + 10_000 {
        running.extend(new_starts(&mut harness));
        let now = harness.now();
        let (ended, rest): (Vec<StartedRun>, Vec<StartedRun>) = running
            .into_iter()
            .partition(|started| now >= started.started_at + 50);
        running = rest;
        done += ended.len();
        for started in &ended {
            harness.complete_run(started);
        }
        if !ended.is_empty() {
            harness.report_ends();
        }
        harness.run_for(5);
    }
    // Eight tasks at once, of 50 ms and the 9 ms from an end to the next start each.
    let most = 10_000 / 59 * 8;
    assert!(done * 10 >= most * 9, "{done} of {most} tasks were done");
}

/// Guards against ends of an executor's next incarnation that are never acknowledged, since the answer
/// to a hold that was meant for the former one counts as their acknowledgement.
#[test]
fn a_hold_for_a_former_incarnation_acknowledges_no_end_of_the_next() {
    let mut harness = Harness::new(&["a"]);
    harness.accept(1, job(vec![step(2)]));
    harness.run_for(20);
    let [first, second] = &new_starts(&mut harness)[..] else {
        panic!("both tasks start at once");
    };
    harness.complete_run(first);
    harness.report_ends();
    let acknowledging = |harness: &Harness, from: usize| {
        let mut effects = harness.effects()[from..].iter();
        effects.find_map(|effect| match effect {
            Effect::Hold(_, order) if order.acknowledged == 1 => Some(order.wait > Span::ZERO),
            _ => None,
        })
    };
    while acknowledging(&harness, 0).is_none() {
        harness.run_for(1);
    }
    let is_long_poll = acknowledging(&harness, 0).expect("a hold");
    let report = HoldReport {
        incarnation: Incarnation(FIRST_INCARNATION.0 + 1),
        clock_ms: 1_000,
        running: Vec::new(),
        ended: vec![EndedRun {
            number: 1,
            task: second.task,
            run: second.run,
            outcome: RunOutcome::Done,
            checkpoint: "".into(),
        }],
        has_more_ends: false,
    };
    let sent = Timestamp(harness.now());
    let executor = ExecutorId::from("a");
    let before = harness.effects().len();
    harness.apply(Event::LateReport {
        executor: executor.clone(),
        sent,
        report: report.clone(),
    });
    let save = loop {
        let saves = harness.effects()[before..].iter();
        let mut saves = saves.filter_map(|effect| match effect {
            Effect::Save(order) => Some(order.number),
            _ => None,
        });
        if let Some(save) = saves.next() {
            break save;
        }
        harness.stand_still(1);
        harness.apply(Event::Tick);
    };
    harness.apply(Event::Saved { save });
    let stored = harness.effects().len();
    harness.apply(Event::HoldAnswered {
        executor,
        sent,
        report: Ok(report),
        is_long_poll,
    });
    assert!(acknowledging(&harness, stored).is_some());
}
