//! Who gets the slots when there are not enough.

use guavacart_config::{Queueing, Service};
use guavacart_types::{Class, Outcome, Span};

use crate::{
    assert_kept,
    model::{Model, Sent, Setup, head},
    ready,
};

/// One stream of requests, one every `every` milliseconds.
struct Stream {
    team: &'static str,
    class: Class,
    every: u64,
}

fn streams(model: &mut Model, ms: u64, streams: &[Stream]) {
    let end = model.now + ms;
    let mut turn = 0;
    while model.now < end {
        for stream in streams {
            if turn % stream.every == 0 {
                let node = model.draw(3) as usize;
                let id = format!("r{}", model.sent.len());
                model.send(node, head(&id, stream.team, stream.class, true));
            }
        }
        turn += 1;
        model.run(model.now + 1);
    }
    model.run(model.now + 5_000);
}

/// The 99th percentile of the latency of answers, and the share that was not answered, in percent.
fn judge(model: &Model, select: impl Fn(&Sent) -> bool) -> (u64, usize) {
    let mut times = Vec::new();
    let mut all = 0;
    for sent in model.sent.iter().filter(|s| select(s)) {
        all += 1;
        let whole = sent.answers.iter().find(|(_, o)| *o == Outcome::Answered);
        times.extend(whole.map(|(at, _)| at - sent.at));
    }
    times.sort_unstable();
    let p99 = times[times.len() * 99 / 100];
    (p99, (all - times.len()) * 100 / all)
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

const CALM: Stream = Stream {
    team: "blue",
    class: Class::Short,
    every: 4,
};
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
fn a_flood_of_one_team_leaves_the_other_alone() {
    let run = |queueing| {
        let mut model = ready(setup(queueing, true));
        streams(&mut model, 5_000, &[CALM, FLOOD, FLOOD]);
        assert_kept(&model, false, false);
        judge(&model, |s| s.head.team.as_str() == "blue")
    };
    let (fair, refused) = run(Queueing::Fair);
    let (fifo, refused_fifo) = run(Queueing::Fifo);
    println!("fair {fair} ms, {refused}% refused; fifo {fifo} ms, {refused_fifo}% refused");
    assert!(fair * 4 < fifo && refused == 0);
}

#[test]
fn long_requests_do_not_hold_up_short_ones() {
    let run = |queueing| {
        let mut model = ready(setup(queueing, true));
        streams(&mut model, 6_000, &[CALM, LONG]);
        assert_kept(&model, false, false);
        judge(&model, |s| s.head.class == Class::Short)
    };
    let (fair, refused) = run(Queueing::Fair);
    let (fifo, _) = run(Queueing::Fifo);
    println!("fair {fair} ms, {refused}% refused; fifo {fifo} ms");
    assert!(fair < fifo && refused == 0);
}

#[test]
fn goodput_holds_at_the_crest() {
    let run = |admission| {
        let mut model = ready(setup(Queueing::Fair, admission));
        streams(&mut model, 8_000, &[FLOOD, FLOOD, FLOOD]);
        let whole = |s: &&Sent| s.answers.iter().any(|(_, o)| *o == Outcome::Answered);
        assert_kept(&model, false, false);
        model.sent.iter().filter(whole).count()
    };
    let (with, without) = (run(true), run(false));
    println!("{with} answered with admission, {without} without");
    assert!(with >= without);
}

#[test]
fn slots_kept_for_short_requests_serve_them_when_all_prove_slow() {
    let run = |short_slots| {
        let mut setup = setup(Queueing::Fair, true);
        setup.service.short_slots = short_slots;
        setup.service.short_time = Span::millis(1);
        setup.service.long_time = Span::millis(4);
        let mut model = ready(setup);
        streams(&mut model, 4_000, &[FLOOD, FLOOD, FLOOD]);
        assert_kept(&model, false, false);
        let whole = |s: &&Sent| s.answers.iter().any(|(_, o)| *o == Outcome::Answered);
        model.sent.iter().filter(whole).count()
    };
    let (kept, none_kept) = (run(1), run(0));
    println!("{kept} answered with a slot kept, {none_kept} without");
    assert!(kept * 100 >= none_kept * 95);
}

#[test]
fn a_flood_leaves_alone_a_team_that_needs_more_than_one_instance_has() {
    let calm = Stream { every: 3, ..CALM };
    let run = |flood: &[Stream]| {
        let mut model = ready(setup(Queueing::Fair, true));
        let mut all = vec![Stream { ..calm }];
        all.extend(flood.iter().map(|stream| Stream { ..*stream }));
        streams(&mut model, 5_000, &all);
        assert_kept(&model, false, false);
        judge(&model, |s| s.head.team.as_str() == "blue")
    };
    let (alone, _) = run(&[]);
    let (flooded, refused) = run(&[FLOOD, FLOOD, FLOOD, FLOOD]);
    println!("{alone} ms alone, {flooded} ms under a flood, {refused}% refused");
    assert!(refused == 0 && flooded < alone * 2);
}
