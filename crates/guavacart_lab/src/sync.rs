//! Locks that a panicking holder does not poison.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks `mutex`; what a panicking holder left is still good for ledgers.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
