//! Retry budgets, one per service, shared by all boxes.

use crate::context::Context;
use crate::status::RetriesLeft;
use brasswinch_routing::{RetryBudget, RetryBudgetSettings};
use brasswinch_types::{Millis, Service};
use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};

/// This box's share of the budgets.
#[derive(Default)]
pub(crate) struct Budgets {
    by_service: Mutex<HashMap<Service, RetryBudget>>,
}

impl Context {
    /// Counts a request for `service` towards its retry budget.
    pub(crate) fn count_request(&self, service: &Service) {
        let now = self.clock.now();
        self.with_budget(service, |budget| budget.count_request(now));
    }

    /// Spends one retry of `service`'s budget. Returns whether the budget allowed it.
    pub(crate) fn spend_retry(&self, service: &Service) -> bool {
        let (boxes, now) = (self.sharing_boxes(), self.clock.now());
        self.with_budget(service, |budget| budget.spend(boxes, now))
    }

    /// Returns this box's remaining retries of each service, sorted by service.
    pub(crate) fn retries_left(&self) -> Vec<RetriesLeft> {
        let (boxes, now) = (self.sharing_boxes(), self.clock.now());
        let budgets = self.budgets.by_service.lock();
        let budgets = budgets.unwrap_or_else(PoisonError::into_inner);
        let left = |(service, budget): (&Service, &RetryBudget)| RetriesLeft {
            service: service.clone(),
            left: budget.left(boxes, now).max(0.0),
        };
        let mut all: Vec<RetriesLeft> = budgets.iter().map(left).collect();
        all.sort_by(|a, b| a.service.cmp(&b.service));
        all
    }

    fn with_budget<T>(&self, service: &Service, change: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let bounds = &self.settings.bounds;
        let budgets = self.budgets.by_service.lock();
        let mut budgets = budgets.unwrap_or_else(PoisonError::into_inner);
        let budget = budgets.entry(service.clone()).or_insert_with(|| {
            RetryBudget::new(RetryBudgetSettings {
                ratio: bounds.retry_ratio,
                extra: bounds.retry_extra,
                window_ms: (bounds.retry_window_s * 1_000.0) as Millis,
            })
        });
        change(budget)
    }
}
