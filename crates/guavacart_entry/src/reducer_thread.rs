//! The thread that runs the reducer; it handles inputs one at a time, in order of arrival.

use std::time::Instant;

use flume::{Receiver, RecvTimeoutError};
use guavacart_platform::{endpoint::EndpointAnswer, store::Store};
use guavacart_scheduler::{
    Effect, Event, State,
    batch::{BatchEvent, call::JobReply},
    membership::MAX_TICK_INTERVAL,
    request::{DispatchEnd, RequestEvent},
};
use guavacart_types::{CallId, DispatchId, InstanceId};
use guavacart_wire::{ForwardWire, OutcomeWire, Question};
use tokio::sync::oneshot;

use crate::{
    calls::{CallAnswer, CallerRequest, Origin, PendingCall, RequestBody, answer_from_wire},
    clock::Clock,
    runner::Runner,
    status::{self, Roster},
};

/// An input of the reducer thread.
#[derive(Debug)]
pub(crate) enum Input {
    /// An event that the reducer can apply as it is.
    Event(Event),
    /// A caller's request; the reply channel receives its outcome.
    Call {
        call: CallId,
        request: CallerRequest,
        body: RequestBody,
        reply: oneshot::Sender<CallAnswer>,
    },
    /// A request that the peer `from` forwarded.
    Forward {
        call: CallId,
        from: InstanceId,
        wire: ForwardWire,
    },
    /// The outcome of a request that was forwarded to the peer `from`.
    Outcome { from: InstanceId, wire: OutcomeWire },
    /// The end of a dispatch to an endpoint, with the endpoint's answer if there is one.
    Dispatched {
        dispatch: DispatchId,
        end: DispatchEnd,
        answer: Option<EndpointAnswer>,
    },
    /// A submitter's call about jobs; the reply channel receives the answer.
    Job {
        call: CallId,
        event: BatchEvent,
        reply: oneshot::Sender<JobReply>,
    },
    /// A question that is answered from memory; the reply channel receives JSON.
    Question {
        question: Question,
        reply: oneshot::Sender<Vec<u8>>,
    },
    /// Asks for the view's members and the configuration in force at this instance.
    Roster { reply: oneshot::Sender<Roster> },
}

/// The reducer, the runner of its effects and their inbox.
pub(crate) struct ReducerThread<S> {
    pub(crate) state: State,
    pub(crate) runner: Runner<S>,
    pub(crate) inbox: Receiver<Input>,
    pub(crate) clock: Clock,
}

impl<S: Store> ReducerThread<S> {
    /// Applies inputs as they arrive and a tick every [`MAX_TICK_INTERVAL`]; returns if the inbox is
    /// disconnected.
    pub(crate) fn run(mut self) {
        let mut next_tick = self.clock.now();
        loop {
            let now = self.clock.now();
            if now >= next_tick {
                next_tick = now + MAX_TICK_INTERVAL;
                self.apply(Event::Tick);
                continue;
            }
            if let Some(input) = self.runner.deferred.pop_front() {
                self.handle_input(input);
                continue;
            }
            match self.next_input(self.clock.instant(next_tick)) {
                Ok(input) => self.handle_input(input),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    fn next_input(&self, deadline: Instant) -> Result<Input, RecvTimeoutError> {
        self.inbox.recv_deadline(deadline)
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Event(event) => self.apply(event),
            Input::Call {
                call,
                request,
                body,
                reply,
            } => self.call_arrived(call, request, body, reply),
            Input::Forward { call, from, wire } => self.forward_arrived(call, from, wire),
            Input::Outcome { from, wire } => self.forward_ended(from, wire),
            Input::Dispatched {
                dispatch,
                end,
                answer,
            } => self.dispatch_ended(dispatch, end, answer),
            Input::Job { call, event, reply } => {
                self.runner.submitters.insert(call, reply);
                self.apply(Event::Batch(event));
            }
            Input::Question { question, reply } => self.answer_question(question, reply),
            Input::Roster { reply } => {
                // Fails if the requester has timed out.
                let _ = reply.send(Roster::of(&self.state));
            }
        }
    }

    /// Applies one event: runs the reducer, updates the fence, then runs the effects.
    fn apply(&mut self, event: Event) {
        let now = self.clock.now();
        let effects = self.state.apply(now, event);
        self.runner
            .fence
            .set_generation(self.state.membership().generation());
        for effect in effects {
            self.run_effect(effect);
        }
    }

    fn run_effect(&mut self, effect: Effect) {
        let load = || self.state.requests().load();
        self.runner.run(effect, load, self.state.config().current());
    }

    fn call_arrived(
        &mut self,
        call: CallId,
        request: CallerRequest,
        body: RequestBody,
        reply: oneshot::Sender<CallAnswer>,
    ) {
        let head = request.into_head(self.state.config().current());
        let pending = PendingCall {
            head: head.clone(),
            body,
            origin: Origin::Caller(reply),
            arrived_at: self.clock.now(),
        };
        self.runner.calls.insert(call, pending);
        self.apply(Event::Request(RequestEvent::Arrived { call, head }));
    }

    fn forward_arrived(&mut self, call: CallId, from: InstanceId, wire: ForwardWire) {
        let (remote, head, body) = RequestBody::from_forward(wire);
        let pending = PendingCall {
            head: head.clone(),
            body,
            origin: Origin::Peer(from.clone(), remote),
            arrived_at: self.clock.now(),
        };
        self.runner.calls.insert(call, pending);
        self.apply(Event::Request(RequestEvent::ForwardArrived {
            call,
            from,
            remote,
            head,
        }));
    }

    fn forward_ended(&mut self, from: InstanceId, wire: OutcomeWire) {
        let call = CallId(wire.call);
        let outcome = wire.outcome();
        let load = wire.load();
        if let Some(answer) = wire.answer {
            self.runner
                .calls
                .insert_forward_answer(call, answer_from_wire(answer));
        }
        self.apply(Event::Request(RequestEvent::ForwardEnded {
            call,
            from,
            outcome,
            load,
        }));
    }

    fn dispatch_ended(
        &mut self,
        dispatch: DispatchId,
        end: DispatchEnd,
        answer: Option<EndpointAnswer>,
    ) {
        if let Some(answer) = answer {
            self.runner.calls.insert_dispatch_answer(dispatch, answer);
        }
        let ended = RequestEvent::DispatchEnded { dispatch, end };
        self.apply(Event::Request(ended));
    }

    fn answer_question(&mut self, question: Question, reply: oneshot::Sender<Vec<u8>>) {
        let now = self.clock.now();
        let body = match question {
            Question::Configuration => status::configuration(&self.state),
            Question::Status => status::status(&self.state, &self.runner.counters, now),
            Question::Burn => self.runner.burn(now),
        };
        // Fails if the requester has timed out.
        let _ = reply.send(body);
    }
}
