//! Retry budgets of the called services.

use crate::{
    common::*,
    decision::{profile::service_profile::RetryLimits, retry::retry_budget::RetryBudget},
};

/// Retry budget of each called service, under a lock of its own.
#[derive(Debug)]
pub struct RetryBudgets {
    budgets: IndexMap<SmolStr, Mutex<RetryBudget>>,
}

impl RetryBudgets {
    /// Creates a budget with the default limits for each called service.
    pub fn new(services: &[SmolStr]) -> Self {
        let limits = RetryLimits::default();
        let budgets = services
            .iter()
            .map(|service| (service.clone(), Mutex::new(RetryBudget::new(&limits))))
            .collect();
        Self { budgets }
    }

    /// Counts a first attempt; `limits` are those in force for the service.
    pub fn record_first(&self, service: &str, limits: &RetryLimits, now: Instant) {
        if let Some(budget) = self.budgets.get(service) {
            let mut budget = budget.lock();
            budget.set_limits(limits);
            budget.record_first(now);
        }
    }

    /// Takes one extra attempt from the budget; returns false when it is exhausted or the service
    /// has none.
    pub fn take_extra(&self, service: &str, now: Instant) -> bool {
        let budget = self.budgets.get(service);
        budget.is_some_and(|budget| budget.lock().take_extra(now))
    }
}
