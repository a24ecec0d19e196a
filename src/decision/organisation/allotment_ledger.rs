//! Allotments of all organisations at one daemon.
//!
//! An allotment holds for the whole fleet, but each daemon decides alone. Daemons tell each other the
//! demand of each organisation at their entries with their load. From the sum, each daemon computes the
//! same share of the requests that the allotment covers, and grants this share of those that enter
//! here. An organisation below its allotment is not refused anywhere, however few requests it sends to
//! each daemon.

use crate::{
    common::*,
    decision::organisation::{
        allotment_account::AllotmentAccount,
        allotment_bounds::AllotmentBounds,
        demand_rate::DemandRate,
        organisation_demand::{DemandReport, MAX_DEMANDS, OrganisationDemand},
        organisation_spec::OrganisationSpec,
        organisation_table::OrganisationTable,
    },
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::net::IpAddr;

/// Time for which the demand of a silent peer counts. A peer that is cut off serves its callers on, so
/// its part is not granted here before the cut has probably ended.
const PEER_LIFETIME: Duration = Duration::from_secs(15);

/// Age from which the demand of a peer counts with `STALE_FACTOR`.
const STALE_AGE: Duration = Duration::from_secs(3);

/// Factor on the demand of a peer that has been silent for some time. Its last report may have been below
/// its average, and stays in the sum until it can be reached.
const STALE_FACTOR: f64 = 1.25;

/// Time after the start of a daemon from which its demand counts. When all daemons restart together, each
/// would otherwise take itself for the only one with demand.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// Smallest demand that is sent to peers, in requests per second.
const MIN_SENT_DEMAND: f64 = 0.02;

/// Demand of the organisations at one peer.
#[derive(Debug)]
struct PeerDemand {
    report: DemandReport,
    received_at: Instant,
}

impl PeerDemand {
    fn is_stale(&self, now: Instant) -> bool {
        self.received_at + STALE_AGE < now
    }
}

/// Demand of one organisation at this daemon.
#[derive(Debug)]
struct LocalDemand {
    requests: DemandRate,
    granted: DemandRate,
}

/// Demand of one organisation in the fleet, in requests per second.
#[derive(Clone, Copy, Debug, Default)]
struct FleetDemand {
    requests: f64,
    granted: f64,
}

/// Accounts of all organisations with demand, and the demand at each daemon.
#[derive(Debug)]
pub struct AllotmentLedger {
    bounds: AllotmentBounds,
    started: Instant,
    accounts: IndexMap<SmolStr, AllotmentAccount>,
    local: IndexMap<SmolStr, LocalDemand>,
    peers: IndexMap<IpAddr, PeerDemand>,
    rng: Pcg64Mcg,
}

impl AllotmentLedger {
    /// Creates a ledger for a process that started at `now`. `seed` decides which requests of an
    /// organisation over its allotment are granted.
    pub fn new(bounds: AllotmentBounds, seed: u64, now: Instant) -> Self {
        Self {
            bounds,
            started: now,
            accounts: IndexMap::new(),
            local: IndexMap::new(),
            peers: IndexMap::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Replaces the bounds.
    pub fn set_bounds(&mut self, bounds: AllotmentBounds) {
        self.bounds = bounds;
    }

    /// Records the demand at the daemon on a machine.
    pub fn record_peer(&mut self, ip: IpAddr, report: &DemandReport, now: Instant) {
        let valid = report.demands.iter().filter(|demand| demand.is_valid());
        let report = DemandReport {
            is_settled: report.is_settled,
            demands: valid.take(MAX_DEMANDS).cloned().collect(),
        };
        let peer = PeerDemand {
            report,
            received_at: now,
        };
        self.peers.insert(ip, peer);
    }

    /// Updates the accounts in a fleet of `daemons`, and returns the local demand for the peers.
    pub fn update(
        &mut self,
        organisations: &OrganisationTable,
        daemons: usize,
        now: Instant,
    ) -> DemandReport {
        self.peers
            .retain(|_, peer| peer.received_at + PEER_LIFETIME > now);
        self.accounts
            .retain(|name, _| organisations.by_name(name).is_some());
        self.local
            .retain(|_, demand| demand.requests.get(now) >= MIN_SENT_DEMAND);
        let has_burst = self.is_informed(now);
        // The bound also holds for daemons out of touch, whose present demand is not known.
        let is_exact = self.peers.values().any(|peer| peer.is_stale(now));
        for (name, demand) in self.fleet_demand(daemons, now) {
            let organisation = organisations.by_name(&name);
            let Some(allotment) = organisation.and_then(|organisation| organisation.allotment)
            else {
                continue;
            };
            self.accounts
                .entry(name)
                .or_insert_with(|| AllotmentAccount::new(allotment, has_burst, now))
                .update(
                    allotment,
                    self.bounds,
                    demand.requests,
                    demand.granted,
                    is_exact,
                    now,
                );
        }
        let local = self.local.iter();
        let demands = local.map(|(organisation, demand)| OrganisationDemand {
            organisation: organisation.clone(),
            rate: demand.requests.get(now) as f32,
            granted_rate: demand.granted.get(now) as f32,
        });
        DemandReport {
            is_settled: now.saturating_duration_since(self.started) >= SETTLE_TIME,
            demands: demands.collect(),
        }
    }

    /// Counts a request of an organisation; returns the time after which its caller may return if the
    /// allotment does not cover it.
    pub fn take(&mut self, organisation: &OrganisationSpec, now: Instant) -> Result<(), Duration> {
        if organisation.allotment.is_none() {
            return Ok(());
        }
        let started = self.started;
        let local = self.local.entry(organisation.name.clone());
        let demand = local.or_insert_with(|| LocalDemand {
            requests: DemandRate::new(started),
            granted: DemandRate::new(started),
        });
        demand.requests.record(now);
        let account = self.accounts.get(&organisation.name);
        let share = account.map_or(1.0, AllotmentAccount::granted_share);
        if let Some(account) = account.filter(|_| share < 1.0)
            && self.rng.random::<f64>() >= share
        {
            return Err(account.wait());
        }
        demand.granted.record(now);
        Ok(())
    }

    /// Takes back a request that was granted at `granted_at` and refused for another reason. It is not
    /// part of the demand either: callers of an overloaded fleet return, and would otherwise seem to
    /// exceed the allotment.
    pub fn give_back(&mut self, organisation: &str, granted_at: Instant, now: Instant) {
        if let Some(demand) = self.local.get_mut(organisation) {
            demand.requests.take_back(granted_at, now);
            demand.granted.take_back(granted_at, now);
        }
    }

    /// Counts a further run of a granted request.
    pub fn take_repeat(&mut self, organisation: &str, now: Instant) {
        if let Some(demand) = self.local.get_mut(organisation) {
            demand.granted.record(now);
        }
    }

    /// Returns the demand of each organisation in the fleet, in requests per second. Daemons that do not
    /// know their demand yet, or have not told it, are assumed to have the same as this one.
    fn fleet_demand(&self, daemons: usize, now: Instant) -> IndexMap<SmolStr, FleetDemand> {
        let settled = self.peers.values().filter(|peer| peer.report.is_settled);
        let unheard = daemons.saturating_sub(1 + settled.clone().count());
        // Organisations without demand stay in the sum, so that their accounts fill up.
        let known = self.accounts.keys();
        let known = known.map(|name| (name.clone(), FleetDemand::default()));
        let mut sums: IndexMap<SmolStr, FleetDemand> = known.collect();
        for (name, demand) in &self.local {
            let sum = sums.entry(name.clone()).or_default();
            sum.requests += demand.requests.get(now) * (1 + unheard) as f64;
            sum.granted += demand.granted.get(now) * (1 + unheard) as f64;
        }
        for peer in settled {
            let factor = if peer.is_stale(now) {
                STALE_FACTOR
            } else {
                1.0
            };
            for demand in &peer.report.demands {
                let sum = sums.entry(demand.organisation.clone()).or_default();
                sum.requests += factor * f64::from(demand.rate);
                sum.granted += factor * f64::from(demand.granted_rate);
            }
        }
        sums
    }

    /// Returns whether the process has run for so long that no earlier one has granted requests in the
    /// present window.
    fn is_informed(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.started).as_secs_f64() >= self.bounds.window_s
    }
}
