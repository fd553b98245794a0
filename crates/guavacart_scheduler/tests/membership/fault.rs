//! Faults that the simulation can inject, and random scripts of them.

use proptest::{collection::vec, prelude::*};

use crate::store::Condition;

/// A fault, or the end of faults.
#[derive(Clone, Debug)]
pub(crate) enum Fault {
    /// Kills the process. The instance list shows that only after a delay.
    Kill(usize),
    /// Starts a new incarnation if the instance's process has ended.
    Restart(usize),
    /// Pauses the process for this many milliseconds.
    Pause(usize, u64),
    /// Splits the network: instances in the mask and the others do not reach each other.
    Partition(u32),
    /// Drops all messages from the first instance to the second.
    Cut(usize, usize),
    /// Cuts the instances in the mask off from the store.
    StoreCut(u32),
    /// Changes the condition of the store.
    Store(Condition),
    /// Sets the share of messages that are lost, in percent.
    Loss(u64),
    /// Sets the share of messages that are delayed by up to two seconds, in percent.
    Late(u64),
    /// Requests a graceful stop.
    Leave(usize),
    /// Makes the instance list empty until the next start or end of a process.
    EmptyList,
    /// Ends all network and store faults. Killed and paused processes are not affected.
    Heal,
}

/// The milliseconds that pass before a fault, and the fault.
pub(crate) type Step = (u64, Fault);

/// Generates random scripts for `instances` instances.
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
