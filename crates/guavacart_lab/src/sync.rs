//! Mutex locking that ignores poisoning.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks `mutex`, also after a thread panicked while holding the lock; the ledgers remain usable.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
