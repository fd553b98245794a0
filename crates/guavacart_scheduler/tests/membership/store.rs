//! A store of one key with outages, slow answers and lost answers.

use guavacart_scheduler::membership::View;
use guavacart_types::Revision;

/// How the store fares.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Condition {
    /// Every call is answered in a few milliseconds.
    Up,
    /// Every call fails.
    Down,
    /// Calls take effect up to two seconds later, mostly after the caller has given up.
    Slow,
    /// Writes take effect and half of the answers are lost.
    Losing,
}

/// The record of the view and its revision.
#[derive(Debug, Default)]
pub(crate) struct Store {
    pub(crate) view: Option<View>,
    pub(crate) revision: Revision,
}

impl Store {
    /// Writes `view` if the revision is still `expect`; true if it was.
    pub(crate) fn swap(&mut self, expect: Revision, view: &View) -> bool {
        if expect != self.revision {
            return false;
        }
        let before = self.view.as_ref().map_or(0, |v| v.number.0);
        assert_eq!(view.number.0, before + 1, "the record skips a number");
        self.view = Some(view.clone());
        self.revision = self.revision.next();
        true
    }
}
