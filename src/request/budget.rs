//! The retry budget: retries are limited to a share of the successes, so that they cannot amplify
//! an overload.

/// Cost of one retry, in thousandths of a retry.
const RETRY_COST: u32 = 1_000;

/// Credit for one success, in thousandths of a retry.
const SUCCESS_CREDIT: u32 = 100;

/// Maximum credit, in thousandths of a retry.
const MAX_CREDIT: u32 = 10 * RETRY_COST;

/// Retry budget of a VM for one service.
pub(crate) struct RetryBudget {
    credit: u32,
}

impl RetryBudget {
    pub(crate) fn new() -> RetryBudget {
        RetryBudget { credit: MAX_CREDIT }
    }

    /// Adds the credit for a success.
    pub(crate) fn deposit(&mut self) {
        self.credit = (self.credit + SUCCESS_CREDIT).min(MAX_CREDIT);
    }

    /// Withdraws the cost of one retry; returns whether the credit sufficed.
    pub(crate) fn withdraw(&mut self) -> bool {
        let is_available = self.credit >= RETRY_COST;
        if is_available {
            self.credit -= RETRY_COST;
        }
        is_available
    }
}
