//! Daemon of an emulated fleet with its backend server.

use crate::{
    common::*,
    decision::{
        admission::admission_gate::{AdmissionGate, GateKey},
        mesh::{
            admission_plan::{AdmissionPlan, AdmissionPlanner},
            call_counts::CallCounts,
            entry_admission::EntryAdmission,
            fleet_view::FleetView,
            instance_selector::{InstanceSelector, LoadReport},
            load_schedule::LoadSchedule,
            load_summary::LoadSummary,
            named_limit::{LimitPacer, usable_slots},
            route_table::RouteTable,
            service_times::ServiceTimes,
        },
    },
    emulator::emulated_request::RequestKey,
    mesh::{counted_run::mean_run_time, executor::gate_limits},
};
use std::net::IpAddr;

/// Daemon with its backend server.
pub struct EmulatedDaemon {
    /// Service of the backend server.
    pub service: SmolStr,
    /// Address of the machine.
    pub ip: IpAddr,
    /// Factor on the time of the backend server's runs.
    pub slowness: f64,
    /// Share of the requests that the backend server refuses.
    pub refused_share: f64,
    /// Keeps the limit that the backend server names.
    pub limit_pacer: LimitPacer,
    /// Whether the machine cannot be reached.
    pub is_cut: bool,
    /// Gate in front of the backend server.
    pub gate: AdmissionGate,
    /// Requests that wait at the gate or run.
    pub at_gate: IndexMap<GateKey, RequestKey>,
    /// Statistics of entered requests, runs and calls.
    pub counts: CallCounts,
    /// Service times by route.
    pub service_times: ServiceTimes,
    /// Selection of instances.
    pub selector: InstanceSelector,
    /// Admission of root requests.
    pub entry_admission: EntryAdmission,
    /// Decides when the load is sent.
    pub load_schedule: LoadSchedule,
    /// Time of the next plan.
    pub next_plan: Instant,
    /// Plan in force.
    pub plan: AdmissionPlan,
    planner: AdmissionPlanner,
}

impl EmulatedDaemon {
    /// Starts a daemon beside the backend server that `view` contains with address `ip`.
    pub fn new(ip: IpAddr, view: &FleetView, now: Instant) -> Self {
        let mut members = view.members();
        let entry = members.find(|(_, entry)| entry.address.ip() == ip);
        let (_, entry) = entry.expect("a published instance");
        let seed = u64::from(entry.address.port());
        let mut selector = InstanceSelector::new(entry.data_centre.clone(), seed);
        selector.update(view, now);
        Self {
            service: entry.service.clone(),
            ip,
            slowness: 1.0,
            refused_share: 0.0,
            limit_pacer: LimitPacer::default(),
            is_cut: false,
            gate: AdmissionGate::new(gate_limits(entry.slots)),
            at_gate: IndexMap::new(),
            counts: CallCounts::default(),
            service_times: ServiceTimes::default(),
            selector,
            entry_admission: EntryAdmission::default(),
            load_schedule: LoadSchedule::default(),
            next_plan: now,
            plan: AdmissionPlan::default(),
            planner: AdmissionPlanner::default(),
        }
    }

    /// Returns the load of the backend server.
    pub fn load(&self, now: Instant) -> LoadReport {
        let slots = self.gate.limit();
        let limit = self.limit_pacer.limit().map_or(slots, |named| {
            usable_slots(named, mean_run_time(&self.counts.runs(now)), slots)
        });
        LoadReport {
            in_flight: self.gate.in_flight(),
            queued: self.gate.queued() as u32,
            queued_calls: self.gate.queued_calls() as u32,
            limit,
        }
    }

    /// Returns the load summary for the other daemons.
    pub fn load_summary(&self, daemon_id: u64, now: Instant) -> LoadSummary {
        LoadSummary {
            daemon_id,
            ip: self.ip,
            service: self.service.clone(),
            load: self.load(now),
            entered_requests: self.counts.entered_requests(now),
            runs: self.counts.runs(now),
            calls: self.counts.calls(now),
        }
    }

    /// Sets the interval at which the daemons send their load.
    pub fn set_load_interval(&mut self, interval: Duration) {
        self.selector.set_load_interval(interval);
        self.planner.set_load_interval(interval);
    }

    /// Records the load summary of a daemon.
    pub fn record_summary(&mut self, summary: LoadSummary, now: Instant) {
        self.selector.set_last_seen(summary.ip, now);
        self.planner.record_summary(summary, now);
    }

    /// Recomputes the admission plan.
    pub fn update_plan(&mut self, table: &RouteTable, now: Instant) {
        let selector = &self.selector;
        let reach = |ip| selector.peer_reach(ip, now);
        self.plan = self.planner.plan(table, reach, now);
    }
}
