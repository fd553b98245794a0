//! Asks the advice service which executors may run a step.

use guavacart_types::Span;

use super::{State, Timer};
use crate::{Decision, Effect, ExecutorId, StepKey, Ticket};

/// Executors to ask about per waiting task, since the service allows only some of them.
const EXECUTORS_PER_TASK: usize = 2;
/// Fewest executors in one request.
const MIN_EXECUTORS: usize = 6;
/// Most executors in one request; the service accepts 100.
const MAX_EXECUTORS: usize = 40;
/// Part of a ticket's validity that is used, in percent; the rest covers the time until the
/// executor checks the ticket.
const USED_VALIDITY_PERCENT: u64 = 80;
/// Delay before the next request if the service gave no advice.
const ADVICE_RETRY_DELAY: Span = Span::millis(150);

impl State {
    /// Requests advice on more executors if the valid tickets do not cover the waiting tasks.
    pub(super) fn request_advice(&mut self, key: StepKey) {
        let now = self.now;
        let Some(entry) = self.jobs.get_mut(&key.job) else {
            return;
        };
        let Some(state) = entry.state_mut(key) else {
            return;
        };
        state.tickets.retain(|_, (_, expires_at)| *expires_at > now);
        let waiting = state.waiting.len();
        if state.is_request_pending || state.tickets.len() >= waiting {
            return;
        }
        let limit = (waiting * EXECUTORS_PER_TASK).clamp(MIN_EXECUTORS, MAX_EXECUTORS);
        let entry = &self.jobs[&key.job];
        let state = &entry.steps[&(key.occurrence, key.step)];
        let step = entry.step(key);
        let pool = &self.rules(entry).pool;
        let policy = self.rules(entry).advice;
        let has_label = |x: usize, label: &smol_str::SmolStr| {
            let registration = self.executors[x].registration.as_ref();
            registration.is_some_and(|r| r.labels.contains(label))
        };
        let mut candidates: Vec<usize> = (0..self.executors.len())
            .filter(|x| self.is_usable(*x))
            .filter(|x| {
                let registration = self.executors[*x].registration.as_ref();
                registration.is_some_and(|r| r.pool == *pool)
            })
            .filter(|x| {
                step.required_label
                    .as_ref()
                    .is_none_or(|l| has_label(*x, l))
            })
            .filter(|x| !state.asked.contains(&self.executors[*x].id))
            .collect();
        candidates.sort_by_key(|x| {
            let is_near = step
                .data_rack
                .as_ref()
                .is_none_or(|rack| has_label(*x, rack));
            let free = self.executors[*x].free();
            (
                !step.is_long_running && self.is_avoided(*x),
                !is_near,
                !step.reserved().fits_in(&free),
                -self.executors[*x].leftover(),
            )
        });
        candidates.truncate(limit);
        let executors: Vec<ExecutorId> = candidates
            .iter()
            .map(|x| self.executors[*x].id.clone())
            .collect();
        let Some(state) = self.jobs.get_mut(&key.job).and_then(|e| e.state_mut(key)) else {
            return;
        };
        state.is_request_pending = true;
        if executors.is_empty() {
            // All executors were asked about, and those that were refused may not be allowed for
            // any other step either. The next request starts over with all of them.
            state.asked.clear();
            self.set_timer(ADVICE_RETRY_DELAY, Timer::AdviceRetry(key));
            return;
        }
        state.asked.extend(executors.iter().cloned());
        let asked = u64::try_from(executors.len()).unwrap_or(u64::MAX);
        let wait = policy.map_or(Span::ZERO, |policy| {
            policy.base_time + policy.time_per_executor * asked
        });
        self.effects.push(Effect::AskAdvice {
            step: key,
            executors,
            wait,
        });
    }

    /// Applies the answer of the advice service: the allowed executors with their tickets, or
    /// `None` if the service gave no advice.
    pub(super) fn on_advice(&mut self, key: StepKey, allowed: Option<Vec<(ExecutorId, Ticket)>>) {
        self.effects.push(Effect::Log(Decision::Advice {
            step: key,
            allowed: allowed.as_ref().map(Vec::len),
        }));
        let now = self.now;
        let Some(entry) = self.jobs.get_mut(&key.job) else {
            return;
        };
        let current_rules = self.rules.get(&entry.job.queue);
        let rules = current_rules.unwrap_or(&entry.job.rules);
        let validity = rules.advice.map_or(Span::ZERO, |advice| advice.validity);
        let expires_at = now + Span(validity.0 * USED_VALIDITY_PERCENT / 100);
        let Some(state) = entry.state_mut(key) else {
            return;
        };
        let Some(allowed) = allowed else {
            state.asked.clear();
            self.set_timer(ADVICE_RETRY_DELAY, Timer::AdviceRetry(key));
            return;
        };
        state.is_request_pending = false;
        for (executor, ticket) in allowed {
            state.tickets.insert(executor, (ticket, expires_at));
        }
        self.needs_placement = true;
    }

    /// Ends the delay after a request without advice.
    pub(super) fn allow_advice_request(&mut self, key: StepKey) {
        if let Some(state) = self.jobs.get_mut(&key.job).and_then(|e| e.state_mut(key)) {
            state.is_request_pending = false;
            self.needs_placement = true;
        }
    }

    /// Drops the tickets for an executor that has restarted, which are not valid for its next incarnation.
    pub(super) fn drop_tickets(&mut self, x: usize) {
        let id = &self.executors[x].id;
        let steps = self.jobs.values_mut().flat_map(|e| e.steps.values_mut());
        for state in steps {
            if state.tickets.remove(id).is_some() {
                state.asked.remove(id);
            }
        }
    }

    /// Drops a ticket that an executor refused; the advice service may be asked about that executor
    /// again.
    pub(super) fn drop_ticket(&mut self, x: usize, key: StepKey) {
        let id = self.executors[x].id.clone();
        if let Some(state) = self.jobs.get_mut(&key.job).and_then(|e| e.state_mut(key)) {
            state.tickets.remove(&id);
            state.asked.remove(&id);
        }
    }
}
