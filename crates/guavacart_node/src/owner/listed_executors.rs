//! Finds executors whose entries are gone when all entries are listed again.

#[cfg(test)]
mod tests;

use std::collections::HashSet;

use guavacart_jobs::ExecutorId;

/// Executors whose entries have been read and are not known to be removed.
#[derive(Debug, Default)]
pub(super) struct ListedExecutors(HashSet<ExecutorId>);

impl ListedExecutors {
    pub(super) fn new(ids: impl IntoIterator<Item = ExecutorId>) -> Self {
        Self(ids.into_iter().collect())
    }

    /// Records a changed entry, or its removal.
    pub(super) fn change(&mut self, id: ExecutorId, exists: bool) {
        if exists {
            self.0.insert(id);
        } else {
            self.0.remove(&id);
        }
    }

    /// Records a list of all entries. Returns the executors that it lacks.
    pub(super) fn replace(&mut self, ids: impl IntoIterator<Item = ExecutorId>) -> Vec<ExecutorId> {
        let listed = ids.into_iter().collect();
        let before = std::mem::replace(&mut self.0, listed);
        before.difference(&self.0).cloned().collect()
    }
}
