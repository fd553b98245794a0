//! What an owner reads before it acts.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use guavacart_jobs::{MaintenanceRecord, Snapshot};
use guavacart_types::{Epoch, Revision, Timestamp};

use crate::{Content, Item, Key, records};

/// Revisions of records in the store.
pub(super) type Revisions = BTreeMap<Key, Revision>;

/// Builds the snapshot of the stored state, and the revisions of the progress records and of the
/// cancels; no snapshot without a configuration.
pub(super) fn snapshot(
    epoch: Epoch,
    operator: Vec<Item>,
    executors: &[Item],
    inbox: Vec<Item>,
    progress: Vec<Item>,
) -> (Option<Snapshot>, Revisions) {
    let mut configuration = None;
    let mut waves = Vec::new();
    for item in operator {
        match item.content {
            Content::Configuration(read) => configuration = read,
            Content::Wave(wave) => waves.push(wave),
            _ => {}
        }
    }
    let mut records_by_job = HashMap::new();
    let mut revisions = Revisions::new();
    for item in progress {
        if let Content::Record(Key::Progress(key), Some(bytes)) = item.content {
            revisions.insert(Key::Progress(key), item.revision);
            match records::decode(&bytes) {
                Some(record) => {
                    records_by_job.insert(key, record);
                }
                None => tracing::error!(event = "unreadable_progress", job = %key),
            }
        }
    }
    let mut jobs = Vec::new();
    let mut cancelled = Vec::new();
    for item in inbox {
        match item.content {
            Content::Record(Key::Job(key), Some(bytes)) => match records::decode(&bytes) {
                Some(job) => jobs.push((key, job, records_by_job.remove(&key).unwrap_or_default())),
                None => tracing::error!(event = "unreadable_job", job = %key),
            },
            Content::Record(Key::Cancel(key), Some(_)) => {
                revisions.insert(Key::Cancel(key), item.revision);
                cancelled.push(key);
            }
            _ => {}
        }
    }
    let executors = executors.iter().filter_map(|item| match &item.content {
        Content::Executor(id, Some(registration)) => Some((id.clone(), registration.clone())),
        _ => None,
    });
    let snapshot = configuration.map(|configuration| Snapshot {
        epoch,
        configuration,
        jobs,
        cancelled,
        executors: executors.collect(),
        store_available_since: Timestamp(0),
        predecessor_confirmed_until: Timestamp(0),
        executors_with_runs: Vec::new(),
        evacuated: BTreeSet::new(),
        evacuations_as_of: Timestamp(0),
        waves,
        maintenance: MaintenanceRecord::default(),
        learned: guavacart_jobs::LearnedInterference::default(),
    });
    (snapshot, revisions)
}
