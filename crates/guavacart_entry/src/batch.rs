//! Carries out what the reducer wants done about batch work.

mod cell_store;
mod worker_call;

use guavacart_platform::{store::Store, worker::Workers};
use guavacart_scheduler::{
    Event,
    batch::{BatchEffect, BatchEvent, CellNote, PeerBatch, call::JobReply, worker::WorkerReport},
    interference::Decision,
};
use guavacart_types::{CallId, CellId, InstanceId, Timestamp};
use tracing::{error, info};

use crate::{clock::Clock, core::Input};

/// Stores the cells, calls the workers and feeds what comes of it to the reducer.
#[derive(Clone)]
pub(crate) struct BatchRunner<S, W> {
    pub(crate) store: S,
    pub(crate) workers: W,
    pub(crate) clock: Clock,
    pub(crate) runtime: tokio::runtime::Handle,
    pub(crate) inbox: flume::Sender<Input>,
}

/// What others carry out: the submitters' front and the links to peers.
#[derive(Debug, PartialEq)]
pub(crate) enum Outward {
    /// Answer a submitter.
    Reply { call: CallId, reply: JobReply },
    /// Send a message to a peer.
    Tell { to: InstanceId, message: PeerBatch },
}

impl<S: Store, W: Workers> BatchRunner<S, W> {
    /// Carries out one effect; what comes of it arrives as an event.
    pub(crate) fn run(&self, effect: BatchEffect) -> Option<Outward> {
        match effect {
            BatchEffect::Reply { call, reply } => return Some(Outward::Reply { call, reply }),
            BatchEffect::Tell { to, message } => return Some(Outward::Tell { to, message }),
            BatchEffect::Note { cell, note } => log_note(&cell, &note),
            BatchEffect::Sync { .. } => self.call_worker(effect),
            _ => self.call_store(effect),
        }
        None
    }

    fn call_store(&self, effect: BatchEffect) {
        let runner = self.clone();
        self.runtime.spawn_blocking(move || {
            if let Some(event) = runner.store_event(effect) {
                runner.feed(event);
            }
        });
    }

    fn store_event(&self, effect: BatchEffect) -> Option<BatchEvent> {
        let store = &self.store;
        let in_time = |valid_until: Timestamp| self.clock.now() < valid_until;
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
                let check = || in_time(valid_until);
                let result = cell_store::append(store, &cell, number, *record, check);
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
                let check = || in_time(valid_until);
                let result = cell_store::write_snapshot(store, &cell, *snapshot, expect, check);
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
                cell_store::delete_records(store, &cell, after, through, || in_time(valid_until));
                return None;
            }
            _ => return None,
        };
        Some(event)
    }

    fn call_worker(&self, effect: BatchEffect) {
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
            let check = || runner.clock.now() < valid_until;
            let answer = worker_call::call(&runner.workers, address, &cell, *call, check).await;
            let report = WorkerReport {
                worker,
                sync,
                answer,
            };
            runner.feed(BatchEvent::WorkerAnswered { cell, report });
        });
    }

    fn feed(&self, event: BatchEvent) {
        // A closed inbox means that the process is ending.
        let _ = self.inbox.send(Input::Event(Event::Batch(event)));
    }
}

fn log_note(cell: &CellId, note: &CellNote) {
    match note {
        CellNote::TakenOver(epoch) => {
            info!(event = "cell_taken_over", %cell, epoch = epoch.0, "this instance owns the cell");
        }
        CellNote::SteppedDown => {
            info!(event = "cell_given_up", %cell, "this instance no longer owns the cell");
        }
        CellNote::Shared(decision) => {
            let Decision {
                worker,
                task,
                attempt,
                action,
                why,
            } = decision.as_ref();
            info!(event = "shared", %cell, %worker, %task, %attempt, ?action, %why, "a task was changed for a service");
        }
        CellNote::Stopped(err) => {
            error!(event = "cell_stopped", %cell, error = %err, "the cell's journal cannot be used");
        }
    }
}
