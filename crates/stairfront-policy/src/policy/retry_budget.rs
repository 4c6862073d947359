//! Retry budget: retries are paid from a budget that first attempts fill, as in Finagle and
//! linkerd. Retries of failures would otherwise multiply the load that caused them.

/// Amount that each request adds to the budget, in retries.
const DEPOSIT_PER_REQUEST: f64 = 0.3;
/// Most retries that the budget holds.
const MAX_TOKENS: f64 = 10.0;

/// Retries that this balancer may send.
pub(super) struct RetryBudget {
    tokens: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget { tokens: MAX_TOKENS }
    }
}

impl RetryBudget {
    /// Adds the amount of one request.
    pub(super) fn deposit(&mut self) {
        self.tokens = (self.tokens + DEPOSIT_PER_REQUEST).min(MAX_TOKENS);
    }

    /// Whether the budget covers the cost.
    pub(super) fn covers(&self, cost: f64) -> bool {
        self.tokens >= cost
    }

    /// Takes the cost of a retry out.
    pub(super) fn withdraw(&mut self, cost: f64) {
        self.tokens -= cost;
    }
}
