//! Checks that the journal of each cell in the stand-in store is one consistent history.

use std::collections::{BTreeMap, BTreeSet};

use guavacart_scheduler::{
    batch::journal::{Change, Record},
    membership::Member,
};
use guavacart_types::{CellId, Epoch};
use guavacart_wire::decode_record;
use serde::Serialize;

use crate::store::RecordedWrite;

/// Prefix of the keys of all cells.
pub const CELL_KEY_PREFIX: &str = "cell/";

/// Totals of the writes to all journals.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct JournalCounts {
    /// Records that were written.
    pub records: u64,
    /// Changes in these records.
    pub changes: u64,
    /// Takeovers of a cell by a member.
    pub takeovers: u64,
    /// Records whose number had already been written.
    pub rewritten: u64,
    /// Records that were written after a record with a higher number.
    pub out_of_order: u64,
    /// Records of a member other than the one that took the cell over last.
    pub foreign: u64,
    /// Takeovers whose epoch is not above the previous one.
    pub epochs_back: u64,
    /// Records that cannot be decoded.
    pub unreadable: u64,
}

impl JournalCounts {
    /// Returns the number of violations of a consistent history.
    pub fn faults(&self) -> u64 {
        self.rewritten + self.out_of_order + self.foreign + self.epochs_back + self.unreadable
    }
}

/// State of one cell's journal after the writes read so far.
#[derive(Debug, Default)]
struct JournalHistory {
    highest_number: u64,
    numbers: BTreeSet<u64>,
    owner: Option<Member>,
    epoch: Epoch,
}

/// Counts the records and faults of all journals in `writes`, which are in the order in which they
/// took effect.
pub fn check(writes: &[RecordedWrite]) -> JournalCounts {
    let mut counts = JournalCounts::default();
    let mut cells: BTreeMap<CellId, JournalHistory> = BTreeMap::new();
    for write in writes {
        let Some((cell, number)) = parse_record_key(&write.key) else {
            continue;
        };
        // Records are deleted after a snapshot; a delete is no part of the history.
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

/// Returns the instance that wrote the newest record of a cell.
pub fn newest_owner(writes: &[RecordedWrite], cell: &CellId) -> Option<Member> {
    writes.iter().rev().find_map(|write| {
        let (record_cell, _) = parse_record_key(&write.key)?;
        let record = decode_record(&write.key, write.value.as_deref()?).ok()?;
        (record_cell == *cell).then_some(record.writer)
    })
}

/// Returns the cell and the number in the key of a record; `None` for other keys.
fn parse_record_key(key: &str) -> Option<(CellId, u64)> {
    let (cell, number) = key.strip_prefix(CELL_KEY_PREFIX)?.split_once('/')?;
    Some((cell.parse().ok()?, number.parse().ok()?))
}

impl JournalHistory {
    fn add(&mut self, number: u64, record: Option<Record>, counts: &mut JournalCounts) {
        if !self.numbers.insert(number) {
            counts.rewritten += 1;
            return;
        }
        counts.out_of_order += u64::from(number <= self.highest_number);
        self.highest_number = self.highest_number.max(number);
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
