//! Writes the reducer's records, each on the condition that this owner still owns.

use std::{cell::RefCell, rc::Rc};

use guavacart_jobs::{Event, JobKey, SaveOrder};
use guavacart_types::Revision;

use super::{Owner, Revisions};
use crate::{Key, Platform, Put, StoreError, Value, Write, records, watching};

/// Records in one call: each takes a condition and a put of the 32 entries that a call may have.
const RECORDS_PER_CALL: usize = 14;
/// Jobs that one call forgets: each has three keys.
const FORGOTTEN_PER_CALL: usize = 10;

/// Other records beside them.
const OTHERS_PER_CALL: usize = 3;

/// A record that stays.
fn put((key, value): (Key, Value)) -> Put {
    Put {
        key,
        value,
        lease: None,
    }
}

/// What is known of the records in the store.
#[derive(Debug)]
pub(super) struct Saver {
    revisions: RefCell<Revisions>,
}

impl Saver {
    pub(super) fn new(revisions: Revisions) -> Self {
        Self {
            revisions: RefCell::new(revisions),
        }
    }

    fn revision(&self, key: JobKey) -> Revision {
        self.revisions
            .borrow()
            .get(&key)
            .copied()
            .unwrap_or(Revision(0))
    }
}

impl<P: Platform> Owner<P> {
    /// Writes until everything stands or the term has ended.
    pub(super) async fn save(self: Rc<Self>, order: SaveOrder) {
        let jobs = order.records.into_iter();
        let jobs: Vec<(JobKey, Vec<u8>)> = jobs
            .map(|(key, progress)| (key, records::encode(&progress)))
            .collect();
        let fleet = order
            .fleet
            .map(|fleet| (Key::Fleet, records::encode(&fleet)));
        let learned = order
            .learned
            .map(|learned| (Key::Learned, records::encode(&learned)));
        let own = fleet.into_iter().chain(learned);
        let own = own.map(|(key, bytes)| (key, Value::Own(bytes)));
        let waves = order.waves.into_iter();
        let waves = waves.map(|(wave, state)| (Key::WaveState(wave), Value::Wave(wave, state)));
        let mut others: Vec<Put> = own.chain(waves).map(put).collect();
        // What else is to be written goes with the jobs' records as far as it fits.
        for chunk in jobs.chunks(RECORDS_PER_CALL) {
            let beside = others.split_off(others.len().saturating_sub(OTHERS_PER_CALL));
            if !self.save_chunk(chunk, &beside).await {
                return;
            }
        }
        for chunk in others.chunks(RECORDS_PER_CALL) {
            if !self.save_chunk(&[], chunk).await {
                return;
            }
        }
        self.apply(Event::Saved { save: order.save });
    }

    async fn save_chunk(self: &Rc<Self>, chunk: &[(JobKey, Vec<u8>)], others: &[Put]) -> bool {
        let make = || {
            let mut write = Write {
                expected: vec![(Key::Owner, self.revision)],
                puts: others.to_vec(),
                ..Write::default()
            };
            for (key, bytes) in chunk {
                let revision = self.saver.revision(*key);
                write.expected.push((Key::Progress(*key), revision));
                write
                    .puts
                    .push(put((Key::Progress(*key), Value::Own(bytes.clone()))));
            }
            write
        };
        let Some(revision) = self.write(make).await else {
            return false;
        };
        let mut revisions = self.saver.revisions.borrow_mut();
        for (key, _) in chunk {
            revisions.insert(*key, revision);
        }
        true
    }

    /// Repeats a write until it is done; `None` if the term has ended.
    async fn write(self: &Rc<Self>, make: impl Fn() -> Write) -> Option<Revision> {
        while self.is_alive() {
            let result = self.shared.platform.commit(make()).await;
            self.shared.counters.store_writes.add(1);
            self.shared.health.note(&result);
            match result {
                Ok(revision) => return Some(revision),
                Err(StoreError::Conflict(current)) => self.take_conflict(&current),
                Err(err) => {
                    tracing::warn!(event = "save_failed", cause = %err);
                    watching::pause().await;
                }
            }
        }
        None
    }

    /// An earlier write of this term was done without an answer, or another node owns.
    fn take_conflict(&self, current: &[(Key, Option<crate::Item>)]) {
        let mut revisions = self.saver.revisions.borrow_mut();
        for (key, item) in current {
            let revision = item.as_ref().map_or(Revision(0), |item| item.revision);
            match key {
                Key::Owner if revision != self.revision => {
                    self.step_down("another node owns by the store");
                }
                Key::Progress(job) => {
                    revisions.insert(*job, revision);
                }
                _ => {}
            }
        }
    }

    /// Removes what is kept of jobs.
    pub(super) async fn forget(self: Rc<Self>, jobs: Vec<JobKey>) {
        for chunk in jobs.chunks(FORGOTTEN_PER_CALL) {
            let keys = |key: &JobKey| [Key::Job(*key), Key::Cancel(*key), Key::Progress(*key)];
            let make = || Write {
                expected: vec![(Key::Owner, self.revision)],
                puts: Vec::new(),
                removes: chunk.iter().flat_map(keys).collect(),
            };
            if self.write(make).await.is_none() {
                return;
            }
        }
    }
}
