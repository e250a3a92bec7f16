//! The budget that keeps retries a small part of all work.

use crate::config::Policy;

/// Tokens earned by first tries and spent by retries.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    /// A full budget.
    pub fn new(policy: &Policy) -> RetryBudget {
        let tokens = f64::from(policy.retry_burst);
        RetryBudget { tokens }
    }

    /// Counts a first try.
    pub fn earn(&mut self, policy: &Policy) {
        let earned = f64::from(policy.retry_percent) / 100.0;
        let most = f64::from(policy.retry_burst);
        self.tokens = (self.tokens + earned).min(most);
    }

    /// Spends on a retry; `false` if there is nothing left.
    pub fn spend(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
