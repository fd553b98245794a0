//! The one thread that runs the reducer, in the order in which inputs arrive.

use std::time::Instant;

use flume::{Receiver, RecvTimeoutError};
use guavacart_platform::{endpoint::EndpointAnswer, store::Store};
use guavacart_scheduler::{
    Effect, Event, State,
    batch::{BatchEvent, call::JobReply},
    membership::TICK,
    request::{DispatchEnd, RequestEvent},
};
use guavacart_types::{CallId, DispatchId, InstanceId};
use guavacart_wire::{ForwardWire, OutcomeWire, Question};
use tokio::sync::oneshot;

use crate::{
    calls::{Answer, Asked, Origin, Pending, RequestBody, answer_from_wire},
    clock::Clock,
    runner::Runner,
    status::{self, Roster},
};

/// What reaches the reducer's thread.
#[derive(Debug)]
pub(crate) enum Input {
    /// An event that carries all there is.
    Event(Event),
    /// A caller's request.
    Call {
        call: CallId,
        asked: Asked,
        body: RequestBody,
        reply: oneshot::Sender<Answer>,
    },
    /// A peer's forwarded request.
    Forward {
        call: CallId,
        from: InstanceId,
        wire: ForwardWire,
    },
    /// The outcome of a request forwarded to a peer.
    Outcome { from: InstanceId, wire: OutcomeWire },
    /// The end of a dispatch.
    Dispatched {
        dispatch: DispatchId,
        end: DispatchEnd,
        answer: Option<EndpointAnswer>,
    },
    /// A submitter's call.
    Job {
        call: CallId,
        event: BatchEvent,
        reply: oneshot::Sender<JobReply>,
    },
    /// A question to be answered from memory, as JSON.
    Ask {
        question: Question,
        reply: oneshot::Sender<Vec<u8>>,
    },
    /// Who could be asked, and the configuration in force here.
    Roster { reply: oneshot::Sender<Roster> },
}

/// The reducer, its runner and what feeds them.
pub(crate) struct Core<S> {
    pub(crate) state: State,
    pub(crate) runner: Runner<S>,
    pub(crate) inbox: Receiver<Input>,
    pub(crate) clock: Clock,
}

impl<S: Store> Core<S> {
    /// Runs until a stop is done or every sender is gone.
    pub(crate) fn run(mut self) {
        let mut next_tick = self.clock.now();
        loop {
            let now = self.clock.now();
            if now >= next_tick {
                next_tick = now + TICK;
                self.apply(Event::Tick);
                continue;
            }
            if let Some(input) = self.runner.later.pop_front() {
                self.take(input);
                continue;
            }
            match self.next_input(self.clock.instant(next_tick)) {
                Ok(input) => self.take(input),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    fn next_input(&self, deadline: Instant) -> Result<Input, RecvTimeoutError> {
        self.inbox.recv_deadline(deadline)
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Event(event) => self.apply(event),
            Input::Call {
                call,
                asked,
                body,
                reply,
            } => self.call_arrived(call, asked, body, reply),
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
            Input::Ask { question, reply } => self.answer_question(question, reply),
            Input::Roster { reply } => {
                // The asker may have given up; then there is nobody to tell.
                let _ = reply.send(Roster::of(&self.state));
            }
        }
    }

    fn apply(&mut self, event: Event) {
        let now = self.clock.now();
        let effects = self.state.apply(now, event);
        self.runner
            .fence
            .raise(self.state.membership().generation());
        for effect in effects {
            self.carry_out(effect);
        }
    }

    fn carry_out(&mut self, effect: Effect) {
        let load = || self.state.requests().load();
        self.runner.run(effect, load, self.state.config().current());
    }

    fn call_arrived(
        &mut self,
        call: CallId,
        asked: Asked,
        body: RequestBody,
        reply: oneshot::Sender<Answer>,
    ) {
        let head = asked.into_head(self.state.config().current());
        let pending = Pending {
            head: head.clone(),
            body,
            origin: Origin::Caller(reply),
            since: self.clock.now(),
        };
        self.runner.calls.open(call, pending);
        self.apply(Event::Request(RequestEvent::Arrived { call, head }));
    }

    fn forward_arrived(&mut self, call: CallId, from: InstanceId, wire: ForwardWire) {
        let (remote, head, body) = RequestBody::from_forward(wire);
        let pending = Pending {
            head: head.clone(),
            body,
            origin: Origin::Peer(from.clone(), remote),
            since: self.clock.now(),
        };
        self.runner.calls.open(call, pending);
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
                .forward_answered(call, answer_from_wire(answer));
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
            self.runner.calls.dispatch_answered(dispatch, answer);
        }
        let ended = RequestEvent::DispatchEnded { dispatch, end };
        self.apply(Event::Request(ended));
    }

    fn answer_question(&mut self, question: Question, reply: oneshot::Sender<Vec<u8>>) {
        let now = self.clock.now();
        let body = match question {
            Question::Configuration => status::configuration(&self.state),
            Question::Status => status::status(&self.state, &self.runner.meters, now),
            Question::Burn => self.runner.burn(now),
        };
        // The asker may have given up; then there is nobody to tell.
        let _ = reply.send(body);
    }
}
