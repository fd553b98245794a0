//! Since when no other member can have renewed leases in this instance's place.

use guavacart_types::{Span, Timestamp, ViewNumber};

use crate::{
    Cx,
    membership::{DRIFT_MARGIN, RIGHT_SPAN, SILENCE_LIMIT},
};

/// Age of evidence that a member hears this instance; well under the silence that makes it act.
const FRESH_SPAN: Span = Span::millis(SILENCE_LIMIT.0 * 3 / 4);

/// How long every other member has heard this instance without a gap.
#[derive(Debug)]
pub(super) struct Contact {
    since: Timestamp,
    view: ViewNumber,
}

impl Contact {
    pub(super) fn new() -> Self {
        Self {
            since: Timestamp::default(),
            view: ViewNumber::default(),
        }
    }

    /// Notes who has heard this instance lately; called at each tick.
    pub(super) fn observe(&mut self, cx: &Cx<'_>) {
        let view = cx.membership.view().number;
        if view != self.view {
            self.view = view;
            self.since = cx.now + RIGHT_SPAN + DRIFT_MARGIN;
        }
        let fresh = cx.now - FRESH_SPAN;
        if !cx.membership.is_heard_by_all(fresh) {
            self.since = self.since.max(cx.now);
        }
    }

    /// The latest time at which another member may have renewed leases in this instance's place.
    pub(super) fn since(&self) -> Timestamp {
        self.since
    }
}
