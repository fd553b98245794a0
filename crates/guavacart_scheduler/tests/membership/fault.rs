//! Faults and the scripts of them that are tried.

use proptest::{collection::vec, prelude::*};

use crate::store::Condition;

/// Something that goes wrong, or right again.
#[derive(Clone, Debug)]
pub(crate) enum Fault {
    /// The process dies; the platform's list shows it late.
    Kill(usize),
    /// A new incarnation starts if the instance is dead.
    Restart(usize),
    /// The process stands still for so many milliseconds.
    Pause(usize, u64),
    /// Instances reach only those on their own side of the mask.
    Partition(u32),
    /// No message goes from the first to the second.
    Cut(usize, usize),
    /// The instances in the mask do not reach the store.
    StoreCut(u32),
    /// The store changes its condition.
    Store(Condition),
    /// Share of messages lost, in percent.
    Loss(u64),
    /// Share of messages that come up to two seconds late, in percent.
    Late(u64),
    /// A graceful stop is asked for.
    Leave(usize),
    /// The instance list is empty from now on.
    EmptyList,
    /// Every message and every store call passes again.
    Heal,
}

/// A fault and the milliseconds that pass before it.
pub(crate) type Step = (u64, Fault);

/// Scripts for `instances` instances.
pub(crate) fn scripts(instances: usize) -> impl Strategy<Value = Vec<Step>> {
    let one = 0..instances;
    let mask = 0..(1u32 << instances);
    let condition = prop_oneof![
        Just(Condition::Up),
        Just(Condition::Down),
        Just(Condition::Slow),
        Just(Condition::Losing),
    ];
    let fault = prop_oneof![
        3 => one.clone().prop_map(Fault::Kill),
        3 => one.clone().prop_map(Fault::Restart),
        3 => (one.clone(), 100u64..12_000).prop_map(|(i, ms)| Fault::Pause(i, ms)),
        2 => mask.clone().prop_map(Fault::Partition),
        2 => (one.clone(), one.clone()).prop_map(|(i, j)| Fault::Cut(i, j)),
        2 => mask.prop_map(Fault::StoreCut),
        3 => condition.prop_map(Fault::Store),
        1 => (0u64..60).prop_map(Fault::Loss),
        1 => (0u64..60).prop_map(Fault::Late),
        1 => one.prop_map(Fault::Leave),
        2 => Just(Fault::Heal),
    ];
    let gap = prop_oneof![3 => 0u64..1_000, 2 => 1_000u64..6_000];
    vec((gap, fault), 1..25)
}
