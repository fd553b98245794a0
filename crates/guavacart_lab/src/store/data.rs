//! Keys, revisions, leases and counts of the stand-in store.

use std::{
    collections::{BTreeMap, HashMap},
    ops::Bound,
};

use serde::Serialize;

/// Kinds of calls.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CallKind {
    /// Read of a key.
    Get,
    /// Conditional write.
    Put,
    /// Conditional delete.
    Delete,
    /// Keys below a prefix.
    List,
    /// Keys and values below a prefix.
    Range,
    /// Wait for a change.
    Watch,
    /// Grant or renewal of a lease.
    Lease,
    /// None of the protocol's.
    Unknown,
}

impl CallKind {
    /// True if the call may change what stands in the store.
    pub fn writes(self) -> bool {
        matches!(self, Self::Put | Self::Delete | Self::Lease)
    }
}

/// Numbers of calls.
#[derive(Clone, Debug, Default)]
pub struct Calls {
    by_second: BTreeMap<(u64, CallKind), u64>,
    read_bytes: BTreeMap<String, u64>,
}

impl Calls {
    pub(super) fn count(&mut self, kind: CallKind, second: u64) {
        *self.by_second.entry((second, kind)).or_default() += 1;
    }

    pub(super) fn count_read(&mut self, key: &str, bytes: u64) {
        let folder = key.split('/').next().unwrap_or_default();
        *self.read_bytes.entry(folder.to_owned()).or_default() += bytes;
    }

    /// Bytes of the answers to reads of keys whose first part is `folder`, as they went out.
    pub fn read_bytes(&self, folder: &str) -> u64 {
        self.read_bytes.get(folder).copied().unwrap_or_default()
    }

    /// Calls of one kind in all.
    pub fn total(&self, kind: CallKind) -> u64 {
        let of_kind = |((_, k), n): (&(u64, CallKind), &u64)| (*k == kind).then_some(*n);
        self.by_second.iter().filter_map(of_kind).sum()
    }

    /// Calls that write, by second of the lab's clock.
    pub fn writes_by_second(&self) -> BTreeMap<u64, u64> {
        self.filtered(CallKind::writes)
    }

    /// Calls that read, by second of the lab's clock.
    pub fn reads_by_second(&self) -> BTreeMap<u64, u64> {
        self.filtered(|kind| !kind.writes())
    }

    fn filtered(&self, wanted: impl Fn(CallKind) -> bool) -> BTreeMap<u64, u64> {
        let mut sums = BTreeMap::new();
        for ((second, kind), n) in &self.by_second {
            if wanted(*kind) {
                *sums.entry(*second).or_default() += n;
            }
        }
        sums
    }
}

/// A write that was kept for the checks.
#[derive(Clone, Debug)]
pub struct Write {
    /// When, in microseconds of the lab's clock.
    pub at_us: u64,
    /// The key.
    pub key: String,
    /// The revision that it made.
    pub revision: u64,
    /// The value; none for a delete.
    pub value: Option<Vec<u8>>,
}

/// What stands at a key.
#[derive(Clone, Debug)]
pub(super) struct Cell {
    pub(super) value: Vec<u8>,
    pub(super) revision: u64,
    lease: Option<u64>,
}

#[derive(Debug)]
struct Lease {
    ttl_ms: u64,
    ends_ms: u64,
}

/// Result of a conditional write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Swap {
    Written(u64),
    Conflict(u64),
    Absent,
}

/// All of the store.
#[derive(Debug, Default)]
pub(super) struct Data {
    cells: BTreeMap<String, Cell>,
    leases: HashMap<u64, Lease>,
    last_lease: u64,
    pub(super) revision: u64,
    pub(super) calls: Calls,
    prefixes: Vec<String>,
    pub(super) history: Vec<Write>,
}

impl Data {
    pub(super) fn get(&self, key: &str) -> Option<&Cell> {
        self.cells.get(key)
    }

    pub(super) fn range<'a>(
        &'a self,
        prefix: &'a str,
        after: &'a str,
    ) -> impl Iterator<Item = (&'a String, &'a Cell)> {
        let from = match after >= prefix {
            true => Bound::Excluded(after),
            false => Bound::Included(prefix),
        };
        self.cells
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
        let stands = self.cells.get(key).map_or(0, |cell| cell.revision);
        if stands != expect {
            return Swap::Conflict(stands);
        }
        self.revision += 1;
        let revision = self.revision;
        self.keep(key, Some(&value));
        let cell = Cell {
            value,
            revision,
            lease,
        };
        self.cells.insert(key.to_owned(), cell);
        Swap::Written(revision)
    }

    pub(super) fn delete(&mut self, key: &str, expect: u64) -> Swap {
        match self.cells.get(key).map(|cell| cell.revision) {
            None => Swap::Absent,
            Some(stands) if stands != expect => Swap::Conflict(stands),
            Some(_) => Swap::Written(self.remove(key)),
        }
    }

    fn remove(&mut self, key: &str) -> u64 {
        self.revision += 1;
        self.cells.remove(key);
        self.keep(key, None);
        self.revision
    }

    pub(super) fn keep_history(&mut self, prefix: &str) {
        self.prefixes.push(prefix.to_owned());
    }

    fn keep(&mut self, key: &str, value: Option<&Vec<u8>>) {
        if !self.prefixes.iter().any(|p| key.starts_with(p.as_str())) {
            return;
        }
        self.history.push(Write {
            at_us: crate::clock::now_us(),
            key: key.to_owned(),
            revision: self.revision,
            value: value.cloned(),
        });
    }

    pub(super) fn grant(&mut self, ttl_ms: u64, now_ms: u64) -> u64 {
        self.last_lease += 1;
        let ends_ms = now_ms + ttl_ms;
        let lease = Lease { ttl_ms, ends_ms };
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
        lease.ends_ms = now_ms + lease.ttl_ms;
        true
    }

    /// Drops lapsed leases and the keys that are bound to them.
    pub(super) fn expire(&mut self, now_ms: u64) {
        let before = self.leases.len();
        self.leases.retain(|_, lease| lease.ends_ms > now_ms);
        if self.leases.len() == before {
            return;
        }
        let is_orphan = |cell: &Cell| cell.lease.is_some_and(|l| !self.leases.contains_key(&l));
        let orphans: Vec<String> = self
            .cells
            .iter()
            .filter(|(_, cell)| is_orphan(cell))
            .map(|(key, _)| key.clone())
            .collect();
        for key in orphans {
            self.remove(&key);
        }
    }
}
