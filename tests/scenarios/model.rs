//! Services, instances and faults of the scenarios.

use indexmap::IndexMap;
use skylarkstream::decision::{
    admission::admission_gate::{AdmissionGate, GateKey},
    admission::service_threshold::ServiceThreshold,
    profile::service_profile::{AdmissionLimits, RetryLimits},
    retry::retry_budget::RetryBudget,
    routing::upstream_set::{InstanceInfo, UpstreamKey, UpstreamSet},
};
use std::{
    collections::VecDeque,
    net::{Ipv4Addr, SocketAddr},
    ops::Range,
    time::{Duration, Instant},
};

slotmap::new_key_type! {
    pub struct CallKey;
}

/// Warm-up of a cold instance, after which it has its normal service time, in seconds.
const WARM_UP_S: f64 = 5.0;

/// Class levels and their shares of the demand.
pub const CLASSES: [(u8, f64); 3] = [(0, 0.08), (1, 0.22), (4, 0.7)];

/// Kind of overload control in a simulation run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Control {
    /// No overload control; each hop retries failed calls.
    None,
    /// As `None`, with a queue of fixed length at each instance.
    Fixed,
    /// Decision code of the daemons.
    Full,
}

/// Fault that is active for a part of a scenario.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// The service time of the deepest service is multiplied by this factor.
    Slow(f64),
    /// The demand is multiplied by this factor.
    Surge(f64),
    /// Cold instances replace a third of the instances of the deepest service.
    Cold,
    /// The data centres cannot reach each other.
    CutOff,
    /// The daemon of an instance is paused.
    Pause(usize),
    /// Half of the calls to an instance are lost on connections that stay open but deliver no data.
    Silent(usize),
}

/// Name, number of instances, slots of each instance and mean service time in milliseconds.
pub type Service = (&'static str, usize, usize, u64);

#[derive(Clone)]
pub struct Scenario {
    pub name: &'static str,
    pub seed: u64,
    pub services: Vec<Service>,
    /// Demand as a share of the capacity of the deepest service.
    pub demand: f64,
    pub duration: Duration,
    /// Faults with their start and end.
    pub faults: Vec<(Fault, Duration, Duration)>,
}

impl Scenario {
    /// Returns the value of the first fault for which `read` returns one, and the time range of the
    /// fault.
    pub fn fault<T>(&self, read: impl Fn(Fault) -> Option<T>) -> Option<(T, Range<Duration>)> {
        let mut faults = self.faults.iter();
        faults.find_map(|(fault, from, to)| Some((read(*fault)?, *from..*to)))
    }

    /// Like [`Scenario::fault`], but only if the fault is active at `now`.
    pub fn active_fault<T>(&self, now: Duration, read: impl Fn(Fault) -> Option<T>) -> Option<T> {
        let found = self.fault(read).filter(|(_, span)| span.contains(&now));
        found.map(|(value, _)| value)
    }

    /// Returns the capacity of the deepest service without faults, in requests per second.
    pub fn capacity(&self) -> f64 {
        let (_, instances, slots, service_ms) = self.services[self.services.len() - 1];
        (instances * slots) as f64 * 1_000.0 / service_ms as f64
    }

    /// Returns the time range from the start of the first fault to the end of the last one.
    pub fn trigger(&self) -> Range<Duration> {
        let from = self.faults.iter().map(|(_, from, _)| *from).min();
        let to = self.faults.iter().map(|(_, _, to)| *to).max();
        from.unwrap_or(self.duration)..to.unwrap_or(self.duration)
    }

    /// Returns the factor on the service time of an instance.
    pub fn slowdown(&self, instance: &Instance, now: Duration) -> f64 {
        if instance.next_service.is_some() {
            return 1.0;
        }
        let cold = self.fault(|fault| (fault == Fault::Cold).then_some(()));
        let cold = match cold {
            // A cold instance is five times slower at first; the factor falls linearly to 1.
            Some((_, span)) if instance.is_replaced && now >= span.start => {
                5.0 - 4.0 * ((now - span.start).as_secs_f64() / WARM_UP_S).min(1.0)
            }
            _ => 1.0,
        };
        cold * self.active_fault(now, slow_factor).unwrap_or(1.0)
    }
}

pub fn slow_factor(fault: Fault) -> Option<f64> {
    match fault {
        Fault::Slow(factor) => Some(factor),
        _ => None,
    }
}

/// Simulated instance: a daemon and the backend server beside it.
pub struct Instance {
    /// Index of the service in the chain.
    pub service: usize,
    pub name: &'static str,
    pub data_centre: usize,
    /// Whether a cold instance replaces this one under [`Fault::Cold`].
    pub is_replaced: bool,
    pub slots: usize,
    pub service_time: Duration,
    pub busy_slots: usize,
    /// Calls that wait for a slot of the backend server.
    pub backend_queue: VecDeque<CallKey>,
    pub gate: AdmissionGate,
    /// Calls that wait in the gate.
    pub waiting_calls: IndexMap<GateKey, CallKey>,
    /// Index of the service that this one calls.
    pub next_service: Option<usize>,
    pub upstream_set: UpstreamSet,
    pub retry_budget: RetryBudget,
    /// Thresholds received from other services, by service.
    pub thresholds: Vec<ServiceThreshold>,
}

impl Instance {
    pub fn all(scenario: &Scenario, now: Instant) -> Vec<Self> {
        let depth = scenario.services.len();
        let mut all = Vec::new();
        for (service, (name, instances, slots, service_ms)) in scenario.services.iter().enumerate()
        {
            for index in 0..*instances {
                all.push(Self {
                    service,
                    name,
                    data_centre: index % 2,
                    is_replaced: index < instances / 3 && service + 1 == depth,
                    slots: *slots,
                    service_time: Duration::from_millis(*service_ms),
                    busy_slots: 0,
                    backend_queue: VecDeque::new(),
                    gate: AdmissionGate::new(AdmissionLimits::default()),
                    waiting_calls: IndexMap::new(),
                    next_service: (service + 1 < depth).then_some(service + 1),
                    upstream_set: UpstreamSet::new(
                        data_centre_name(index % 2),
                        scenario.seed + all.len() as u64,
                    ),
                    retry_budget: RetryBudget::new(&RetryLimits::default()),
                    thresholds: vec![ServiceThreshold::default(); depth],
                });
            }
        }
        Self::update_upstream_sets(&mut all, 0, now);
        all
    }

    /// Chooses an upstream of the next service and returns its key and instance index.
    pub fn choose_upstream(
        &mut self,
        tried: &[UpstreamKey],
        now: Instant,
    ) -> Option<(UpstreamKey, usize)> {
        let key = self.upstream_set.choose(tried, now)?;
        let port = self.upstream_set.info(key)?.peer.port();
        Some((key, usize::from(port % 1_000)))
    }

    /// Updates the upstream sets of all instances. The ports of replaced instances are shifted by
    /// `port_offset`.
    pub fn update_upstream_sets(all: &mut [Self], port_offset: u16, now: Instant) {
        let address = |index: usize, instance: &Self| {
            let shift = if instance.is_replaced { port_offset } else { 0 };
            SocketAddr::from((Ipv4Addr::LOCALHOST, 10_000 + index as u16 + shift))
        };
        let info = |(index, instance): (usize, &Self)| InstanceInfo {
            instance: format!("{}-{index}", instance.name).into(),
            data_centre: data_centre_name(instance.data_centre),
            peer: address(index, instance),
            control: address(index, instance),
            leaving: false,
        };
        let infos: Vec<InstanceInfo> = all.iter().enumerate().map(info).collect();
        let services: Vec<usize> = all.iter().map(|instance| instance.service).collect();
        for instance in all {
            let is_called = |index: &usize| Some(services[*index]) == instance.next_service;
            let called = (0..infos.len()).filter(is_called);
            let members: Vec<InstanceInfo> = called.map(|index| infos[index].clone()).collect();
            instance.upstream_set.set_members(&members, now);
        }
    }
}

fn data_centre_name(index: usize) -> smol_str::SmolStr {
    format!("dc-{index}").into()
}
