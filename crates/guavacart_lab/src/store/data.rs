//! Keys, revisions, leases and call counts of the stand-in store.

use std::{
    collections::{BTreeMap, HashMap},
    ops::Bound,
};

use serde::Serialize;

/// Kinds of calls to the store.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CallKind {
    /// Read of one key.
    Get,
    /// Conditional write.
    Put,
    /// Conditional delete.
    Delete,
    /// Keys below a prefix.
    List,
    /// Keys and values below a prefix.
    Range,
    /// Wait for a change of a key.
    Watch,
    /// Grant or renewal of a lease.
    Lease,
    /// Call that is not part of the protocol.
    Unknown,
}

impl CallKind {
    /// Returns true if calls of this kind may change the store.
    pub fn writes(self) -> bool {
        matches!(self, Self::Put | Self::Delete | Self::Lease)
    }
}

/// Numbers of calls and of bytes read.
#[derive(Clone, Debug, Default)]
pub struct Calls {
    by_second: BTreeMap<(u64, CallKind), u64>,
    read_bytes: BTreeMap<String, u64>,
}

impl Calls {
    pub(super) fn count(&mut self, kind: CallKind, second: u64) {
        *self.by_second.entry((second, kind)).or_default() += 1;
    }

    pub(super) fn count_read_bytes(&mut self, key: &str, bytes: u64) {
        let folder = key.split('/').next().unwrap_or_default();
        *self.read_bytes.entry(folder.to_owned()).or_default() += bytes;
    }

    /// Returns the bytes of the answers to reads of keys whose first path segment is `folder`, in
    /// their encoded form.
    pub fn read_bytes(&self, folder: &str) -> u64 {
        self.read_bytes.get(folder).copied().unwrap_or_default()
    }

    /// Returns the number of all calls of one kind.
    pub fn total(&self, kind: CallKind) -> u64 {
        let of_kind = |((_, k), n): (&(u64, CallKind), &u64)| (*k == kind).then_some(*n);
        self.by_second.iter().filter_map(of_kind).sum()
    }

    /// Returns the number of calls that write in each second of the lab's clock.
    pub fn writes_by_second(&self) -> BTreeMap<u64, u64> {
        self.by_second_of(CallKind::writes)
    }

    /// Returns the number of calls that don't write in each second of the lab's clock.
    pub fn reads_by_second(&self) -> BTreeMap<u64, u64> {
        self.by_second_of(|kind| !kind.writes())
    }

    fn by_second_of(&self, is_wanted: impl Fn(CallKind) -> bool) -> BTreeMap<u64, u64> {
        let mut sums = BTreeMap::new();
        for ((second, kind), n) in &self.by_second {
            if is_wanted(*kind) {
                *sums.entry(*second).or_default() += n;
            }
        }
        sums
    }
}

/// A write that was recorded for checks.
#[derive(Clone, Debug)]
pub struct RecordedWrite {
    /// Time of the write, in microseconds of the lab's clock.
    pub at_us: u64,
    /// Key that was written.
    pub key: String,
    /// Revision that the write created.
    pub revision: u64,
    /// Written value; `None` for a delete.
    pub value: Option<Vec<u8>>,
}

/// Stored value of a key, with its revision and the lease it is bound to.
#[derive(Clone, Debug)]
pub(super) struct StoredValue {
    pub(super) value: Vec<u8>,
    pub(super) revision: u64,
    lease: Option<u64>,
}

#[derive(Debug)]
struct Lease {
    ttl_ms: u64,
    expires_ms: u64,
}

/// Result of a conditional write, with the new or the conflicting revision.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Swap {
    Written(u64),
    Conflict(u64),
    Absent,
}

/// Contents of the store.
#[derive(Debug, Default)]
pub(super) struct Data {
    values: BTreeMap<String, StoredValue>,
    leases: HashMap<u64, Lease>,
    last_lease: u64,
    pub(super) revision: u64,
    pub(super) calls: Calls,
    recorded_prefixes: Vec<String>,
    pub(super) history: Vec<RecordedWrite>,
}

impl Data {
    pub(super) fn get(&self, key: &str) -> Option<&StoredValue> {
        self.values.get(key)
    }

    pub(super) fn range<'a>(
        &'a self,
        prefix: &'a str,
        after: &'a str,
    ) -> impl Iterator<Item = (&'a String, &'a StoredValue)> {
        let from = match after >= prefix {
            true => Bound::Excluded(after),
            false => Bound::Included(prefix),
        };
        self.values
            .range::<str, _>((from, Bound::Unbounded))
            .take_while(move |(key, _)| key.starts_with(prefix))
    }

    pub(super) fn put(
        &mut self,
        key: &str,
        value: Vec<u8>,
        expect: u64,
        lease: Option<u64>,
    ) -> Swap {
        let current = self.values.get(key).map_or(0, |stored| stored.revision);
        if current != expect {
            return Swap::Conflict(current);
        }
        self.revision += 1;
        let revision = self.revision;
        self.record_write(key, Some(&value));
        let stored = StoredValue {
            value,
            revision,
            lease,
        };
        self.values.insert(key.to_owned(), stored);
        Swap::Written(revision)
    }

    pub(super) fn delete(&mut self, key: &str, expect: u64) -> Swap {
        match self.values.get(key).map(|stored| stored.revision) {
            None => Swap::Absent,
            Some(current) if current != expect => Swap::Conflict(current),
            Some(_) => Swap::Written(self.remove(key)),
        }
    }

    fn remove(&mut self, key: &str) -> u64 {
        self.revision += 1;
        self.values.remove(key);
        self.record_write(key, None);
        self.revision
    }

    pub(super) fn keep_history(&mut self, prefix: &str) {
        self.recorded_prefixes.push(prefix.to_owned());
    }

    fn record_write(&mut self, key: &str, value: Option<&Vec<u8>>) {
        if !self
            .recorded_prefixes
            .iter()
            .any(|p| key.starts_with(p.as_str()))
        {
            return;
        }
        self.history.push(RecordedWrite {
            at_us: crate::clock::now_us(),
            key: key.to_owned(),
            revision: self.revision,
            value: value.cloned(),
        });
    }

    pub(super) fn grant(&mut self, ttl_ms: u64, now_ms: u64) -> u64 {
        self.last_lease += 1;
        let expires_ms = now_ms + ttl_ms;
        let lease = Lease { ttl_ms, expires_ms };
        self.leases.insert(self.last_lease, lease);
        self.last_lease
    }

    pub(super) fn has_lease(&self, lease: u64) -> bool {
        self.leases.contains_key(&lease)
    }

    pub(super) fn renew(&mut self, lease: u64, now_ms: u64) -> bool {
        let Some(lease) = self.leases.get_mut(&lease) else {
            return false;
        };
        lease.expires_ms = now_ms + lease.ttl_ms;
        true
    }

    /// Removes expired leases and the keys that are bound to them.
    pub(super) fn expire(&mut self, now_ms: u64) {
        let before = self.leases.len();
        self.leases.retain(|_, lease| lease.expires_ms > now_ms);
        if self.leases.len() == before {
            return;
        }
        let is_orphan =
            |stored: &StoredValue| stored.lease.is_some_and(|l| !self.leases.contains_key(&l));
        let orphans: Vec<String> = self
            .values
            .iter()
            .filter(|(_, stored)| is_orphan(stored))
            .map(|(key, _)| key.clone())
            .collect();
        for key in orphans {
            self.remove(&key);
        }
    }
}
