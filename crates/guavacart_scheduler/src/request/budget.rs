//! The retry budget: limits retries and hedges to a share of the answers received.

/// Tokens added for each answer; a retry costs [`TOKENS_PER_RETRY`].
const TOKENS_PER_ANSWER: u32 = 1;
/// Cost of one retry or hedge in tokens.
const TOKENS_PER_RETRY: u32 = 10;
/// Maximum number of tokens in the budget.
const MAX_TOKENS: u32 = 1_000;
/// Tokens in the budget when the process starts.
const INITIAL_TOKENS: u32 = 100;

/// A token bucket that is filled by answers and spent on retries and hedges.
#[derive(Debug)]
pub(super) struct RetryBudget {
    tokens: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        let tokens = INITIAL_TOKENS;
        Self { tokens }
    }
}

impl RetryBudget {
    /// Adds the tokens for one answer.
    pub(super) fn answered(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_ANSWER).min(MAX_TOKENS);
    }

    /// Takes the tokens for one retry or hedge; returns false if too few are left.
    pub(super) fn try_take(&mut self) -> bool {
        let Some(left) = self.tokens.checked_sub(TOKENS_PER_RETRY) else {
            return false;
        };
        self.tokens = left;
        true
    }
}
