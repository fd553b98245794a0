//! Cells in the platform's store: records, snapshots and their parts.

use guavacart_platform::store::{MAX_VALUE_BYTES, Store, StoreError, Swapped};
use guavacart_scheduler::batch::{
    ReadError, RecordRead,
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

/// Records asked for at once.
const RANGE_LIMIT: u32 = 500;
/// Bytes of a value that are left to what surrounds a snapshot's part.
const MANIFEST_BYTES: usize = 1 << 10;
/// Most bytes of one part of a snapshot.
const PART_BYTES: usize = MAX_VALUE_BYTES - MANIFEST_BYTES;

/// Reads the snapshot and the records after it.
pub(super) fn read_cell<S: Store>(store: &S, cell: &CellId) -> Result<Stored, ReadError> {
    let (snapshot, revision) = read_snapshot(store, cell)?;
    let mut records = Vec::new();
    let mut after = record_key(cell, snapshot.through);
    loop {
        let entries = store
            .range(&record_prefix(cell), &after, RANGE_LIMIT)
            .map_err(|err| unread(&err))?;
        let Some(last) = entries.last().map(|entry| entry.key.clone()) else {
            break;
        };
        let mut ended = false;
        for entry in entries {
            let Some(number) = record_number(&entry.key) else {
                ended = true;
                break;
            };
            let record = decode_record(&entry.key, &entry.versioned.value);
            records.push((number, record.map_err(ReadError::Journal)?));
        }
        if ended {
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

fn read_snapshot<S: Store>(store: &S, cell: &CellId) -> Result<(Snapshot, Revision), ReadError> {
    let key = snapshot_key(cell);
    let found = store.get(&key).map_err(|err| unread(&err))?;
    let Some(found) = found else {
        return Ok((Snapshot::default(), Revision::default()));
    };
    let manifest = decode_manifest(&key, &found.value).map_err(ReadError::Journal)?;
    let mut value = manifest.inline;
    for part in 0..manifest.parts {
        let key = part_key(cell, manifest.through, part);
        let part = store.get(&key).map_err(|err| unread(&err))?;
        let missing = JournalError::Missing { key };
        let part = part.ok_or(ReadError::Journal(missing))?;
        value.extend(part.value);
    }
    let snapshot = decode_snapshot(&key, &value).map_err(ReadError::Journal)?;
    Ok((snapshot, found.revision))
}

fn unread(err: &StoreError) -> ReadError {
    warn!(event = "cell_unread", error = %err, "a cell could not be read");
    ReadError::Unavailable
}

/// The number in a record's key; none for the other keys of a cell, which follow the records.
fn record_number(key: &str) -> Option<u64> {
    key.rsplit('/').next()?.parse().ok()
}

/// The key of one part of the snapshot that goes through `through`.
fn part_key(cell: &CellId, through: u64, part: u32) -> SmolStr {
    format_smolstr!("{}part-{through:012}-{part:04}", record_prefix(cell))
}

/// Creates the record's key unless it exists or `in_time` says that the right to act has ended.
pub(super) fn append<S: Store>(
    store: &S,
    cell: &CellId,
    number: u64,
    record: Record,
    in_time: impl Fn() -> bool,
) -> Appended {
    let key = record_key(cell, number);
    let value = match encode_record(record) {
        Ok(value) => value,
        Err(err) => {
            warn!(event = "record_unencoded", %key, error = %err, "a record has no stored form");
            return Appended::Unavailable;
        }
    };
    if !in_time() {
        return Appended::Expired;
    }
    match store.put(&key, &value, Revision::default()) {
        Ok(Swapped::Written(_)) => Appended::Written,
        Ok(Swapped::Conflict(_)) => Appended::Taken,
        Err(StoreError::Unknown { .. }) => Appended::Unknown,
        Err(err) => {
            warn!(event = "record_unwritten", %key, error = %err, "a record was not written");
            Appended::Unavailable
        }
    }
}

/// Reads what stands at a record's number.
pub(super) fn read_record<S: Store>(store: &S, cell: &CellId, number: u64) -> RecordRead {
    let key = record_key(cell, number);
    let found = match store.get(&key) {
        Ok(found) => found,
        Err(err) => {
            warn!(event = "record_unread", %key, error = %err, "a record could not be read");
            return RecordRead::Unread;
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

/// Writes a snapshot, its parts first.
pub(super) fn write_snapshot<S: Store>(
    store: &S,
    cell: &CellId,
    snapshot: Snapshot,
    expect: Revision,
    in_time: impl Fn() -> bool,
) -> SnapshotWritten {
    let through = snapshot.through;
    let written = encode_snapshot(snapshot)
        .map_err(|err| format_smolstr!("{err}"))
        .and_then(|value| put_snapshot(store, cell, through, value, expect, in_time));
    match written {
        Ok(Some(revision)) => SnapshotWritten::Written(revision),
        Ok(None) => standing_snapshot(store, cell),
        Err(cause) => {
            let key = snapshot_key(cell);
            warn!(event = "snapshot_unwritten", %key, %cause, "a snapshot was not written");
            SnapshotWritten::Failed
        }
    }
}

/// What stands at the snapshot's key after a write that another one was before, or a lost answer.
fn standing_snapshot<S: Store>(store: &S, cell: &CellId) -> SnapshotWritten {
    let key = snapshot_key(cell);
    let Ok(Some(found)) = store.get(&key) else {
        return SnapshotWritten::Failed;
    };
    match decode_manifest(&key, &found.value) {
        Ok(manifest) => SnapshotWritten::Standing {
            through: manifest.through,
            revision: found.revision,
        },
        Err(err) => {
            warn!(event = "snapshot_damaged", %key, error = %err, "a snapshot cannot be used");
            SnapshotWritten::Failed
        }
    }
}

/// Writes the parts and the manifest; none if it is not known to stand.
fn put_snapshot<S: Store>(
    store: &S,
    cell: &CellId,
    through: u64,
    value: Vec<u8>,
    expect: Revision,
    in_time: impl Fn() -> bool,
) -> Result<Option<Revision>, SmolStr> {
    let mut manifest = Manifest {
        through,
        parts: 0,
        inline: Vec::new(),
    };
    if value.len() <= PART_BYTES {
        manifest.inline = value;
    } else {
        manifest.parts = put_parts(store, cell, through, &value, &in_time)?;
    }
    let value = encode_manifest(&manifest).map_err(|err| format_smolstr!("{err}"))?;
    if !in_time() {
        return Err("the right to act ended before the call".into());
    }
    match store.put(&snapshot_key(cell), &value, expect) {
        Ok(Swapped::Written(revision)) => Ok(Some(revision)),
        Ok(Swapped::Conflict(_)) | Err(StoreError::Unknown { .. }) => Ok(None),
        Err(err) => Err(format_smolstr!("{err}")),
    }
}

fn put_parts<S: Store>(
    store: &S,
    cell: &CellId,
    through: u64,
    value: &[u8],
    in_time: impl Fn() -> bool,
) -> Result<u32, SmolStr> {
    let mut parts = 0;
    for bytes in value.chunks(PART_BYTES) {
        if !in_time() {
            return Err("the right to act ended between two parts".into());
        }
        let key = part_key(cell, through, parts);
        let standing = store.get(&key).map_err(|err| format_smolstr!("{err}"))?;
        let expect = standing.map_or(Revision::default(), |standing| standing.revision);
        let put = store.put(&key, bytes, expect);
        put.map_err(|err| format_smolstr!("{err}"))?;
        parts += 1;
    }
    Ok(parts)
}

/// Deletes the records through `through` and the parts of the snapshot through `after`.
///
/// What stays because a call failed is deleted after a later snapshot.
pub(super) fn delete_records<S: Store>(
    store: &S,
    cell: &CellId,
    after: u64,
    through: u64,
    in_time: impl Fn() -> bool,
) {
    let records = record_prefix(cell);
    let is_old = |key: &str| record_number(key).is_some_and(|number| number <= through);
    delete_where(store, &records, is_old, &in_time);
    if after < through {
        let old_parts = format_smolstr!("{records}part-{after:012}-");
        delete_where(store, &old_parts, |_| true, &in_time);
    }
}

/// Deletes the first keys that begin with `prefix` and that `is_old` chooses.
fn delete_where<S: Store>(
    store: &S,
    prefix: &str,
    is_old: impl Fn(&str) -> bool,
    in_time: impl Fn() -> bool,
) {
    let Ok(entries) = store.range(prefix, prefix, RANGE_LIMIT) else {
        return;
    };
    for entry in entries {
        if entry.key.starts_with(prefix) && is_old(&entry.key) && in_time() {
            // A key that stays is deleted after a later snapshot.
            let _ = store.delete(&entry.key, entry.versioned.revision);
        }
    }
}

#[cfg(test)]
mod tests;
