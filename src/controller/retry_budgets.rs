//! Retry budgets of the called services.

use crate::{
    common::*,
    decision::{profile::service_profile::RetryLimits, retry::retry_budget::RetryBudget},
};

/// One budget for each called service, each under its own lock.
#[derive(Debug)]
pub struct RetryBudgets {
    budgets: IndexMap<SmolStr, Mutex<RetryBudget>>,
}

impl RetryBudgets {
    /// Creates unused budgets for the called services.
    pub fn new(services: &[SmolStr]) -> Self {
        let limits = RetryLimits::default();
        let budgets = services
            .iter()
            .map(|service| (service.clone(), Mutex::new(RetryBudget::new(&limits))))
            .collect();
        Self { budgets }
    }

    /// Counts a first attempt under the limits in force.
    pub fn record_first(&self, service: &str, limits: &RetryLimits, now: Instant) {
        if let Some(budget) = self.budgets.get(service) {
            let mut budget = budget.lock();
            budget.set_limits(limits);
            budget.record_first(now);
        }
    }

    /// Takes one extra attempt; returns false when the budget is used up.
    pub fn take_extra(&self, service: &str, now: Instant) -> bool {
        let budget = self.budgets.get(service);
        budget.is_some_and(|budget| budget.lock().take_extra(now))
    }
}
