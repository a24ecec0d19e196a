//! Thresholds of the called services.

use crate::{
    common::*,
    decision::{admission::service_threshold::ServiceThreshold, request_priority::RequestPriority},
};

/// Most services whose thresholds are kept. Calls to further ones are not shed early.
const MAX_SERVICES: usize = 300;

/// What the daemon knows about the load of the services below it.
#[derive(Debug)]
pub struct OverloadController {
    is_single_path: bool,
    thresholds: Mutex<IndexMap<SmolStr, ServiceThreshold>>,
}

impl OverloadController {
    /// Creates a controller of a daemon whose backend server calls `services`.
    pub fn new(services: &[SmolStr]) -> Self {
        Self {
            is_single_path: services.len() == 1,
            thresholds: Mutex::default(),
        }
    }

    /// Returns whether a request is worth starting at the own backend server. With several called
    /// services, the ones that a request will need are unknown, so that nothing is refused here.
    pub fn admits(&self, priority: RequestPriority, now: Instant) -> bool {
        let thresholds = self.thresholds.lock();
        !self.is_single_path || thresholds.values().all(|known| known.admits(priority, now))
    }

    /// Returns the lowest priority that is worth starting at the own backend server.
    pub fn lowest_admitted(&self, now: Instant) -> RequestPriority {
        let thresholds = self.thresholds.lock();
        let known = thresholds.values().filter_map(|known| known.priority(now));
        known
            .filter(|_| self.is_single_path)
            .min()
            .unwrap_or(RequestPriority::LOWEST)
    }

    /// Returns whether a call to a service is worth sending.
    pub fn admits_call(&self, service: &str, priority: RequestPriority, now: Instant) -> bool {
        let thresholds = self.thresholds.lock();
        thresholds
            .get(service)
            .is_none_or(|known| known.admits(priority, now))
    }

    /// Records the `skylark-threshold` header of a response; entries that cannot be read are
    /// ignored.
    pub fn observe(&self, header: &str, now: Instant) {
        let mut thresholds = self.thresholds.lock();
        let entries = header.split(',').filter_map(|entry| entry.split_once('='));
        for (service, priority) in entries.take(MAX_SERVICES) {
            let Ok(priority) = priority.trim().parse() else {
                continue;
            };
            let service = SmolStr::from(service.trim());
            if thresholds.len() >= MAX_SERVICES && !thresholds.contains_key(&service) {
                thresholds.retain(|_, known| known.priority(now).is_some());
                if thresholds.len() >= MAX_SERVICES {
                    continue;
                }
            }
            thresholds.entry(service).or_default().record(priority, now);
        }
    }

    /// Forgets all thresholds, which are stale after a pause of the process.
    pub fn reset(&self) {
        let mut thresholds = self.thresholds.lock();
        thresholds.values_mut().for_each(ServiceThreshold::reset);
    }

    /// Returns the `skylark-threshold` header for a caller: the own threshold, which also tells
    /// that everything is admitted again, and the known ones of the services that every request
    /// needs.
    pub fn header(&self, service: &str, own: RequestPriority, now: Instant) -> String {
        let mut header = format!("{service}={own}");
        for (name, known) in &*self.thresholds.lock() {
            if self.is_single_path && name != service {
                let priority = known.priority(now).unwrap_or(RequestPriority::LOWEST);
                header.push_str(&format!(",{name}={priority}"));
            }
        }
        header
    }
}
