//! Runs the reducer's effects on batch work: store calls, worker calls, log entries.

mod cell_store;
mod worker_sync;

use guavacart_platform::{store::Store, worker::Workers};
use guavacart_scheduler::{
    Event,
    batch::{BatchEffect, BatchEvent, CellEvent, PeerBatch, call::JobReply, worker::WorkerReport},
    interference::Decision,
};
use guavacart_types::{CallId, CellId, InstanceId, Timestamp};
use tracing::{error, info};

use crate::{clock::Clock, reducer_thread::Input};

/// Runs batch effects on other threads and sends their results to the reducer as events.
#[derive(Clone)]
pub(crate) struct BatchRunner<S, W> {
    pub(crate) store: S,
    pub(crate) workers: W,
    pub(crate) clock: Clock,
    pub(crate) runtime: tokio::runtime::Handle,
    pub(crate) inbox: flume::Sender<Input>,
}

/// A message that the caller of [`BatchRunner::run`] sends.
#[derive(Debug, PartialEq)]
pub(crate) enum Outgoing {
    /// The answer to a submitter's call.
    Reply { call: CallId, reply: JobReply },
    /// A message to a peer.
    ToPeer { to: InstanceId, message: PeerBatch },
}

impl<S: Store, W: Workers> BatchRunner<S, W> {
    /// Starts one effect and returns at once; its result reaches the reducer as an event.
    ///
    /// An effect that only sends a message is returned for the caller to send.
    pub(crate) fn run(&self, effect: BatchEffect) -> Option<Outgoing> {
        match effect {
            BatchEffect::Reply { call, reply } => return Some(Outgoing::Reply { call, reply }),
            BatchEffect::SendToPeer { to, message } => {
                return Some(Outgoing::ToPeer { to, message });
            }
            BatchEffect::Report { cell, event } => log_cell_event(&cell, &event),
            BatchEffect::Sync { .. } => self.spawn_worker_call(effect),
            _ => self.spawn_store_call(effect),
        }
        None
    }

    fn spawn_store_call(&self, effect: BatchEffect) {
        let runner = self.clone();
        self.runtime.spawn_blocking(move || {
            if let Some(event) = runner.run_store_call(effect) {
                runner.send_event(event);
            }
        });
    }

    fn run_store_call(&self, effect: BatchEffect) -> Option<BatchEvent> {
        let store = &self.store;
        let is_before = |valid_until: Timestamp| self.clock.now() < valid_until;
        let event = match effect {
            BatchEffect::ReadCell { cell, read } => {
                let result = cell_store::read_cell(store, &cell).map(Box::new);
                BatchEvent::CellRead { cell, read, result }
            }
            BatchEffect::Append {
                cell,
                number,
                record,
                valid_until,
            } => {
                let sequence = record.sequence;
                let may_act = || is_before(valid_until);
                let result = cell_store::append(store, &cell, number, *record, may_act);
                BatchEvent::Appended {
                    cell,
                    sequence,
                    result,
                }
            }
            BatchEffect::ReadRecord {
                cell,
                number,
                sequence,
            } => {
                let result = cell_store::read_record(store, &cell, number);
                BatchEvent::RecordRead {
                    cell,
                    sequence,
                    result,
                }
            }
            BatchEffect::WriteSnapshot {
                cell,
                snapshot,
                expect,
                valid_until,
            } => {
                let through = snapshot.through;
                let may_act = || is_before(valid_until);
                let result = cell_store::write_snapshot(store, &cell, *snapshot, expect, may_act);
                BatchEvent::SnapshotWritten {
                    cell,
                    through,
                    result,
                }
            }
            BatchEffect::DeleteRecords {
                cell,
                after,
                through,
                valid_until,
            } => {
                cell_store::delete_records(store, &cell, after, through, || is_before(valid_until));
                return None;
            }
            _ => return None,
        };
        Some(event)
    }

    fn spawn_worker_call(&self, effect: BatchEffect) {
        let BatchEffect::Sync {
            cell,
            worker,
            address,
            sync,
            call,
            valid_until,
        } = effect
        else {
            return;
        };
        let runner = self.clone();
        self.runtime.spawn(async move {
            let may_act = || runner.clock.now() < valid_until;
            let answer = worker_sync::send(&runner.workers, address, &cell, *call, may_act).await;
            let report = WorkerReport {
                worker,
                sync,
                answer,
            };
            runner.send_event(BatchEvent::WorkerAnswered { cell, report });
        });
    }

    fn send_event(&self, event: BatchEvent) {
        // A closed inbox means that the process is ending.
        let _ = self.inbox.send(Input::Event(Event::Batch(event)));
    }
}

fn log_cell_event(cell: &CellId, event: &CellEvent) {
    match event {
        CellEvent::TakenOver(epoch) => {
            info!(event = "cell_taken_over", %cell, epoch = epoch.0, "this instance owns the cell");
        }
        CellEvent::OwnershipLost => {
            info!(event = "cell_given_up", %cell, "this instance no longer owns the cell");
        }
        CellEvent::Colocation(decision) => {
            let Decision {
                worker,
                task,
                attempt,
                action,
                why,
            } = decision.as_ref();
            info!(event = "shared", %cell, %worker, %task, %attempt, ?action, %why, "the speed or placement of a batch task was changed because of a service");
        }
        CellEvent::Stopped(err) => {
            error!(event = "cell_stopped", %cell, error = %err, "the cell is stopped because its journal cannot be used");
        }
    }
}
