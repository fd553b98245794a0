//! How slots are shared between teams and classes under overload.

use guavacart_config::{Queueing, Service};
use guavacart_types::{Class, Outcome, Span};

use crate::{
    assert_guarantees, ready,
    simulation::{Sent, Setup, Simulation, head},
};

/// A stream of requests: one every `every` milliseconds.
struct Stream {
    team: &'static str,
    class: Class,
    every: u64,
}

/// Sends the streams for `ms` milliseconds and waits 5 s for the answers.
fn send_streams(simulation: &mut Simulation, ms: u64, streams: &[Stream]) {
    let end = simulation.now + ms;
    let mut elapsed_ms = 0;
    while simulation.now < end {
        for stream in streams {
            if elapsed_ms % stream.every == 0 {
                let instance = simulation.draw(3) as usize;
                let id = format!("r{}", simulation.sent.len());
                simulation.send(instance, head(&id, stream.team, stream.class, true));
            }
        }
        elapsed_ms += 1;
        simulation.run(simulation.now + 1);
    }
    simulation.run(simulation.now + 5_000);
}

/// Returns the 99th percentile of the latency of answered requests, in milliseconds, and the share of
/// requests that were not answered, in percent.
fn p99_and_unanswered(simulation: &Simulation, select: impl Fn(&Sent) -> bool) -> (u64, usize) {
    let mut latencies = Vec::new();
    let mut total = 0;
    for sent in simulation.sent.iter().filter(|s| select(s)) {
        total += 1;
        let answer = sent.answers.iter().find(|(_, o)| *o == Outcome::Answered);
        latencies.extend(answer.map(|(at, _)| at - sent.at));
    }
    latencies.sort_unstable();
    let p99 = latencies[latencies.len() * 99 / 100];
    (p99, (total - latencies.len()) * 100 / total)
}

fn setup(queueing: Queueing, admission: bool) -> Setup {
    let service = Service {
        slots: 4,
        short_slots: 1,
        queueing,
        admission,
        ..Service::default()
    };
    Setup {
        service,
        ..Setup::default()
    }
}

/// The load of a team within its share.
const MODERATE: Stream = Stream {
    team: "blue",
    class: Class::Short,
    every: 4,
};
/// Two or more of these streams overload the endpoints.
const FLOOD: Stream = Stream {
    team: "red",
    class: Class::Short,
    every: 1,
};
const LONG: Stream = Stream {
    team: "red",
    class: Class::Long,
    every: 30,
};

#[test]
fn flood_of_one_team_does_not_slow_another() {
    let run = |queueing| {
        let mut simulation = ready(setup(queueing, true));
        send_streams(&mut simulation, 5_000, &[MODERATE, FLOOD, FLOOD]);
        assert_guarantees(&simulation, false, false);
        p99_and_unanswered(&simulation, |s| s.head.team.as_str() == "blue")
    };
    let (fair, unanswered) = run(Queueing::Fair);
    let (fifo, unanswered_fifo) = run(Queueing::Fifo);
    println!(
        "fair {fair} ms, {unanswered}% not answered; fifo {fifo} ms, {unanswered_fifo}% not answered"
    );
    assert!(fair * 4 < fifo && unanswered == 0);
}

#[test]
fn long_requests_do_not_delay_short_ones() {
    let run = |queueing| {
        let mut simulation = ready(setup(queueing, true));
        send_streams(&mut simulation, 6_000, &[MODERATE, LONG]);
        assert_guarantees(&simulation, false, false);
        p99_and_unanswered(&simulation, |s| s.head.class == Class::Short)
    };
    let (fair, unanswered) = run(Queueing::Fair);
    let (fifo, _) = run(Queueing::Fifo);
    println!("fair {fair} ms, {unanswered}% not answered; fifo {fifo} ms");
    assert!(fair < fifo && unanswered == 0);
}

#[test]
fn admission_does_not_reduce_goodput_under_overload() {
    let run = |admission| {
        let mut simulation = ready(setup(Queueing::Fair, admission));
        send_streams(&mut simulation, 8_000, &[FLOOD, FLOOD, FLOOD]);
        let is_answered = |s: &&Sent| s.answers.iter().any(|(_, o)| *o == Outcome::Answered);
        assert_guarantees(&simulation, false, false);
        simulation.sent.iter().filter(is_answered).count()
    };
    let (with_admission, without_admission) = (run(true), run(false));
    println!("{with_admission} answered with admission, {without_admission} without");
    assert!(with_admission >= without_admission);
}

/// If all requests are slower than declared, they must not all be treated as long: the slots reserved
/// for short requests would then stay idle.
#[test]
fn reserved_short_slots_are_used_when_all_short_requests_are_slow() {
    let run = |short_slots| {
        let mut setup = setup(Queueing::Fair, true);
        setup.service.short_slots = short_slots;
        setup.service.short_time = Span::millis(1);
        setup.service.long_time = Span::millis(4);
        let mut simulation = ready(setup);
        send_streams(&mut simulation, 4_000, &[FLOOD, FLOOD, FLOOD]);
        assert_guarantees(&simulation, false, false);
        let is_answered = |s: &&Sent| s.answers.iter().any(|(_, o)| *o == Outcome::Answered);
        simulation.sent.iter().filter(is_answered).count()
    };
    let (reserved, unreserved) = (run(1), run(0));
    println!("{reserved} answered with a reserved slot, {unreserved} without");
    assert!(reserved * 100 >= unreserved * 95);
}

#[test]
fn flood_does_not_slow_a_team_that_needs_several_instances() {
    let moderate = Stream {
        every: 3,
        ..MODERATE
    };
    let run = |flood: &[Stream]| {
        let mut simulation = ready(setup(Queueing::Fair, true));
        let mut all = vec![Stream { ..moderate }];
        all.extend(flood.iter().map(|stream| Stream { ..*stream }));
        send_streams(&mut simulation, 5_000, &all);
        assert_guarantees(&simulation, false, false);
        p99_and_unanswered(&simulation, |s| s.head.team.as_str() == "blue")
    };
    let (alone, _) = run(&[]);
    let (flooded, unanswered) = run(&[FLOOD, FLOOD, FLOOD, FLOOD]);
    println!("{alone} ms alone, {flooded} ms under a flood, {unanswered}% not answered");
    assert!(unanswered == 0 && flooded < alone * 2);
}
