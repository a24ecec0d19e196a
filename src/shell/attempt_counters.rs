//! Counters of the attempts sent to other services.

use crate::common::*;
use prometheus_client::{
    collector::Collector,
    encoding::{DescriptorEncoder, EncodeMetric},
    metrics::{MetricType, counter::Counter},
};

/// Counters of one called service.
#[derive(Debug, Default)]
struct ServiceAttempts {
    first: Counter,
    extra: Counter,
}

/// Counters of attempts for each called service, in the order of the settings.
#[derive(Debug)]
pub struct AttemptCounters {
    services: IndexMap<SmolStr, ServiceAttempts>,
}

impl AttemptCounters {
    /// Creates the counters of the called services.
    pub fn new(services: &[SmolStr]) -> Self {
        Self {
            services: services
                .iter()
                .map(|service| (service.clone(), ServiceAttempts::default()))
                .collect(),
        }
    }

    /// Counts an attempt; a service that is not in the settings is ignored.
    pub fn count(&self, service: &str, is_extra: bool) {
        let Some(attempts) = self.services.get(service) else {
            return;
        };
        if is_extra {
            attempts.extra.inc();
        } else {
            attempts.first.inc();
        }
    }

    /// Returns the numbers of first and extra attempts sent to a service.
    pub fn get(&self, service: &str) -> (u64, u64) {
        self.services.get(service).map_or((0, 0), |attempts| {
            (attempts.first.get(), attempts.extra.get())
        })
    }
}

impl Collector for AttemptCounters {
    fn encode(&self, mut encoder: DescriptorEncoder) -> Result<(), fmt::Error> {
        let help = "Attempts sent to other services";
        let mut family = encoder.encode_descriptor("attempts", help, None, MetricType::Counter)?;
        for (service, attempts) in &self.services {
            let kinds = [("first", &attempts.first), ("extra", &attempts.extra)];
            for (kind, counter) in kinds {
                let labels = [("service", service.as_str()), ("kind", kind)];
                counter.encode(family.encode_family(&labels)?)?;
            }
        }
        Ok(())
    }
}
