use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use guavacart_platform::store::{Entry, Store, StoreError, Swapped, Versioned};
use guavacart_types::{CellId, Revision};

use super::{delete_records, part_key, record_key, snapshot_key};

/// A store in memory that always answers.
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

    fn put(&self, key: &str, value: &[u8], expect: Revision) -> Result<Swapped, StoreError> {
        let mut data = self.0.lock().unwrap();
        let stands = data.get(key).map_or(Revision(0), |found| found.revision);
        if stands != expect {
            return Ok(Swapped::Conflict(stands));
        }
        let revision = stands.next();
        let value = value.to_vec();
        data.insert(key.to_owned(), Versioned { value, revision });
        Ok(Swapped::Written(revision))
    }

    fn delete(&self, key: &str, expect: Revision) -> Result<Swapped, StoreError> {
        let mut data = self.0.lock().unwrap();
        let stands = data.get(key).map_or(Revision(0), |found| found.revision);
        if stands != expect {
            return Ok(Swapped::Conflict(stands));
        }
        data.remove(key);
        Ok(Swapped::Written(stands.next()))
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

/// Records 1 to 9, the snapshot through 7 in two parts, the one through 4 before it, another cell.
fn stored() -> Vec<String> {
    let records = (1..10).map(|number| record_key(&cell(), number).to_string());
    let parts = [4, 7]
        .into_iter()
        .flat_map(|through| [0, 1].map(|part| part_key(&cell(), through, part).to_string()));
    let other = record_key(&"c10".parse().unwrap(), 1).to_string();
    let snapshot = snapshot_key(&cell()).to_string();
    records.chain(parts).chain([other, snapshot]).collect()
}

fn left(after: u64, through: u64, in_time: bool) -> Vec<String> {
    let store = MemoryStore::with(&stored());
    delete_records(&store, &cell(), after, through, || in_time);
    store.keys()
}

#[test]
fn the_newest_snapshot_and_later_records_stay() {
    let mut expected = stored();
    expected.retain(|key| {
        let old_record = (1..8).any(|number| *key == record_key(&cell(), number));
        let old_part = [0, 1]
            .iter()
            .any(|part| *key == part_key(&cell(), 4, *part));
        !old_record && !old_part
    });
    expected.sort();
    assert_eq!(left(4, 7, true), expected);
}

#[test]
fn a_snapshot_that_stood_already_keeps_its_parts() {
    let kept = left(7, 7, true);
    for part in [0, 1] {
        assert!(kept.contains(&part_key(&cell(), 7, part).to_string()));
    }
}

#[test]
fn nothing_goes_once_the_right_to_act_has_ended() {
    let mut expected = stored();
    expected.sort();
    assert_eq!(left(4, 7, false), expected);
}
