use guavacart_jobs::{MaintenanceWaveState, WaveNumber};

use super::*;

/// One record under every key that an owner writes.
fn records() -> Vec<(Key, Value)> {
    let record = || Value::Record(b"record".to_vec());
    let wave = WaveNumber(7);
    vec![
        (Key::Progress(JobKey(1)), record()),
        (Key::ExecutorsWithRuns, record()),
        (Key::Maintenance, record()),
        (Key::Learned, record()),
        (
            Key::WaveState(wave),
            Value::Wave(wave, MaintenanceWaveState::Running),
        ),
    ]
}

/// Guards against a write without an answer that is carried out late and replaces a newer record.
#[test]
fn a_late_write_replaces_no_newer_record() {
    let known = records().into_iter().map(|(key, _)| (key, Revision(5)));
    let saved = SavedRevisions::new(known.skip(1).collect());
    let write = saved.write(Revision(3), &records());
    assert_eq!(write.expected[0], (Key::Owner, Revision(3)));
    for put in &write.puts {
        let condition = write.expected.iter().find(|(key, _)| *key == put.key);
        let is_new = put.key == Key::Progress(JobKey(1));
        let revision = if is_new { Revision(0) } else { Revision(5) };
        assert_eq!(condition, Some(&(put.key, revision)));
    }
}

/// Guards against a removal that is carried out late and removes a job that was submitted again.
#[test]
fn a_late_removal_removes_no_job_that_was_submitted_again() {
    let known = [(Key::Progress(JobKey(1)), Revision(5))];
    let saved = SavedRevisions::new(known.into());
    let write = saved.removal(Revision(3), &[JobKey(1)]);
    let condition = (Key::Progress(JobKey(1)), Revision(5));
    assert!(write.expected.contains(&condition));
}

/// Guards against a removal of a tombstone that is carried out late and removes a newer one, or the
/// cancel of a job that was submitted since.
#[test]
fn a_late_removal_of_a_tombstone_removes_no_other_cancel() {
    let saved = SavedRevisions::new(Revisions::new());
    saved.record_cancel(JobKey(1), Revision(5));
    let write = saved.tombstone_removal(Revision(3), &[JobKey(1)]);
    assert_eq!(write.removes, [Key::Cancel(JobKey(1))]);
    for condition in [
        (Key::Cancel(JobKey(1)), Revision(5)),
        (Key::Job(JobKey(1)), Revision(0)),
    ] {
        assert!(write.expected.contains(&condition), "{condition:?}");
    }
}

/// Guards against the removal of the cancel of a job that is stored.
#[test]
fn the_cancel_of_a_stored_job_is_no_tombstone() {
    let known = [(Key::Job(JobKey(1)), Revision(4))];
    let saved = SavedRevisions::new(known.into());
    let write = saved.tombstone_removal(Revision(3), &[JobKey(1)]);
    assert!(write.is_empty());
}

/// Guards against writes that the store refuses for their number of entries.
#[test]
fn writes_have_at_most_32_entries() {
    let saved = SavedRevisions::new(Revisions::new());
    let record = |n| (Key::Progress(JobKey(n)), Value::Record(Vec::new()));
    let most = MAX_RECORDS_PER_WRITE + MAX_OTHERS_PER_WRITE;
    let chunk: Vec<_> = (0..most as u64).map(record).collect();
    let write = saved.write(Revision(3), &chunk);
    assert!(write.expected.len() + write.puts.len() <= 32);
    let jobs: Vec<_> = (0..MAX_DELETED_JOBS_PER_WRITE as u64).map(JobKey).collect();
    let write = saved.removal(Revision(3), &jobs);
    assert!(write.expected.len() + write.removes.len() <= 32);
    let cancels: Vec<_> = (0..MAX_TOMBSTONES_PER_WRITE as u64).map(JobKey).collect();
    let write = saved.tombstone_removal(Revision(3), &cancels);
    assert!(write.expected.len() + write.removes.len() <= 32);
}
