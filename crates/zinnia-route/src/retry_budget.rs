//! Retry budget.

use crate::RetrySettings;

/// Token bucket that is filled by calls and drained by retries; counts hundredths of a token.
///
/// Bounds the extra load by retries to a fixed percentage of the calls, so that retries cannot amplify an
/// overload.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetryBudget {
    tokens: u32,
}

/// Cost of one retry in hundredths of a token.
const RETRY_COST: u32 = 100;

impl RetryBudget {
    /// Creates a full budget, so that the first calls of a service can be retried.
    pub(crate) fn new(settings: &RetrySettings) -> Self {
        Self {
            tokens: settings.burst.saturating_mul(RETRY_COST),
        }
    }

    /// Adds the tokens of one admitted call.
    pub(crate) fn deposit(&mut self, settings: &RetrySettings) {
        let capacity = settings.burst.saturating_mul(RETRY_COST);
        self.tokens = self.tokens.saturating_add(settings.percent).min(capacity);
    }

    /// Withdraws the cost of one retry; returns false if the budget is exhausted.
    pub(crate) fn try_withdraw(&mut self) -> bool {
        match self.tokens.checked_sub(RETRY_COST) {
            Some(remaining) => {
                self.tokens = remaining;
                true
            }
            None => false,
        }
    }
}
