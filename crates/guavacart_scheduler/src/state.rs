//! The whole state of an entry instance and the reducer over it.

use guavacart_types::{DataCentre, Span, Timestamp};

use crate::{
    Cx, Effect, Event,
    batch::Batch,
    config::ConfigState,
    directory::Directory,
    membership::{Member, Membership},
    request::Requests,
};

/// What an entry instance knows of itself when it starts.
#[derive(Clone, Debug)]
pub struct Start {
    /// Its id and incarnation.
    pub member: Member,
    /// Its data centre, from its settings.
    pub data_centre: DataCentre,
    /// The time of the start.
    pub now: Timestamp,
    /// How long a stopping instance goes on taking requests while the balancer learns of it.
    pub linger: Span,
}

/// The whole state of an entry instance.
#[derive(Debug)]
pub struct State {
    membership: Membership,
    directory: Directory,
    config: ConfigState,
    requests: Requests,
    batch: Batch,
    linger: Span,
    stopping_since: Option<Timestamp>,
    stopped: bool,
}

impl State {
    /// The state of an instance that has just started.
    pub fn new(start: &Start) -> Self {
        Self {
            membership: Membership::new(start),
            directory: Directory::default(),
            config: ConfigState::default(),
            requests: Requests::new(start.member.id.clone()),
            batch: Batch::new(start.member.clone()),
            linger: start.linger,
            stopping_since: None,
            stopped: false,
        }
    }

    /// Applies one event that happened at `now` and returns what is to be done, in order.
    pub fn apply(&mut self, now: Timestamp, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.membership.observe(now);
        self.dispatch(now, event, &mut effects);
        self.finish(now, &mut effects);
        effects
    }

    /// Views, ownership and the right to act.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// The configuration in force here.
    pub fn config(&self) -> &ConfigState {
        &self.config
    }

    /// Requests in hand.
    pub fn requests(&self) -> &Requests {
        &self.requests
    }

    /// Cells in hand.
    pub fn batch(&self) -> &Batch {
        &self.batch
    }

    /// The instances that the platform lists.
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    fn dispatch(&mut self, now: Timestamp, event: Event, effects: &mut Vec<Effect>) {
        match event {
            Event::Tick => self.tick(now, effects),
            Event::Listed(instances) => {
                self.directory.replace(now, instances);
                self.membership.listed(now, &self.directory, effects);
            }
            Event::StopRequested => {
                self.stopping_since.get_or_insert(now);
                self.membership.leave(now, effects);
            }
            Event::Membership(event) => {
                let load = self.requests.load();
                let number = self.config.current().number;
                self.membership.note_local(load, number);
                self.membership.apply(now, &self.directory, event, effects);
                self.config
                    .heard(now, self.membership.newest_config(), effects);
            }
            Event::Config(event) => self.config.apply(now, event, effects),
            Event::Request(event) => {
                let (requests, cx) = self.with_requests(now);
                requests.apply(&cx, event, effects);
            }
            Event::Batch(event) => {
                let (batch, cx) = self.with_batch(now);
                batch.apply(&cx, event, effects);
            }
        }
    }

    fn tick(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        let load = self.requests.load();
        let number = self.config.current().number;
        self.membership.note_local(load, number);
        self.membership.tick(now, &self.directory, effects);
        self.config.tick(now, effects);
        let (requests, cx) = self.with_requests(now);
        requests.tick(&cx, effects);
        let (batch, cx) = self.with_batch(now);
        batch.tick(&cx, effects);
    }

    fn finish(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        let Some(since) = self.stopping_since else {
            return;
        };
        if self.stopped || now.since(since) < self.linger {
            return;
        }
        let idle = self.requests.is_idle() && self.batch.is_idle();
        if idle && self.membership.has_left(now) {
            self.stopped = true;
            effects.push(Effect::Stopped);
        }
    }

    fn with_requests(&mut self, now: Timestamp) -> (&mut Requests, Cx<'_>) {
        let cx = Cx {
            now,
            membership: &self.membership,
            directory: &self.directory,
            configuration: self.config.current(),
            stopping: self.stopping_since.is_some(),
        };
        (&mut self.requests, cx)
    }

    fn with_batch(&mut self, now: Timestamp) -> (&mut Batch, Cx<'_>) {
        let cx = Cx {
            now,
            membership: &self.membership,
            directory: &self.directory,
            configuration: self.config.current(),
            stopping: self.stopping_since.is_some(),
        };
        (&mut self.batch, cx)
    }
}
