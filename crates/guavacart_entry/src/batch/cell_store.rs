//! Reads and writes the cells' journals in the platform's store: records, snapshots and their
//! parts.

use guavacart_platform::store::{MAX_VALUE_BYTES, Store, StoreError, WriteResult};
use guavacart_scheduler::batch::{
    CellReadError, RecordRead,
    journal::{
        Appended, JournalError, Record, Snapshot, SnapshotWritten, Stored, record_key,
        record_prefix, snapshot_key,
    },
};
use guavacart_types::{CellId, Revision};
use guavacart_wire::{
    Manifest, decode_manifest, decode_record, decode_snapshot, encode_manifest, encode_record,
    encode_snapshot,
};
use smol_str::{SmolStr, format_smolstr};
use tracing::warn;

/// Most entries that one range call asks for.
const MAX_RANGE_ENTRIES: u32 = 500;
/// Bytes reserved in a value for the encoding around an inline snapshot.
const MANIFEST_RESERVE_BYTES: usize = 1 << 10;
/// Most bytes of one part of a snapshot; a longer snapshot is split.
const MAX_PART_BYTES: usize = MAX_VALUE_BYTES - MANIFEST_RESERVE_BYTES;

/// Reads a cell's snapshot and all records after it.
///
/// # Errors
/// Returns [`CellReadError::Unavailable`] if a store call failed, and [`CellReadError::Journal`] if a
/// record or the snapshot is missing or damaged.
pub(super) fn read_cell<S: Store>(store: &S, cell: &CellId) -> Result<Stored, CellReadError> {
    let (snapshot, revision) = read_snapshot(store, cell)?;
    let mut records = Vec::new();
    let mut after = record_key(cell, snapshot.through);
    loop {
        let entries = store
            .range(&record_prefix(cell), &after, MAX_RANGE_ENTRIES)
            .map_err(|err| log_unavailable(&err))?;
        let Some(last) = entries.last().map(|entry| entry.key.clone()) else {
            break;
        };
        let mut is_past_records = false;
        for entry in entries {
            let Some(number) = record_number(&entry.key) else {
                is_past_records = true;
                break;
            };
            let record = decode_record(&entry.key, &entry.versioned.value);
            records.push((number, record.map_err(CellReadError::Journal)?));
        }
        if is_past_records {
            break;
        }
        after = last;
    }
    Ok(Stored {
        snapshot,
        revision,
        records,
    })
}

fn read_snapshot<S: Store>(
    store: &S,
    cell: &CellId,
) -> Result<(Snapshot, Revision), CellReadError> {
    let key = snapshot_key(cell);
    let found = store.get(&key).map_err(|err| log_unavailable(&err))?;
    let Some(found) = found else {
        return Ok((Snapshot::default(), Revision::default()));
    };
    let manifest = decode_manifest(&key, &found.value).map_err(CellReadError::Journal)?;
    let mut value = manifest.inline;
    for part in 0..manifest.parts {
        let key = part_key(cell, manifest.through, part);
        let part = store.get(&key).map_err(|err| log_unavailable(&err))?;
        let missing = JournalError::Missing { key };
        let part = part.ok_or(CellReadError::Journal(missing))?;
        value.extend(part.value);
    }
    let snapshot = decode_snapshot(&key, &value).map_err(CellReadError::Journal)?;
    Ok((snapshot, found.revision))
}

fn log_unavailable(err: &StoreError) -> CellReadError {
    warn!(event = "cell_unread", error = %err, "a cell could not be read from the store");
    CellReadError::Unavailable
}

/// Returns the number in a record's key, or none for a cell's other keys, which sort after the
/// records.
fn record_number(key: &str) -> Option<u64> {
    key.rsplit('/').next()?.parse().ok()
}

/// Returns the key of one part of the snapshot that covers the records through `through`.
fn part_key(cell: &CellId, through: u64, part: u32) -> SmolStr {
    format_smolstr!("{}part-{through:012}-{part:04}", record_prefix(cell))
}

/// Stores a record unless its key exists or `may_act` returns false.
pub(super) fn append<S: Store>(
    store: &S,
    cell: &CellId,
    number: u64,
    record: Record,
    may_act: impl Fn() -> bool,
) -> Appended {
    let key = record_key(cell, number);
    let value = match encode_record(record) {
        Ok(value) => value,
        Err(err) => {
            warn!(event = "record_unencoded", %key, error = %err, "a journal record cannot be encoded");
            return Appended::Unavailable;
        }
    };
    if !may_act() {
        return Appended::Expired;
    }
    match store.put(&key, &value, Revision::default()) {
        Ok(WriteResult::Written(_)) => Appended::Written,
        Ok(WriteResult::Conflict(_)) => Appended::KeyExists,
        Err(StoreError::Unknown { .. }) => Appended::Unknown,
        Err(err) => {
            warn!(event = "record_unwritten", %key, error = %err, "a journal record was not written to the store");
            Appended::Unavailable
        }
    }
}

/// Reads the record with the given number.
pub(super) fn read_record<S: Store>(store: &S, cell: &CellId, number: u64) -> RecordRead {
    let key = record_key(cell, number);
    let found = match store.get(&key) {
        Ok(found) => found,
        Err(err) => {
            warn!(event = "record_unread", %key, error = %err, "a journal record could not be read from the store");
            return RecordRead::Unavailable;
        }
    };
    let Some(found) = found else {
        return RecordRead::Absent;
    };
    match decode_record(&key, &found.value) {
        Ok(record) => RecordRead::Found(Box::new(record)),
        Err(error) => RecordRead::Damaged(error),
    }
}

/// Writes a snapshot: first its parts, then the manifest that makes it valid.
pub(super) fn write_snapshot<S: Store>(
    store: &S,
    cell: &CellId,
    snapshot: Snapshot,
    expect: Revision,
    may_act: impl Fn() -> bool,
) -> SnapshotWritten {
    let through = snapshot.through;
    let written = encode_snapshot(snapshot)
        .map_err(|err| format_smolstr!("{err}"))
        .and_then(|value| put_snapshot(store, cell, through, value, expect, may_act));
    match written {
        Ok(Some(revision)) => SnapshotWritten::Written(revision),
        Ok(None) => read_stored_manifest(store, cell),
        Err(cause) => {
            let key = snapshot_key(cell);
            warn!(event = "snapshot_unwritten", %key, %cause, "a cell's snapshot was not written to the store");
            SnapshotWritten::Failed
        }
    }
}

/// Reads which snapshot is stored, after a write that conflicted or whose answer was lost.
fn read_stored_manifest<S: Store>(store: &S, cell: &CellId) -> SnapshotWritten {
    let key = snapshot_key(cell);
    let Ok(Some(found)) = store.get(&key) else {
        return SnapshotWritten::Failed;
    };
    match decode_manifest(&key, &found.value) {
        Ok(manifest) => SnapshotWritten::AlreadyStored {
            through: manifest.through,
            revision: found.revision,
        },
        Err(err) => {
            warn!(event = "snapshot_damaged", %key, error = %err, "the manifest of a cell's stored snapshot cannot be decoded");
            SnapshotWritten::Failed
        }
    }
}

/// Writes the parts and the manifest.
///
/// Returns the manifest's revision, or none if the write conflicted or its answer was lost.
fn put_snapshot<S: Store>(
    store: &S,
    cell: &CellId,
    through: u64,
    value: Vec<u8>,
    expect: Revision,
    may_act: impl Fn() -> bool,
) -> Result<Option<Revision>, SmolStr> {
    let mut manifest = Manifest {
        through,
        parts: 0,
        inline: Vec::new(),
    };
    if value.len() <= MAX_PART_BYTES {
        manifest.inline = value;
    } else {
        manifest.parts = put_parts(store, cell, through, &value, &may_act)?;
    }
    let value = encode_manifest(&manifest).map_err(|err| format_smolstr!("{err}"))?;
    if !may_act() {
        return Err(
            "this instance's ownership lease expired before the manifest was written".into(),
        );
    }
    match store.put(&snapshot_key(cell), &value, expect) {
        Ok(WriteResult::Written(revision)) => Ok(Some(revision)),
        Ok(WriteResult::Conflict(_)) | Err(StoreError::Unknown { .. }) => Ok(None),
        Err(err) => Err(format_smolstr!("{err}")),
    }
}

fn put_parts<S: Store>(
    store: &S,
    cell: &CellId,
    through: u64,
    value: &[u8],
    may_act: impl Fn() -> bool,
) -> Result<u32, SmolStr> {
    let mut parts = 0;
    for bytes in value.chunks(MAX_PART_BYTES) {
        if !may_act() {
            return Err(
                "this instance's ownership lease expired before all parts were written".into(),
            );
        }
        let key = part_key(cell, through, parts);
        let existing = store.get(&key).map_err(|err| format_smolstr!("{err}"))?;
        let expect = existing.map_or(Revision::default(), |existing| existing.revision);
        let put = store.put(&key, bytes, expect);
        put.map_err(|err| format_smolstr!("{err}"))?;
        parts += 1;
    }
    Ok(parts)
}

/// Deletes the records through `through` and the parts of the earlier snapshot through `after`.
///
/// Keys that remain because a call failed are deleted after a later snapshot.
pub(super) fn delete_records<S: Store>(
    store: &S,
    cell: &CellId,
    after: u64,
    through: u64,
    may_act: impl Fn() -> bool,
) {
    let records = record_prefix(cell);
    let is_old = |key: &str| record_number(key).is_some_and(|number| number <= through);
    delete_where(store, &records, is_old, &may_act);
    if after < through {
        let old_parts = format_smolstr!("{records}part-{after:012}-");
        delete_where(store, &old_parts, |_| true, &may_act);
    }
}

/// Deletes those of the first [`MAX_RANGE_ENTRIES`] keys with `prefix` for which `is_old` returns
/// true.
fn delete_where<S: Store>(
    store: &S,
    prefix: &str,
    is_old: impl Fn(&str) -> bool,
    may_act: impl Fn() -> bool,
) {
    let Ok(entries) = store.range(prefix, prefix, MAX_RANGE_ENTRIES) else {
        return;
    };
    for entry in entries {
        if entry.key.starts_with(prefix) && is_old(&entry.key) && may_act() {
            // If the call fails, the key is deleted after a later snapshot.
            let _ = store.delete(&entry.key, entry.versioned.revision);
        }
    }
}

#[cfg(test)]
mod tests;
