//! Carries out the reducer's effects.

mod config;
mod requests;

use std::{
    collections::{HashMap, VecDeque},
    sync::{Arc, atomic::AtomicU64},
};

use flume::Sender;
use guavacart_config::Configuration;
use guavacart_platform::{endpoint::HttpEndpoints, store::Store, worker::HttpWorkers};
use guavacart_report::Recorder;
use guavacart_scheduler::{
    Effect, Event,
    batch::{BatchEffect, call::JobReply},
    membership::{Load, MembershipEffect, MembershipEvent},
};
use guavacart_types::{CallId, InstanceId, Timestamp};
use guavacart_wire::{Frame, encode_peer_batch};
use tokio::sync::{oneshot, watch};
use tracing::{info, warn};

use crate::{
    batch::{BatchRunner, Outward},
    calls::Calls,
    clock::Clock,
    core::Input,
    fence::Fence,
    heartbeats::HeartbeatSender,
    links::{Links, unsent},
    meters::Meters,
    metrics::Metrics,
    view_store,
};

/// What the effects need; owned by the reducer's thread.
pub(crate) struct Runner<S> {
    pub(crate) calls: Calls,
    pub(crate) clock: Clock,
    pub(crate) fence: Fence,
    pub(crate) runtime: tokio::runtime::Handle,
    pub(crate) inbox: Sender<Input>,
    /// Inputs of the reducer's own thread, which must not wait for room in its inbox.
    pub(crate) later: VecDeque<Input>,
    pub(crate) store: S,
    /// Revision of the configuration's record that was taken last.
    pub(crate) config_taken: Arc<AtomicU64>,
    pub(crate) endpoints: HttpEndpoints,
    pub(crate) batch: BatchRunner<S, HttpWorkers>,
    /// Submitters that wait for an answer.
    pub(crate) submitters: HashMap<CallId, oneshot::Sender<JobReply>>,
    pub(crate) links: Links,
    pub(crate) heartbeats: HeartbeatSender,
    pub(crate) metrics: Metrics,
    pub(crate) meters: Meters,
    pub(crate) recorder: Recorder,
    pub(crate) stopped: watch::Sender<bool>,
}

impl<S: Store> Runner<S> {
    /// Carries out one effect; what comes of it arrives as an input.
    pub(crate) fn run(&mut self, effect: Effect, load: impl Fn() -> Load, cfg: &Configuration) {
        match effect {
            Effect::Membership(effect) => self.run_membership(effect),
            Effect::Request(effect) => self.run_request(effect, load),
            Effect::Config(effect) => self.run_config(effect, cfg),
            Effect::Batch(effect) => self.run_batch(effect),
            Effect::Stopped => {
                info!(event = "stopped", "all work is done");
                self.stopped.send_replace(true);
            }
        }
    }

    /// The service-level record as JSON.
    pub(crate) fn burn(&mut self, now: Timestamp) -> Vec<u8> {
        let snapshot = self.recorder.snapshot(now);
        serde_json::to_vec(&snapshot).unwrap_or_else(|err| {
            warn!(event = "burn_unencoded", error = %err, "the service-level record has no JSON form");
            Vec::new()
        })
    }

    fn run_batch(&mut self, effect: BatchEffect) {
        match self.batch.run(effect) {
            None => {}
            Some(Outward::Reply { call, reply }) => {
                if let Some(submitter) = self.submitters.remove(&call) {
                    // The submitter may have gone; it learns of its job by asking again.
                    let _ = submitter.send(reply);
                }
            }
            Some(Outward::Tell { to, message }) => match encode_peer_batch(message) {
                Ok(message) => self.tell_peer(&to, Frame::Batch(message)),
                Err(err) => {
                    warn!(event = "batch_message_unencoded", to = %to, error = %err, "a message about batch work has no wire form");
                }
            },
        }
    }

    /// Queues a frame for a peer; what follows from one that cannot be queued is taken later.
    fn tell_peer(&mut self, to: &InstanceId, frame: Frame) {
        let Err(frame) = self.links.send(to, frame) else {
            return;
        };
        if let Some(event) = unsent(to, &frame) {
            let event = Event::Request(event);
            self.later.push_back(Input::Event(event));
        }
    }

    fn run_membership(&mut self, effect: MembershipEffect) {
        match effect {
            MembershipEffect::SendHeartbeat { to, heartbeat } => {
                self.metrics.count("heartbeats.sent");
                self.heartbeats.send(&to, *heartbeat);
            }
            MembershipEffect::ReadView => {
                let asked_at = self.clock.now();
                self.blocking(move |store| view_store::read(store, asked_at));
            }
            MembershipEffect::SwapView { expect, view } => {
                self.blocking(move |store| view_store::swap(store, expect, *view));
            }
            MembershipEffect::ViewAdopted(number) => {
                self.metrics.gauge("view.number", number.0);
                info!(
                    event = "view_adopted",
                    view = number.0,
                    "a newer view is in force"
                );
            }
        }
    }

    /// Makes a call of the store on a thread that may wait.
    fn blocking(&self, call: impl FnOnce(&S) -> MembershipEvent + Send + 'static) {
        let store = self.store.clone();
        let inbox = self.inbox.clone();
        self.runtime.spawn_blocking(move || {
            let event = Event::Membership(call(&store));
            // A closed inbox means that the process is ending.
            let _ = inbox.send(Input::Event(event));
        });
    }
}
