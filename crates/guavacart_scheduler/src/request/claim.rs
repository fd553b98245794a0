//! The state of a claim: the holders of a non-idempotent request id and their answers.

use guavacart_types::{InstanceId, ViewNumber};

use super::{ClaimAnswer, ledger};

/// The claim of a call's request id.
#[derive(Clone, Debug)]
pub(super) struct Claim {
    /// The view that determines the holders.
    pub(super) view: ViewNumber,
    /// The holders in that view, each with its answer once received.
    pub(super) holders: Vec<(InstanceId, Option<ClaimAnswer>)>,
    /// Every holder that may have recorded the id; a release is sent to all of them.
    pub(super) asked: Vec<InstanceId>,
    pub(super) granted: bool,
}

/// The result of a claim according to the answers received so far.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ClaimState {
    /// Too few holders have answered, or some answered for another view.
    Pending,
    /// The request may be dispatched.
    Granted,
    /// The request may have been dispatched before.
    Repeated,
}

impl Claim {
    /// Records a holder's answer.
    pub(super) fn record_answer(&mut self, from: &InstanceId, answer: ClaimAnswer) {
        for (holder, recorded) in &mut self.holders {
            if holder == from {
                *recorded = Some(answer);
            }
        }
    }

    /// Returns the result according to the answers received so far.
    pub(super) fn state(&self) -> ClaimState {
        let answers = || self.holders.iter().map(|(_, answer)| *answer);
        if answers().any(|a| a == Some(ClaimAnswer::Seen)) {
            return ClaimState::Repeated;
        }
        let new = answers().filter(|a| *a == Some(ClaimAnswer::New)).count();
        if new >= ledger::quorum(self.holders.len()) {
            return ClaimState::Granted;
        }
        let has_recorded = |a| matches!(a, Some(ClaimAnswer::New | ClaimAnswer::HistoryUnknown));
        if self.holders.is_empty() || !answers().all(has_recorded) {
            return ClaimState::Pending;
        }
        ClaimState::Repeated
    }
}
