use super::*;

fn ids(names: &[&str]) -> Vec<ExecutorId> {
    names.iter().map(|name| (*name).into()).collect()
}

/// Guards against an executor that stays known although its entry was removed before it changed
/// for the first time under this owner.
#[test]
fn an_executor_of_the_first_list_is_gone_if_the_next_list_lacks_it() {
    let mut known = ListedExecutors::new(ids(&["a", "b"]));
    known.change("b".into(), true);
    assert_eq!(known.replace(ids(&["b"])), ids(&["a"]));
    assert_eq!(known.replace(ids(&["b"])), ids(&[]));
}

/// Guards against memory that grows with each read of an entry.
#[test]
fn an_executor_is_kept_once_however_often_its_entry_changes() {
    let mut known = ListedExecutors::default();
    for _ in 0..1_000 {
        known.change("a".into(), true);
    }
    assert_eq!(known.0.len(), 1);
    known.change("a".into(), false);
    assert_eq!(known.0.len(), 0);
}
