//! Checks the guarantees of batch work under random faults.

use crate::simulation::{Fault, Setup, Simulation, job, resources};
use guavacart_scheduler::batch::{BatchEvent, call::JobReply};
use proptest::{collection::vec, option, prelude::*, test_runner::RngSeed};

fn fault() -> impl Strategy<Value = Fault> {
    let at = 3_000..60_000_u64;
    let which = 0..8_usize;
    prop_oneof![
        (at.clone(), 500..20_000_u64).prop_map(|(at, ms)| Fault::Outage { at, ms }),
        (at.clone(), which.clone(), 100..15_000_u64).prop_map(|(at, node, ms)| Fault::Pause {
            at,
            node,
            ms
        }),
        (at.clone(), which.clone(), 100..15_000_u64).prop_map(|(at, node, ms)| Fault::Kill {
            at,
            node,
            ms
        }),
        (at.clone(), which.clone(), 100..60_000_u64)
            .prop_map(|(at, worker, ms)| Fault::WorkerPause { at, worker, ms }),
        (at, which, 100..30_000_u64).prop_map(|(at, worker, ms)| Fault::WorkerKill {
            at,
            worker,
            ms
        }),
    ]
}

fn setup() -> impl Strategy<Value = Setup> {
    let faults = vec(fault(), 0..10);
    (
        any::<u64>(),
        1..4_usize,
        1..6_usize,
        1..3_usize,
        0..8_u64,
        0..4_u64,
        any::<bool>(),
        option::of(4..24_u64),
        faults,
    )
        .prop_map(
            |(seed, nodes, workers, cells, lost_percent, slow_percent, small, quota, faults)| {
                Setup {
                    seed,
                    nodes,
                    workers: workers * cells,
                    cells,
                    lost_percent,
                    slow_percent,
                    faults,
                    quota: quota.map(resources),
                    small: (0..usize::from(small && cells > 1)).collect(),
                    ..Setup::default()
                }
            },
        )
}

/// A number from the environment, so that a longer search or another seed can be chosen.
fn number_from_env(name: &str, default: u64) -> u64 {
    let value = std::env::var(name);
    value.map_or(default, |value| value.parse().unwrap())
}

fn check(setup: Setup) {
    let mut sim = Simulation::new(setup);
    let wide = job("wide", 120, 1, 700);
    let jobs: Vec<_> = (0..8)
        .map(|n| job(&format!("job{n}"), 6 + n * 3, 1 + u64::from(n % 4), 900))
        .chain([wide])
        .collect();
    for job in &jobs {
        sim.submit(job);
    }
    let ids: Vec<_> = jobs.iter().map(|job| job.id.clone()).collect();
    sim.finish(&ids, 600_000);
    for spec in &jobs {
        let job = spec.id.clone();
        let reply = sim.repeat_call(60_000, |call| BatchEvent::Queried {
            call,
            job: job.clone(),
        });
        let JobReply::Status(status) = reply else {
            panic!("{reply:?}");
        };
        assert_eq!(status.summary.counts.finished, spec.tasks, "{status:?}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: number_from_env("GUAVACART_CASES", 96) as u32,
        rng_seed: RngSeed::Fixed(number_from_env("GUAVACART_SEED", 5)),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn every_task_finishes_once_and_workers_stay_within_capacity(setup in setup()) {
        check(setup);
    }
}
