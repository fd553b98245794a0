//! Writes the reducer's records, each on the condition that this node is still the owner.

#[cfg(test)]
mod tests;

use std::{cell::RefCell, iter, rc::Rc};

use guavacart_jobs::{Event, JobKey, SaveOrder};
use guavacart_types::Revision;

use super::{Owner, snapshot::Revisions};
use crate::{Item, Key, Platform, Put, StoreError, Value, Write, records, watching};

/// Progress records in one write: each takes a condition and a put of the 32 entries that a write
/// may have.
const MAX_RECORDS_PER_WRITE: usize = 12;
/// Jobs removed by one write: each takes a condition and three keys.
const MAX_DELETED_JOBS_PER_WRITE: usize = 7;

/// Tombstones removed by one write: each takes two conditions and a key.
const MAX_TOMBSTONES_PER_WRITE: usize = 10;

/// Other records that one write has besides; with the condition of the ownership they use the
/// remaining 8 entries.
const MAX_OTHERS_PER_WRITE: usize = 3;

/// Known revisions of the records that the owner writes.
///
/// A write without an answer may be carried out seconds later, after later ones of the same owner.
/// Each record is therefore written on the condition of its own revision.
#[derive(Debug)]
pub(super) struct SavedRevisions {
    revisions: RefCell<Revisions>,
}

impl SavedRevisions {
    pub(super) fn new(revisions: Revisions) -> Self {
        Self {
            revisions: RefCell::new(revisions),
        }
    }

    /// The condition that a key has not changed since it was last read or written.
    fn condition(&self, key: Key) -> (Key, Revision) {
        let revision = self.revisions.borrow().get(&key).copied();
        (key, revision.unwrap_or(Revision(0)))
    }

    /// Builds a write of records, on the condition of the ownership and of each record's revision.
    pub(super) fn write(&self, owner: Revision, records: &[(Key, Value)]) -> Write {
        let put = |(key, value): &(Key, Value)| Put {
            key: *key,
            value: value.clone(),
            lease: None,
        };
        let conditions = records.iter().map(|(key, _)| self.condition(*key));
        Write {
            expected: iter::once((Key::Owner, owner)).chain(conditions).collect(),
            puts: records.iter().map(put).collect(),
            removes: Vec::new(),
        }
    }

    /// Records the revision of a cancel that was read.
    pub(super) fn record_cancel(&self, key: JobKey, revision: Revision) {
        let mut revisions = self.revisions.borrow_mut();
        revisions.insert(Key::Cancel(key), revision);
    }

    /// Builds the removal of the tombstones among these cancels: those whose job is not stored.
    fn tombstone_removal(&self, owner: Revision, cancels: &[JobKey]) -> Write {
        let job = |key: &JobKey| self.condition(Key::Job(*key));
        let is_tombstone = |key: &&JobKey| job(key).1 == Revision(0);
        let tombstones: Vec<&JobKey> = cancels.iter().filter(is_tombstone).collect();
        let conditions = tombstones.iter();
        let conditions = conditions.flat_map(|key| [job(key), self.condition(Key::Cancel(**key))]);
        Write {
            expected: iter::once((Key::Owner, owner)).chain(conditions).collect(),
            puts: Vec::new(),
            removes: tombstones.iter().map(|key| Key::Cancel(**key)).collect(),
        }
    }

    /// Builds the removal of everything stored for ended jobs, on the same conditions.
    fn removal(&self, owner: Revision, jobs: &[JobKey]) -> Write {
        let keys = |key: &JobKey| [Key::Job(*key), Key::Cancel(*key), Key::Progress(*key)];
        let conditions = jobs.iter().map(|key| self.condition(Key::Progress(*key)));
        Write {
            expected: iter::once((Key::Owner, owner)).chain(conditions).collect(),
            puts: Vec::new(),
            removes: jobs.iter().flat_map(keys).collect(),
        }
    }
}

impl<P: Platform> Owner<P> {
    /// Writes the records of an order until all are stored or the term has ended.
    pub(super) async fn save(self: Rc<Self>, order: SaveOrder) {
        let jobs = order.progress.into_iter();
        let jobs: Vec<(Key, Value)> = jobs
            .map(|(key, progress)| {
                let record = records::encode(&progress);
                (Key::Progress(key), Value::Record(record))
            })
            .collect();
        let executors_with_runs = order.executors_with_runs.map(|executors_with_runs| {
            (
                Key::ExecutorsWithRuns,
                records::encode(&executors_with_runs),
            )
        });
        let learned = order
            .learned
            .map(|learned| (Key::Learned, records::encode(&learned)));
        let maintenance = order
            .maintenance
            .map(|maintenance| (Key::Maintenance, records::encode(&maintenance)));
        let product_records = executors_with_runs.into_iter().chain(maintenance);
        let product_records = product_records.chain(learned);
        let product_records = product_records.map(|(key, bytes)| (key, Value::Record(bytes)));
        let waves = order.waves.into_iter();
        let waves = waves.map(|(wave, state)| (Key::WaveState(wave), Value::Wave(wave, state)));
        let mut others: Vec<(Key, Value)> = product_records.chain(waves).collect();
        // The other records are written together with the jobs' progress as far as there is room.
        for chunk in jobs.chunks(MAX_RECORDS_PER_WRITE) {
            let others_chunk = others.split_off(others.len().saturating_sub(MAX_OTHERS_PER_WRITE));
            if !self.save_chunk(&[chunk, &others_chunk].concat()).await {
                return;
            }
        }
        for chunk in others.chunks(MAX_RECORDS_PER_WRITE) {
            if !self.save_chunk(chunk).await {
                return;
            }
        }
        self.apply(Event::Saved { save: order.number });
    }

    async fn save_chunk(self: &Rc<Self>, records: &[(Key, Value)]) -> bool {
        let make_write = || self.saved_revisions.write(self.revision, records);
        let Some(revision) = self.write_until_done(make_write).await else {
            return false;
        };
        let mut revisions = self.saved_revisions.revisions.borrow_mut();
        for (key, _) in records {
            revisions.insert(*key, revision);
        }
        true
    }

    /// Repeats a write until it succeeds; `None` if the term has ended or nothing is left to write.
    async fn write_until_done(self: &Rc<Self>, make_write: impl Fn() -> Write) -> Option<Revision> {
        while self.is_active() {
            let write = make_write();
            if write.is_empty() {
                return None;
            }
            let result = self.shared.platform.commit(write.clone()).await;
            self.shared.counters.store_writes.add(1);
            self.shared.health.record(&result);
            match result {
                Ok(revision) => return Some(revision),
                Err(StoreError::Conflict(current)) => self.apply_conflict(&write, &current),
                Err(err) => {
                    tracing::warn!(event = "save_failed", cause = %err);
                    watching::pause_after_failure().await;
                }
            }
        }
        None
    }

    /// Applies the current items of a conflict: an earlier write of this term succeeded without an
    /// answer, or another node is the owner. A record that is not among them does not exist.
    fn apply_conflict(&self, write: &Write, current: &[(Key, Option<Item>)]) {
        let mut revisions = self.saved_revisions.revisions.borrow_mut();
        for (key, _) in &write.expected {
            let found = current.iter().find(|(found, _)| found == key);
            let item = found.and_then(|(_, item)| item.as_ref());
            let revision = item.map_or(Revision(0), |item| item.revision);
            match key {
                Key::Owner if found.is_none() => {}
                Key::Owner if revision != self.revision => {
                    self.step_down("the store names another owner");
                }
                Key::Owner => {}
                _ => {
                    revisions.insert(*key, revision);
                }
            }
        }
    }

    /// Removes everything stored for ended jobs.
    pub(super) async fn delete_jobs(self: Rc<Self>, jobs: Vec<JobKey>) {
        for chunk in jobs.chunks(MAX_DELETED_JOBS_PER_WRITE) {
            let make_write = || self.saved_revisions.removal(self.revision, chunk);
            if self.write_until_done(make_write).await.is_none() {
                return;
            }
            let mut revisions = self.saved_revisions.revisions.borrow_mut();
            for key in chunk {
                revisions.remove(&Key::Progress(*key));
                revisions.remove(&Key::Cancel(*key));
            }
        }
    }

    /// Removes cancels whose job is not stored.
    pub(super) async fn delete_tombstones(self: Rc<Self>, cancels: Vec<JobKey>) {
        for chunk in cancels.chunks(MAX_TOMBSTONES_PER_WRITE) {
            let make_write = || self.saved_revisions.tombstone_removal(self.revision, chunk);
            let removed = self.write_until_done(make_write).await;
            tracing::info!(event = "tombstones_removed", cancels = chunk.len(), at = ?removed);
            let mut revisions = self.saved_revisions.revisions.borrow_mut();
            for key in chunk {
                revisions.remove(&Key::Cancel(*key));
                revisions.remove(&Key::Job(*key));
            }
        }
    }
}
