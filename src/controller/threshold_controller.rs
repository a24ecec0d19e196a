//! Admission thresholds reported by the called services.

use crate::{
    common::*,
    decision::{admission::service_threshold::ServiceThreshold, request_priority::RequestPriority},
};

/// Maximum number of services whose thresholds are stored. Calls to other services are not shed
/// before they are sent.
const MAX_SERVICES: usize = 300;

/// Stores the admission thresholds of called services, by which requests and calls that these would
/// refuse are shed early.
///
/// Services report their admission thresholds in the `skylark-threshold` header of responses.
#[derive(Debug)]
pub struct ThresholdController {
    calls_single_service: bool,
    thresholds: Mutex<IndexMap<SmolStr, ServiceThreshold>>,
}

impl ThresholdController {
    /// Creates a controller without thresholds for a backend server that calls `services`.
    pub fn new(services: &[SmolStr]) -> Self {
        Self {
            calls_single_service: services.len() == 1,
            thresholds: Mutex::default(),
        }
    }

    /// Returns whether to admit a request to the backend server. With several called services, it
    /// is not known in advance which ones a request needs, so that every request is admitted.
    pub fn admits(&self, priority: RequestPriority, now: Instant) -> bool {
        let thresholds = self.thresholds.lock();
        !self.calls_single_service
            || thresholds
                .values()
                .all(|threshold| threshold.admits(priority, now))
    }

    /// Returns the lowest priority of requests that [`Self::admits`] admits.
    pub fn lowest_admitted(&self, now: Instant) -> RequestPriority {
        let thresholds = self.thresholds.lock();
        let priorities = thresholds
            .values()
            .filter_map(|threshold| threshold.priority(now));
        priorities
            .filter(|_| self.calls_single_service)
            .min()
            .unwrap_or(RequestPriority::LOWEST)
    }

    /// Returns whether the threshold reported by a service admits a call; true without one.
    pub fn admits_call(&self, service: &str, priority: RequestPriority, now: Instant) -> bool {
        let thresholds = self.thresholds.lock();
        thresholds
            .get(service)
            .is_none_or(|threshold| threshold.admits(priority, now))
    }

    /// Applies the `skylark-threshold` header of a response; entries that cannot be parsed are
    /// ignored.
    pub fn apply_header(&self, header: &str, now: Instant) {
        let mut thresholds = self.thresholds.lock();
        let entries = header.split(',').filter_map(|entry| entry.split_once('='));
        for (service, priority) in entries.take(MAX_SERVICES) {
            let Ok(priority) = priority.trim().parse() else {
                continue;
            };
            let service = SmolStr::from(service.trim());
            if thresholds.len() >= MAX_SERVICES && !thresholds.contains_key(&service) {
                thresholds.retain(|_, threshold| threshold.priority(now).is_some());
                if thresholds.len() >= MAX_SERVICES {
                    continue;
                }
            }
            thresholds.entry(service).or_default().record(priority, now);
        }
    }

    /// Drops all thresholds, which are stale after a pause of the process.
    pub fn reset(&self) {
        let mut thresholds = self.thresholds.lock();
        thresholds.values_mut().for_each(ServiceThreshold::reset);
    }

    /// Returns the `skylark-threshold` header for a caller: the threshold of this daemon and, if
    /// the backend server calls a single service, the thresholds of that service and of those below
    /// it. The threshold of this daemon is also sent when everything is admitted, so that callers
    /// stop shedding.
    pub fn header(&self, service: &str, own: RequestPriority, now: Instant) -> String {
        let mut header = format!("{service}={own}");
        for (name, threshold) in &*self.thresholds.lock() {
            if self.calls_single_service && name != service {
                let priority = threshold.priority(now).unwrap_or(RequestPriority::LOWEST);
                header.push_str(&format!(",{name}={priority}"));
            }
        }
        header
    }
}
