//! The state of an entry instance and the function that applies events to it.

use guavacart_types::{DataCentre, Span, Timestamp};

use crate::{
    Cx, Effect, Event,
    batch::Batch,
    config::ConfigState,
    directory::Directory,
    membership::{Member, Membership, MembershipEvent},
    request::Requests,
};

/// What an entry instance knows about itself when it starts.
#[derive(Clone, Debug)]
pub struct Start {
    /// The instance's id and incarnation.
    pub member: Member,
    /// The instance's data centre, from its settings.
    pub data_centre: DataCentre,
    /// The time of the start.
    pub now: Timestamp,
    /// How long a stopping instance still accepts requests, so that the load balancer has time to
    /// remove the instance.
    pub linger: Span,
}

/// The state of an entry instance.
#[derive(Debug)]
pub struct State {
    shared: Shared,
    requests: Requests,
    batch: Batch,
    linger: Span,
    stopped: bool,
}

/// The parts of the state that the request and batch parts read through [`Cx`].
#[derive(Debug)]
struct Shared {
    membership: Membership,
    directory: Directory,
    config: ConfigState,
    stopping_since: Option<Timestamp>,
}

impl Shared {
    fn cx(&self, now: Timestamp) -> Cx<'_> {
        Cx {
            now,
            membership: &self.membership,
            directory: &self.directory,
            configuration: self.config.current(),
            stopping: self.stopping_since.is_some(),
        }
    }

    fn apply_listing(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        self.membership.apply_listing(now, &self.directory, effects);
    }

    fn apply_membership(
        &mut self,
        now: Timestamp,
        event: MembershipEvent,
        effects: &mut Vec<Effect>,
    ) {
        self.membership.apply(now, &self.directory, event, effects);
        let newest = self.membership.newest_config();
        self.config.read_if_newer(now, newest, effects);
    }

    fn tick(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        self.membership.tick(now, &self.directory, effects);
        self.config.tick(now, effects);
    }
}

impl State {
    /// Returns the state of an instance that has just started.
    pub fn new(start: &Start) -> Self {
        Self {
            shared: Shared {
                membership: Membership::new(start),
                directory: Directory::default(),
                config: ConfigState::default(),
                stopping_since: None,
            },
            requests: Requests::new(start.member.id.clone()),
            batch: Batch::new(start.member.clone()),
            linger: start.linger,
            stopped: false,
        }
    }

    /// Applies an event that happened at `now` and returns the effects to carry out, in order.
    pub fn apply(&mut self, now: Timestamp, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.shared.membership.note_running(now);
        self.dispatch(now, event, &mut effects);
        self.finish(now, &mut effects);
        effects
    }

    /// Views, ownership and the ownership lease.
    pub fn membership(&self) -> &Membership {
        &self.shared.membership
    }

    /// The configuration in force on this instance.
    pub fn config(&self) -> &ConfigState {
        &self.shared.config
    }

    /// The requests that this instance handles.
    pub fn requests(&self) -> &Requests {
        &self.requests
    }

    /// The cells that this instance handles, and their batch jobs.
    pub fn batch(&self) -> &Batch {
        &self.batch
    }

    /// The platform's instance list as last read.
    pub fn directory(&self) -> &Directory {
        &self.shared.directory
    }

    fn dispatch(&mut self, now: Timestamp, event: Event, effects: &mut Vec<Effect>) {
        match event {
            Event::Tick => self.tick(now, effects),
            Event::ListRead(instances) => {
                self.shared.directory.replace(now, instances);
                self.shared.apply_listing(now, effects);
            }
            Event::ListUnchanged => {
                self.shared.directory.read_at = Some(now);
                self.shared.apply_listing(now, effects);
            }
            Event::StopRequested => {
                self.shared.stopping_since.get_or_insert(now);
                self.shared.membership.leave(now, effects);
            }
            Event::Membership(event) => {
                self.update_local_report();
                self.shared.apply_membership(now, event, effects);
            }
            Event::Config(event) => self.shared.config.apply(now, event, effects),
            Event::Request(event) => self.requests.apply(&self.shared.cx(now), event, effects),
            Event::Batch(event) => self.batch.apply(&self.shared.cx(now), event, effects),
        }
    }

    fn tick(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        self.update_local_report();
        self.shared.tick(now, effects);
        let cx = self.shared.cx(now);
        self.requests.tick(&cx, effects);
        self.batch.tick(&cx, effects);
    }

    /// Updates the load and the configuration number that the next heartbeats report.
    fn update_local_report(&mut self) {
        let load = self.requests.load();
        let number = self.shared.config.current().number;
        self.shared.membership.update_local_report(load, number);
    }

    fn finish(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        let Some(since) = self.shared.stopping_since else {
            return;
        };
        if self.stopped || now.since(since) < self.linger {
            return;
        }
        let idle = self.requests.is_idle() && self.batch.is_idle();
        if idle && self.shared.membership.has_left(now) {
            self.stopped = true;
            effects.push(Effect::Stopped);
        }
    }
}
