//! Description of an emulated fleet.

use crate::{
    common::*,
    decision::mesh::{
        fleet_view::{BackendEntry, FleetView, ServingState, VersionedEntry},
        route_table::{
            CallerLimits, RouteSpec, RouteTable, RouteVersion, RunSemantics, WeightedTarget,
        },
        store_position::StorePosition,
    },
};
use smol_str::format_smolstr;
use std::net::IpAddr;

/// Backend servers of one service; each has a daemon.
#[derive(Clone, Debug)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: &'static str,
    /// Number of instances; they are distributed over the data centres in turn.
    pub instances: usize,
    /// Requests that one instance processes at the same time.
    pub slots: u32,
}

/// Requests of one route and what their runs do.
#[derive(Clone, Debug)]
pub struct RouteLoad {
    /// Name of the route.
    pub name: &'static str,
    /// Service that runs the requests.
    pub service: &'static str,
    /// Priority of the route; 0 is the most important.
    pub priority: u8,
    /// Mean time of a run without its calls.
    pub work: Duration,
    /// Time within which a response has its full value.
    pub latency_target: Duration,
    /// Longest time until the response.
    pub timeout: Duration,
    /// Requests of callers per second; 0 for a route that only backend servers call.
    pub rate: f64,
    /// Routes that each run calls after its own work, one call after the other.
    pub calls: Vec<(&'static str, u32)>,
}

/// Fleet with its load.
#[derive(Clone, Debug)]
pub struct FleetSpec {
    /// Names of the data centres.
    pub data_centres: Vec<&'static str>,
    /// Services.
    pub services: Vec<ServiceSpec>,
    /// Routes, at most one for each name.
    pub routes: Vec<RouteLoad>,
    /// Share of the load messages that are lost.
    pub lost_load_share: f64,
}

/// Fault or change of load during an emulation. Instances are numbered in the order of the services.
#[derive(Clone, Copy, Debug)]
pub enum FleetChange {
    /// The request rates are multiplied by a factor, relative to the specification.
    Load(f64),
    /// Runs at an instance take this factor times as long.
    Slow(usize, f64),
    /// The backend server of an instance refuses this share of the requests.
    Refuse(usize, f64),
    /// The backend server of an instance names a limit on its requests per second, or withdraws it.
    NameLimit(usize, Option<f64>),
    /// The machine of an instance cannot be reached, and its callers use other machines.
    Cut(usize),
    /// All daemons lose their state, and all runs end.
    RestartAll,
}

impl FleetSpec {
    /// Returns the route table of the fleet.
    pub fn route_table(&self) -> RouteTable {
        let routes = self.routes.iter().map(|load| RouteSpec {
            name: load.name.into(),
            host: "fleet".into(),
            prefix: format_smolstr!("/{}/", load.name),
            semantics: RunSemantics::AtMostOnce,
            timeout: load.timeout,
            latency_target: load.latency_target,
            max_attempts: 2,
            priority: load.priority,
            is_open: false,
            targets: vec![WeightedTarget {
                service: load.service.into(),
                weight: 1,
            }],
        });
        RouteTable::new(RouteVersion(1), CallerLimits::default(), routes.collect())
    }

    /// Returns the entries of all instances. Their addresses and data centres follow the order of the
    /// services.
    pub fn published_instances(&self, now: Instant) -> FleetView {
        let mut view = FleetView::new();
        let mut number = 0_u16;
        for service in &self.services {
            for _ in 0..service.instances {
                let [high, low] = number.to_be_bytes();
                let ip = IpAddr::from([10, 0, high, low]);
                let data_centre = self.data_centres[usize::from(number) % self.data_centres.len()];
                let entry = VersionedEntry {
                    id: format_smolstr!("i-{number}"),
                    position: StorePosition {
                        era: 0,
                        revision: u64::from(number) + 1,
                    },
                    value: Some(BackendEntry {
                        service: service.name.into(),
                        address: SocketAddr::new(ip, 80),
                        data_centre: data_centre.into(),
                        slots: service.slots,
                        state: ServingState::Ready,
                        remaining_warm_up: Duration::ZERO,
                        started_ms: None,
                        sequence: 1,
                    }),
                };
                view.apply(&entry, now);
                number += 1;
            }
        }
        view
    }
}
