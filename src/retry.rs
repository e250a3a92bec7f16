//! A budget that limits retries to a share of all attempts.

use crate::config::Policy;

/// Tokens deposited by first attempts and withdrawn by retries.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new(policy: &Policy) -> RetryBudget {
        let tokens = f64::from(policy.retry_burst);
        RetryBudget { tokens }
    }

    /// Deposits the tokens of a first attempt.
    pub fn deposit(&mut self, policy: &Policy) {
        let deposit = f64::from(policy.retry_percent) / 100.0;
        let max_tokens = f64::from(policy.retry_burst);
        self.tokens = (self.tokens + deposit).min(max_tokens);
    }

    /// Withdraws the token of a retry; `false` if the budget is exhausted.
    pub fn withdraw(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
