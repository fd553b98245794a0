//! Runs the reducer's effects.

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
    batch::{BatchRunner, Outgoing},
    calls::PendingCalls,
    clock::Clock,
    fence::Fence,
    heartbeats::HeartbeatSender,
    links::{Links, event_for_unsent},
    metrics::Metrics,
    reducer_thread::Input,
    status_counters::StatusCounters,
    view_store,
};

/// Runs effects and holds the state that they need; owned by the reducer thread.
pub(crate) struct Runner<S> {
    pub(crate) calls: PendingCalls,
    pub(crate) clock: Clock,
    pub(crate) fence: Fence,
    pub(crate) runtime: tokio::runtime::Handle,
    pub(crate) inbox: Sender<Input>,
    /// Inputs from the reducer thread itself, handled before the inbox.
    ///
    /// The thread must not send to its own inbox: if the inbox were full, it would wait for itself.
    pub(crate) deferred: VecDeque<Input>,
    pub(crate) store: S,
    /// Revision of the configuration record that was last read from the store.
    pub(crate) config_revision: Arc<AtomicU64>,
    pub(crate) endpoints: HttpEndpoints,
    pub(crate) batch: BatchRunner<S, HttpWorkers>,
    /// Reply channels of the submitters' calls that wait for an answer.
    pub(crate) submitters: HashMap<CallId, oneshot::Sender<JobReply>>,
    pub(crate) links: Links,
    pub(crate) heartbeats: HeartbeatSender,
    pub(crate) metrics: Metrics,
    pub(crate) counters: StatusCounters,
    /// Records outcomes for the service-level record.
    pub(crate) recorder: Recorder,
    /// Set to true when the reducer has completed a stop.
    pub(crate) stopped: watch::Sender<bool>,
}

impl<S: Store> Runner<S> {
    /// Starts one effect; its result arrives later as an input of the reducer thread.
    pub(crate) fn run(&mut self, effect: Effect, load: impl Fn() -> Load, cfg: &Configuration) {
        match effect {
            Effect::Membership(effect) => self.run_membership(effect),
            Effect::Request(effect) => self.run_request(effect, load),
            Effect::Config(effect) => self.run_config(effect, cfg),
            Effect::Batch(effect) => self.run_batch(effect),
            Effect::Stopped => {
                info!(event = "stopped", "the stop is complete; all work is done");
                self.stopped.send_replace(true);
            }
        }
    }

    /// Returns this instance's service-level record as JSON.
    pub(crate) fn burn(&mut self, now: Timestamp) -> Vec<u8> {
        let snapshot = self.recorder.snapshot(now);
        serde_json::to_vec(&snapshot).unwrap_or_else(|err| {
            warn!(event = "burn_unencoded", error = %err, "the service-level record cannot be encoded as JSON");
            Vec::new()
        })
    }

    fn run_batch(&mut self, effect: BatchEffect) {
        match self.batch.run(effect) {
            None => {}
            Some(Outgoing::Reply { call, reply }) => {
                if let Some(submitter) = self.submitters.remove(&call) {
                    // Fails if the submitter has disconnected; it can query the job later.
                    let _ = submitter.send(reply);
                }
            }
            Some(Outgoing::ToPeer { to, message }) => match encode_peer_batch(message) {
                Ok(message) => self.send_to_peer(&to, Frame::Batch(message)),
                Err(err) => {
                    warn!(event = "batch_message_unencoded", to = %to, error = %err, "a message about batch work to a peer cannot be encoded");
                }
            },
        }
    }

    /// Queues a frame for a peer.
    ///
    /// If the queue is full, the event that follows is added to [`Self::deferred`].
    fn send_to_peer(&mut self, to: &InstanceId, frame: Frame) {
        let Err(frame) = self.links.send(to, frame) else {
            return;
        };
        if let Some(event) = event_for_unsent(to, &frame) {
            let event = Event::Request(event);
            self.deferred.push_back(Input::Event(event));
        }
    }

    fn run_membership(&mut self, effect: MembershipEffect) {
        match effect {
            MembershipEffect::SendHeartbeat { to, heartbeat } => {
                self.metrics.count("heartbeats.sent");
                self.heartbeats.send(&to, *heartbeat);
            }
            MembershipEffect::ReadView => {
                let requested_at = self.clock.now();
                self.spawn_store_call(move |store| view_store::read(store, requested_at));
            }
            MembershipEffect::SwapView { expect, view } => {
                self.spawn_store_call(move |store| view_store::swap(store, expect, *view));
            }
            MembershipEffect::ViewAdopted(number) => {
                self.metrics.gauge("view.number", number.0);
                info!(
                    event = "view_adopted",
                    view = number.0,
                    "a newer membership view is in force"
                );
            }
        }
    }

    /// Makes a store call on a thread for blocking calls and sends the result to the reducer.
    fn spawn_store_call(&self, call: impl FnOnce(&S) -> MembershipEvent + Send + 'static) {
        let store = self.store.clone();
        let inbox = self.inbox.clone();
        self.runtime.spawn_blocking(move || {
            let event = Event::Membership(call(&store));
            // A closed inbox means that the process is ending.
            let _ = inbox.send(Input::Event(event));
        });
    }
}
