//! Retry budgets, one per service, shared by all boxes.

use crate::context::Context;
use crate::metrics::{MAX_SERVICES, line};
use crate::status::RetriesLeft;
use brasswinch_observe::{Event, emit_about};
use brasswinch_routing::{KnownSize, RetryBudget, RetryBudgetSettings, RetryCounts};
use brasswinch_types::{Millis, Service};
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Minimum interval between log lines about one budget, in milliseconds. A budget's window holds
/// many of them, so that windows can be added up over all boxes from the logs.
const LOG_INTERVAL_MS: Millis = 500;

/// When the box started, on its own clock.
const BOX_START: Millis = 0;

/// This box's share of the budgets.
#[derive(Default)]
pub(crate) struct Budgets {
    by_service: Mutex<HashMap<Service, ServiceBudget>>,
}

struct ServiceBudget {
    budget: RetryBudget,
    logged_at: Option<Millis>,
}

impl ServiceBudget {
    /// Returns whether a log line is due, and counts it as written.
    fn take_log_turn(&mut self, now: Millis) -> bool {
        let is_due = self
            .logged_at
            .is_none_or(|logged_at| now >= logged_at + LOG_INTERVAL_MS);
        if is_due {
            self.logged_at = Some(now);
        }
        is_due
    }

    fn usage(&self, service: &Service, boxes: Option<usize>, now: Millis) -> Usage {
        Usage {
            service: service.clone(),
            counts: self.budget.counts(),
            left: self.budget.left(boxes, now),
        }
    }
}

/// This box's use of one budget.
struct Usage {
    service: Service,
    counts: RetryCounts,
    /// Retries that this box may send now.
    left: f64,
}

impl Usage {
    fn log(&self, boxes: Option<usize>) {
        let Self {
            service,
            counts,
            left,
        } = self;
        let RetryCounts {
            requests,
            granted,
            denied,
        } = counts;
        let boxes = boxes.map_or_else(|| "-".to_owned(), |boxes| boxes.to_string());
        emit_about(
            Event::RetryBudgetUsed,
            service,
            format_args!(
                "service={service} requests={requests} granted={granted} denied={denied} \
                 left={left:.1} boxes={boxes}"
            ),
        );
    }
}

impl Context {
    /// Counts a request for `service` towards its retry budget.
    pub(crate) fn count_request(&self, service: &Service) {
        let now = self.clock.now();
        self.with_budget(service, |entry| entry.budget.count_request(now));
    }

    /// Spends one retry of `service`'s budget. Returns whether the budget allowed it.
    pub(crate) fn spend_retry(&self, service: &Service) -> bool {
        let (boxes, now) = (self.budget_boxes(), self.clock.now());
        let (is_granted, to_log) = self.with_budget(service, |entry| {
            let is_granted = entry.budget.spend(boxes, rand::random(), now);
            let is_due = entry.take_log_turn(now);
            (is_granted, is_due.then(|| entry.usage(service, boxes, now)))
        });
        if let Some(usage) = to_log {
            usage.log(boxes);
        }
        is_granted
    }

    /// Returns this box's remaining retries of each service, sorted by service.
    pub(crate) fn retries_left(&self) -> Vec<RetriesLeft> {
        let usage = self.retry_usage().into_iter();
        usage
            .map(|usage| RetriesLeft {
                service: usage.service,
                left: usage.left.max(0.0),
            })
            .collect()
    }

    /// Writes the counts of each budget.
    pub(crate) fn write_retries(&self, text: &mut String) {
        for usage in self.retry_usage().into_iter().take(MAX_SERVICES) {
            let (service, counts) = (&usage.service, usage.counts);
            let labels = format!("service=\"{service}\"");
            let requests = counts.requests as f64;
            line(text, "retry_budget_requests_total", &labels, requests);
            line(text, "retry_budget_left", &labels, usage.left);
            for (outcome, count) in [("granted", counts.granted), ("denied", counts.denied)] {
                let labels = format!("service=\"{service}\",outcome=\"{outcome}\"");
                line(text, "retries_total", &labels, count as f64);
            }
        }
    }

    /// Returns this box's use of each budget, sorted by service.
    fn retry_usage(&self) -> Vec<Usage> {
        let (boxes, now) = (self.budget_boxes(), self.clock.now());
        let services = self.budgets.lock();
        let usage = |(service, entry): (&Service, &ServiceBudget)| entry.usage(service, boxes, now);
        let mut all: Vec<Usage> = services.iter().map(usage).collect();
        all.sort_by(|a, b| a.service.cmp(&b.service));
        all
    }

    /// Returns the number of boxes that share the budgets; `None` if the store and other boxes
    /// have not reported it.
    fn budget_boxes(&self) -> Option<usize> {
        match self.known_fleet_size() {
            KnownSize::Reported(_) => Some(self.sharing_boxes()),
            KnownSize::Observed | KnownSize::Pending => None,
        }
    }

    fn with_budget<T>(&self, service: &Service, change: impl FnOnce(&mut ServiceBudget) -> T) -> T {
        let bounds = &self.settings.bounds;
        let mut services = self.budgets.lock();
        let entry = services.entry(service.clone()).or_insert_with(|| {
            let settings = RetryBudgetSettings {
                ratio: bounds.retry_ratio,
                extra: bounds.retry_extra,
                window_ms: (bounds.retry_window_s * 1_000.0) as Millis,
            };
            ServiceBudget {
                budget: RetryBudget::new(settings, BOX_START),
                logged_at: None,
            }
        });
        change(entry)
    }
}

impl Budgets {
    fn lock(&self) -> MutexGuard<'_, HashMap<Service, ServiceBudget>> {
        let services = self.by_service.lock();
        services.unwrap_or_else(PoisonError::into_inner)
    }
}
