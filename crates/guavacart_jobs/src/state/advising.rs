//! Asks the advice service which executors may run a step.

use guavacart_types::Span;

use super::{State, Timer};
use crate::{Decision, Effect, ExecutorId, StepKey, Ticket};

/// Executors asked about for each waiting task; not all of them are allowed.
const ASKED_PER_TASK: usize = 2;
/// Fewest executors that a question names.
const FEWEST_ASKED: usize = 6;
/// Most executors that a question names; the service takes 100.
const MOST_ASKED: usize = 40;
/// Part of a ticket's validity that is used, in percent; the rest covers the way there.
const VALIDITY_PERCENT: u64 = 80;
/// Pause after a question without advice.
const ADVICE_PAUSE: Span = Span::millis(150);

impl State {
    /// Asks about more executors if the tickets at hand do not carry the waiting tasks.
    pub(super) fn ask_advice(&mut self, key: StepKey) {
        let now = self.now;
        let Some(entry) = self.jobs.get_mut(&key.job) else {
            return;
        };
        let Some(state) = entry.state_mut(key) else {
            return;
        };
        state.tickets.retain(|_, (_, ends)| *ends > now);
        let waiting = state.waiting.len();
        if state.is_asking || state.tickets.len() >= waiting {
            return;
        }
        let most = (waiting * ASKED_PER_TASK).clamp(FEWEST_ASKED, MOST_ASKED);
        let entry = &self.jobs[&key.job];
        let state = &entry.steps[&(key.occurrence, key.step)];
        let step = entry.step(key);
        let pool = &self.rules(entry).pool;
        let policy = self.rules(entry).advice;
        let has_label = |x: usize, label: &smol_str::SmolStr| {
            let registration = self.fleet[x].registration.as_ref();
            registration.is_some_and(|r| r.labels.contains(label))
        };
        let mut candidates: Vec<usize> = (0..self.fleet.len())
            .filter(|x| self.is_usable(*x))
            .filter(|x| {
                let registration = self.fleet[*x].registration.as_ref();
                registration.is_some_and(|r| r.pool == *pool)
            })
            .filter(|x| {
                step.required_label
                    .as_ref()
                    .is_none_or(|l| has_label(*x, l))
            })
            .filter(|x| !state.asked.contains(&self.fleet[*x].id))
            .collect();
        candidates.sort_by_key(|x| {
            let is_near = step
                .data_rack
                .as_ref()
                .is_none_or(|rack| has_label(*x, rack));
            let free = self.fleet[*x].free();
            (
                !is_near,
                !step.committed().fits_in(&free),
                -self.fleet[*x].leftover(),
            )
        });
        candidates.truncate(most);
        let executors: Vec<ExecutorId> = candidates
            .iter()
            .map(|x| self.fleet[*x].id.clone())
            .collect();
        let Some(state) = self.jobs.get_mut(&key.job).and_then(|e| e.state_mut(key)) else {
            return;
        };
        state.is_asking = true;
        if executors.is_empty() {
            // All were asked; those that were refused once may be allowed for no other step either.
            state.asked.clear();
            self.set_timer(ADVICE_PAUSE, Timer::Advice(key));
            return;
        }
        state.asked.extend(executors.iter().cloned());
        let asked = u64::try_from(executors.len()).unwrap_or(u64::MAX);
        let wait = policy.map_or(Span::ZERO, |policy| {
            policy.decision + policy.per_executor * asked
        });
        self.effects.push(Effect::Advise {
            step: key,
            executors,
            wait,
        });
    }

    pub(super) fn advised(&mut self, key: StepKey, good: Option<Vec<(ExecutorId, Ticket)>>) {
        self.effects.push(Effect::Log(Decision::Advice {
            step: key,
            good: good.as_ref().map(Vec::len),
        }));
        let now = self.now;
        let Some(entry) = self.jobs.get_mut(&key.job) else {
            return;
        };
        let now_rules = self.rules.get(&entry.job.queue);
        let rules = now_rules.unwrap_or(&entry.job.rules);
        let validity = rules.advice.map_or(Span::ZERO, |advice| advice.validity);
        let ends = now + Span(validity.0 * VALIDITY_PERCENT / 100);
        let Some(state) = entry.state_mut(key) else {
            return;
        };
        let Some(good) = good else {
            state.asked.clear();
            self.set_timer(ADVICE_PAUSE, Timer::Advice(key));
            return;
        };
        state.is_asking = false;
        for (executor, ticket) in good {
            state.tickets.insert(executor, (ticket, ends));
        }
        self.must_place = true;
    }

    pub(super) fn advice_may_be_asked(&mut self, key: StepKey) {
        if let Some(state) = self.jobs.get_mut(&key.job).and_then(|e| e.state_mut(key)) {
            state.is_asking = false;
            self.must_place = true;
        }
    }

    /// Drops a ticket that was refused; the executor may be asked about again.
    pub(super) fn drop_ticket(&mut self, x: usize, key: StepKey) {
        let id = self.fleet[x].id.clone();
        if let Some(state) = self.jobs.get_mut(&key.job).and_then(|e| e.state_mut(key)) {
            state.tickets.remove(&id);
            state.asked.remove(&id);
        }
    }
}
