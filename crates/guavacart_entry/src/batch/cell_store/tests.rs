use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use guavacart_platform::store::{Entry, Store, StoreError, Versioned, WriteResult};
use guavacart_types::{CellId, Revision};

use super::{delete_records, part_key, record_key, snapshot_key};

/// An in-memory store that never fails.
#[derive(Clone, Default)]
struct MemoryStore(Arc<Mutex<BTreeMap<String, Versioned>>>);

impl MemoryStore {
    fn with(keys: &[String]) -> Self {
        let store = Self::default();
        for key in keys {
            store.put(key, b"value", Revision(0)).unwrap();
        }
        store
    }

    fn keys(&self) -> Vec<String> {
        self.0.lock().unwrap().keys().cloned().collect()
    }
}

impl Store for MemoryStore {
    fn get(&self, key: &str) -> Result<Option<Versioned>, StoreError> {
        Ok(self.0.lock().unwrap().get(key).cloned())
    }

    fn put(&self, key: &str, value: &[u8], expect: Revision) -> Result<WriteResult, StoreError> {
        let mut data = self.0.lock().unwrap();
        let current = data.get(key).map_or(Revision(0), |found| found.revision);
        if current != expect {
            return Ok(WriteResult::Conflict(current));
        }
        let revision = current.next();
        let value = value.to_vec();
        data.insert(key.to_owned(), Versioned { value, revision });
        Ok(WriteResult::Written(revision))
    }

    fn delete(&self, key: &str, expect: Revision) -> Result<WriteResult, StoreError> {
        let mut data = self.0.lock().unwrap();
        let current = data.get(key).map_or(Revision(0), |found| found.revision);
        if current != expect {
            return Ok(WriteResult::Conflict(current));
        }
        data.remove(key);
        Ok(WriteResult::Written(current.next()))
    }

    fn range(&self, prefix: &str, after: &str, limit: u32) -> Result<Vec<Entry>, StoreError> {
        let data = self.0.lock().unwrap();
        let found = data
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let entries = found.map(|(key, versioned)| Entry {
            key: key.into(),
            versioned: versioned.clone(),
        });
        Ok(entries.take(limit as usize).collect())
    }

    fn watch(
        &self,
        key: &str,
        after: Revision,
        _wait: Duration,
    ) -> Result<Option<Versioned>, StoreError> {
        let found = self.get(key)?;
        Ok(found.filter(|found| found.revision > after))
    }
}

fn cell() -> CellId {
    "c1".parse().unwrap()
}

/// Returns the keys of records 1 to 9, of the snapshots through 4 and through 7 in two parts each,
/// and of a record of another cell.
fn stored_keys() -> Vec<String> {
    let records = (1..10).map(|number| record_key(&cell(), number).to_string());
    let parts = [4, 7]
        .into_iter()
        .flat_map(|through| [0, 1].map(|part| part_key(&cell(), through, part).to_string()));
    let other = record_key(&"c10".parse().unwrap(), 1).to_string();
    let snapshot = snapshot_key(&cell()).to_string();
    records.chain(parts).chain([other, snapshot]).collect()
}

fn keys_after_delete(after: u64, through: u64, may_act: bool) -> Vec<String> {
    let store = MemoryStore::with(&stored_keys());
    delete_records(&store, &cell(), after, through, || may_act);
    store.keys()
}

#[test]
fn the_newest_snapshot_and_later_records_are_kept() {
    let mut expected = stored_keys();
    expected.retain(|key| {
        let old_record = (1..8).any(|number| *key == record_key(&cell(), number));
        let old_part = [0, 1]
            .iter()
            .any(|part| *key == part_key(&cell(), 4, *part));
        !old_record && !old_part
    });
    expected.sort();
    assert_eq!(keys_after_delete(4, 7, true), expected);
}

#[test]
fn a_snapshot_that_was_already_stored_keeps_its_parts() {
    let kept = keys_after_delete(7, 7, true);
    for part in [0, 1] {
        assert!(kept.contains(&part_key(&cell(), 7, part).to_string()));
    }
}

#[test]
fn nothing_is_deleted_after_the_right_to_act_has_expired() {
    let mut expected = stored_keys();
    expected.sort();
    assert_eq!(keys_after_delete(4, 7, false), expected);
}
