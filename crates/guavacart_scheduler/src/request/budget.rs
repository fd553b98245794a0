//! The budget of retries and hedges: a share of recent answers.

/// Tokens of one answer; a retry costs [`RETRY_TOKENS`].
const ANSWER_TOKENS: u32 = 1;
/// Tokens that one retry or hedge costs.
const RETRY_TOKENS: u32 = 10;
/// Most tokens that are saved up.
const MOST_TOKENS: u32 = 1_000;
/// Tokens at the start.
const FIRST_TOKENS: u32 = 100;

/// What is left for retries and hedges.
#[derive(Debug)]
pub(super) struct RetryBudget {
    tokens: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        let tokens = FIRST_TOKENS;
        Self { tokens }
    }
}

impl RetryBudget {
    /// Counts an answer.
    pub(super) fn answered(&mut self) {
        self.tokens = (self.tokens + ANSWER_TOKENS).min(MOST_TOKENS);
    }

    /// Takes one retry out of the budget; false if it is spent.
    pub(super) fn take(&mut self) -> bool {
        let Some(left) = self.tokens.checked_sub(RETRY_TOKENS) else {
            return false;
        };
        self.tokens = left;
        true
    }
}
