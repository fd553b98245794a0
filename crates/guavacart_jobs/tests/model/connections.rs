//! Connections over which orders reach only the incarnation that they are meant for, as the adapter of the
//! platform has them.

use guavacart_jobs::{Effect, Event, HoldOrder, OrderFailure};

use crate::{
    faults::Faults,
    network::{failure_event, target_of},
    simulation::{Simulation, index_of},
};

pub(crate) fn orders_reach_one_incarnation_and(faults: Faults) -> Faults {
    Faults {
        orders_reach_one_incarnation: true,
        ..faults
    }
}

impl Simulation {
    /// True if no connection leads to the incarnation that the order is meant for.
    pub(crate) fn is_for_other_incarnation(&self, order: &Effect) -> bool {
        let target = target_of(order).filter(|_| self.faults.orders_reach_one_incarnation);
        target.is_some_and(|target| {
            let present = self.executors[index_of(&target.id)].started_at;
            target.incarnation.is_some_and(|wanted| wanted.0 != present)
        })
    }

    /// The incarnation in whose queue a delayed order waits; `None` if it is sent while the executor
    /// cannot be reached, so that it waits in none.
    pub(crate) fn queue_of(&self, owner: usize, index: usize) -> Option<u64> {
        let is_sent = !self.faults.orders_reach_one_incarnation || self.is_reachable(owner, index);
        is_sent.then_some(self.executors[index].started_at)
    }

    /// What comes of an order that another incarnation would get: a hold returns its lists, with nothing
    /// extended or acknowledged; nothing else is carried out.
    pub(crate) fn meet_other_incarnation(
        &mut self,
        index: usize,
        order: &Effect,
        sent: u64,
    ) -> Option<Event> {
        let Effect::Hold(target, hold) = order else {
            return failure_event(order, sent, OrderFailure::OtherIncarnation);
        };
        let plain = HoldOrder {
            deadline_ms: None,
            acknowledged: 0,
            ..hold.clone()
        };
        self.execute(index, &Effect::Hold(target.clone(), plain), sent)
    }
}
