//! Removes what is stored of ended and cancelled jobs once it has been kept long enough.

use guavacart_types::{Span, Timestamp};

use super::{State, Timer, jobs::JobEntry};
use crate::{Effect, JobKey};

/// Interval between checks for records whose retention has passed.
const CHECK_INTERVAL: Span = Span::secs(10);

impl State {
    pub(super) fn schedule_retention_check(&mut self) {
        self.set_timer(CHECK_INTERVAL, Timer::Retention);
    }

    /// Removes the ended jobs and the tombstones whose retention has passed.
    pub(super) fn remove_expired_records(&mut self) {
        self.schedule_retention_check();
        let keep = self.bounds.retention + CHECK_INTERVAL;
        let is_old = |entry: &JobEntry| {
            entry.stored_outcome.is_some() && entry.progress.ended_unix_ms + keep.0 < self.unix_ms
        };
        let old = self.jobs.iter().filter(|(_, entry)| is_old(entry));
        let old: Vec<JobKey> = old.map(|(key, _)| *key).collect();
        for key in &old {
            self.jobs.remove(key);
            self.cancelled.remove(key);
        }
        if !old.is_empty() {
            self.effects.push(Effect::DeleteJobs(old));
        }
        let (now, jobs) = (self.now, &self.jobs);
        let is_expired_tombstone = |key: &JobKey, since: &mut Timestamp| {
            !jobs.contains_key(key) && now.since(*since) > keep
        };
        let tombstones = self.cancelled.extract_if(.., is_expired_tombstone);
        let tombstones: Vec<JobKey> = tombstones.map(|(key, _)| key).collect();
        if !tombstones.is_empty() {
            self.effects.push(Effect::DeleteTombstones(tombstones));
        }
    }
}
