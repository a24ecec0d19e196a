//! Services, instances, faults and events of the scenarios.

use indexmap::IndexMap;
use skylarkstream::decision::{
    admission::{
        admission_gate::{AdmissionGate, GateKey, ShedReason},
        service_threshold::ServiceThreshold,
    },
    profile::service_profile::{AdmissionLimits, RetryLimits},
    request_priority::RequestPriority,
    retry::{attempt_ledger::AttemptLedger, retry_budget::RetryBudget},
    routing::upstream_set::{InstanceInfo, UpstreamKey, UpstreamSet},
};
use slotmap::new_key_type;
use std::{
    cmp::Ordering,
    collections::VecDeque,
    net::{Ipv4Addr, SocketAddr},
    ops::Range,
    time::{Duration, Instant},
};

new_key_type! {
    pub struct CallKey;
}

/// Time in which a cold instance reaches its normal service time.
const WARM_UP: Duration = Duration::from_secs(5);

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Control {
    None,
    Fixed,
    Full,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// The deepest service slows down by a factor.
    Slow(f64),
    /// Demand grows by a factor.
    Surge(f64),
    /// A third of the instances of the deepest service is replaced by cold ones.
    Cold,
    /// The data centres lose each other.
    CutOff,
    /// The daemon of an instance does not run.
    Pause(usize),
    /// Half of the calls to an instance are lost on silent connections.
    Silent(usize),
}

#[derive(Clone, Copy, Debug)]
pub struct Service {
    pub name: &'static str,
    pub instances: usize,
    pub slots: usize,
    pub service_ms: u64,
}

#[derive(Clone, Debug)]
pub struct Scenario {
    pub name: &'static str,
    pub seed: u64,
    pub services: Vec<Service>,
    /// Classes and their share of the demand.
    pub classes: Vec<(u8, f64)>,
    /// Demand as a share of the capacity of the deepest service.
    pub demand: f64,
    pub length: Duration,
    pub faults: Vec<(Fault, Duration, Duration)>,
}

impl Scenario {
    pub fn fault(&self, wanted: impl Fn(&Fault) -> bool) -> Option<(Fault, Duration, Duration)> {
        self.faults
            .iter()
            .find(|(fault, ..)| wanted(fault))
            .copied()
    }

    pub fn active(&self, now: Duration, wanted: impl Fn(&Fault) -> bool) -> Option<Fault> {
        let mut active = self
            .faults
            .iter()
            .filter(|(_, from, to)| (*from..*to).contains(&now));
        active
            .find(|(fault, ..)| wanted(fault))
            .map(|(fault, ..)| *fault)
    }

    /// Capacity of the deepest service in requests per second, without faults.
    pub fn capacity(&self) -> f64 {
        let deepest = self.services[self.services.len() - 1];
        (deepest.instances * deepest.slots) as f64 * 1_000.0 / deepest.service_ms as f64
    }

    /// Time from the first to the last fault.
    pub fn trigger(&self) -> Range<Duration> {
        let from = self.faults.iter().map(|(_, from, _)| *from).min();
        let to = self.faults.iter().map(|(_, _, to)| *to).max();
        from.unwrap_or(self.length)..to.unwrap_or(self.length)
    }

    pub fn class(&self, mut point: f64) -> u8 {
        for (class, share) in &self.classes {
            if point < *share {
                return *class;
            }
            point -= share;
        }
        self.classes[self.classes.len() - 1].0
    }

    /// Factor on the service time of an instance.
    pub fn slowness(&self, instance: &Instance, now: Duration) -> f64 {
        if instance.next_service.is_some() {
            return 1.0;
        }
        let slow = match self.active(now, |fault| matches!(fault, Fault::Slow(_))) {
            Some(Fault::Slow(factor)) => factor,
            _ => 1.0,
        };
        let cold = match self.fault(|fault| matches!(fault, Fault::Cold)) {
            Some((_, from, _)) if instance.is_replaced && now >= from => {
                5.0 - 4.0 * ((now - from).as_secs_f64() / WARM_UP.as_secs_f64()).min(1.0)
            }
            _ => 1.0,
        };
        slow * cold
    }
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    Ran,
    NotRun(ShedReason),
    /// The attempt never reached the upstream.
    Failed,
    TimedOut,
}

#[derive(Debug)]
pub enum Event {
    Demand,
    Tick,
    Replace,
    Try(usize),
    Arrive(CallKey),
    WorkDone(CallKey),
    Reply(CallKey, Verdict),
    Timeout(CallKey),
}

#[derive(Debug)]
pub struct Timed {
    pub at: Duration,
    pub sequence: u64,
    pub event: Event,
}

impl Ord for Timed {
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

impl PartialOrd for Timed {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Timed {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Timed {}

#[derive(Clone, Debug)]
pub struct Call {
    pub root: usize,
    pub parent: Option<CallKey>,
    pub instance: usize,
    pub upstream: Option<UpstreamKey>,
    pub priority: RequestPriority,
    pub deadline: Instant,
    pub entered: Instant,
    pub sent: Instant,
    pub ledger: AttemptLedger,
    pub slice: u16,
    pub gate: Option<GateKey>,
    pub work_start: Option<Instant>,
    pub has_slot: bool,
    pub child: Option<CallKey>,
    pub tried: Vec<UpstreamKey>,
}

pub struct Instance {
    pub service: usize,
    pub name: &'static str,
    pub data_centre: usize,
    pub is_replaced: bool,
    pub slots: usize,
    pub service_time: Duration,
    pub busy: usize,
    pub fifo: VecDeque<CallKey>,
    pub gate: AdmissionGate,
    pub waiting: IndexMap<GateKey, CallKey>,
    pub next_service: Option<usize>,
    pub set: Option<UpstreamSet>,
    pub budget: RetryBudget,
    /// Learned thresholds, by service.
    pub thresholds: Vec<ServiceThreshold>,
}

impl Instance {
    pub fn all(scenario: &Scenario, now: Instant) -> Vec<Self> {
        let depth = scenario.services.len();
        let mut all = Vec::new();
        for (number, service) in scenario.services.iter().enumerate() {
            for index in 0..service.instances {
                let data_centre = index % 2;
                let next_service = (number + 1 < depth).then_some(number + 1);
                let seed = scenario.seed + all.len() as u64;
                all.push(Self {
                    service: number,
                    name: service.name,
                    data_centre,
                    is_replaced: index < service.instances / 3,
                    slots: service.slots,
                    service_time: Duration::from_millis(service.service_ms),
                    busy: 0,
                    fifo: VecDeque::new(),
                    gate: AdmissionGate::new(AdmissionLimits::default()),
                    waiting: IndexMap::new(),
                    next_service,
                    set: next_service.map(|_| UpstreamSet::new(dc(data_centre), seed)),
                    budget: RetryBudget::new(&RetryLimits::default()),
                    thresholds: vec![ServiceThreshold::default(); depth],
                });
            }
        }
        Self::update_sets(&mut all, 0, now);
        all
    }

    pub fn service_name(&self) -> &'static str {
        self.name
    }

    /// Chooses an upstream of the next service.
    pub fn choose(&mut self, tried: &[UpstreamKey], now: Instant) -> Option<(UpstreamKey, usize)> {
        let set = self.set.as_mut()?;
        let key = set.choose(tried, now)?;
        Some((key, usize::from(set.info(key)?.peer.port() % 1_000)))
    }

    /// Publishes the replaced instances of the deepest service under new addresses.
    pub fn replace_cold(all: &mut [Self], now: Instant) {
        Self::update_sets(all, 1_000, now);
    }

    fn update_sets(all: &mut [Self], replaced_offset: u16, now: Instant) {
        let infos: Vec<(usize, InstanceInfo)> = all
            .iter()
            .enumerate()
            .map(|(index, instance)| {
                let is_deepest = instance.next_service.is_none();
                let is_moved = instance.is_replaced && is_deepest;
                let port = index as u16 + if is_moved { replaced_offset } else { 0 };
                let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 10_000 + port));
                let info = InstanceInfo {
                    instance: format!("{}-{port}", instance.name).into(),
                    data_centre: dc(instance.data_centre),
                    peer: address,
                    control: address,
                    leaving: false,
                };
                (instance.service, info)
            })
            .collect();
        for instance in all {
            let members: Vec<InstanceInfo> = infos
                .iter()
                .filter(|(service, _)| Some(*service) == instance.next_service)
                .map(|(_, info)| info.clone())
                .collect();
            if let Some(set) = &mut instance.set {
                set.update(&members, now);
            }
        }
    }
}

fn dc(index: usize) -> smol_str::SmolStr {
    format!("dc-{index}").into()
}
