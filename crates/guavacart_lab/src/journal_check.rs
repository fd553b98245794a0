//! Whether the journals in the stand-in store are one history each.

use std::collections::{BTreeMap, BTreeSet};

use guavacart_scheduler::{
    batch::journal::{Change, Record},
    membership::Member,
};
use guavacart_types::{CellId, Epoch};
use guavacart_wire::decode_record;
use serde::Serialize;

use crate::store::Write;

/// What the keys of all cells begin with.
pub const JOURNAL_FOLDER: &str = "cell/";

/// What the writes to all journals come to.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct JournalCounts {
    /// Records.
    pub records: u64,
    /// Changes in them.
    pub changes: u64,
    /// Times that a member took a cell over.
    pub takeovers: u64,
    /// Numbers that were written more than once.
    pub rewritten: u64,
    /// Records that stand after a later number was written.
    pub out_of_order: u64,
    /// Records of a member that had not taken the cell over last.
    pub foreign: u64,
    /// Epochs that are not above the one before.
    pub epochs_back: u64,
    /// Records that cannot be read.
    pub unreadable: u64,
}

impl JournalCounts {
    /// Records that do not belong into one history.
    pub fn faults(&self) -> u64 {
        self.rewritten + self.out_of_order + self.foreign + self.epochs_back + self.unreadable
    }
}

/// One cell's journal as far as it was read.
#[derive(Debug, Default)]
struct History {
    last: u64,
    numbers: BTreeSet<u64>,
    owner: Option<Member>,
    epoch: Epoch,
}

/// Reads the kept writes in the order in which they took effect.
pub fn check(writes: &[Write]) -> JournalCounts {
    let mut counts = JournalCounts::default();
    let mut cells: BTreeMap<CellId, History> = BTreeMap::new();
    for write in writes {
        let Some((cell, number)) = record_of(&write.key) else {
            continue;
        };
        // A delete follows a snapshot and makes no history.
        let Some(value) = &write.value else {
            continue;
        };
        counts.records += 1;
        let history = cells.entry(cell).or_default();
        let record = decode_record(&write.key, value).ok();
        history.add(number, record, &mut counts);
    }
    counts
}

/// The instance that wrote the newest record of a cell.
pub fn owner(writes: &[Write], cell: &CellId) -> Option<Member> {
    writes.iter().rev().find_map(|write| {
        let (of, _) = record_of(&write.key)?;
        let record = decode_record(&write.key, write.value.as_deref()?).ok()?;
        (of == *cell).then_some(record.writer)
    })
}

/// The cell and number in the key of a record; none for other keys.
fn record_of(key: &str) -> Option<(CellId, u64)> {
    let (cell, number) = key.strip_prefix(JOURNAL_FOLDER)?.split_once('/')?;
    Some((cell.parse().ok()?, number.parse().ok()?))
}

impl History {
    fn add(&mut self, number: u64, record: Option<Record>, counts: &mut JournalCounts) {
        if !self.numbers.insert(number) {
            counts.rewritten += 1;
            return;
        }
        counts.out_of_order += u64::from(number <= self.last);
        self.last = self.last.max(number);
        let Some(record) = record else {
            counts.unreadable += 1;
            return;
        };
        counts.changes += record.changes.len() as u64;
        for change in &record.changes {
            if let Change::TakenOver(epoch) = change {
                counts.takeovers += 1;
                counts.epochs_back += u64::from(*epoch <= self.epoch);
                self.epoch = *epoch;
                self.owner = Some(record.writer.clone());
            }
        }
        counts.foreign += u64::from(self.owner.as_ref() != Some(&record.writer));
    }
}
