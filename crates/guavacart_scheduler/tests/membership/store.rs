//! A simulated store of one key, which can be down, be slow or lose answers.

use guavacart_scheduler::membership::View;
use guavacart_types::Revision;

/// The condition of the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Condition {
    /// Every call is answered in a few milliseconds.
    Up,
    /// Every call fails.
    Down,
    /// Calls take effect after up to two seconds, often after the caller has timed out.
    Slow,
    /// Writes take effect, but half of all answers are lost.
    Losing,
}

/// The stored view and its revision.
#[derive(Debug, Default)]
pub(crate) struct Store {
    pub(crate) view: Option<View>,
    pub(crate) revision: Revision,
}

impl Store {
    /// Stores `view` if the revision is still `expect`; true if it was stored.
    pub(crate) fn swap(&mut self, expect: Revision, view: &View) -> bool {
        if expect != self.revision {
            return false;
        }
        let before = self.view.as_ref().map_or(0, |v| v.number.0);
        assert_eq!(view.number.0, before + 1, "the stored view skips a number");
        self.view = Some(view.clone());
        self.revision = self.revision.next();
        true
    }
}
