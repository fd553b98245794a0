//! Claims of non-idempotent request ids at the holders of each.

use guavacart_types::{InstanceId, ViewNumber};

use super::{ClaimAnswer, ledger};

/// A claim under way for a call.
#[derive(Clone, Debug)]
pub(super) struct Claim {
    pub(super) view: ViewNumber,
    pub(super) holders: Vec<(InstanceId, Option<ClaimAnswer>)>,
    /// Every holder that may have recorded it, for a release.
    pub(super) asked: Vec<InstanceId>,
    pub(super) granted: bool,
}

/// What the answers to a claim come to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Verdict {
    /// Too few have answered, or in another view.
    Open,
    /// The request may be dispatched.
    Granted,
    /// It may have been dispatched before.
    Repeated,
}

impl Claim {
    /// Takes a holder's answer.
    pub(super) fn answered(&mut self, from: &InstanceId, answer: ClaimAnswer) {
        for (holder, known) in &mut self.holders {
            if holder == from {
                *known = Some(answer);
            }
        }
    }

    /// What the answers come to.
    pub(super) fn verdict(&self) -> Verdict {
        let answers = || self.holders.iter().map(|(_, answer)| *answer);
        if answers().any(|a| a == Some(ClaimAnswer::Seen)) {
            return Verdict::Repeated;
        }
        let new = answers().filter(|a| *a == Some(ClaimAnswer::New)).count();
        if new >= ledger::quorum(self.holders.len()) {
            return Verdict::Granted;
        }
        let settled = |a| matches!(a, Some(ClaimAnswer::New | ClaimAnswer::Unsure));
        if self.holders.is_empty() || !answers().all(settled) {
            return Verdict::Open;
        }
        Verdict::Repeated
    }
}
