//! What a daemon tells the others about its load.

use crate::{common::*, decision::mesh::instance_choice::LoadReport};

/// Requests of one route that entered at a daemon.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct EnteredRoute {
    /// Route.
    pub route: SmolStr,
    /// Requests per second lately.
    pub rate: f32,
    /// Requests of the last seconds, with a weight that falls with their age.
    pub count: f32,
}

/// Runs of one route at a backend server.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct RunRoute {
    /// Route.
    pub route: SmolStr,
    /// Runs of the last seconds, with a weight that falls with their age.
    pub starts: f32,
    /// Mean duration in seconds.
    pub time_s: f32,
}

/// Calls that the runs of one route made to another.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct CallShare {
    /// Route of the runs.
    pub run: SmolStr,
    /// Route of the calls.
    pub call: SmolStr,
    /// Calls of the last seconds, weighted as the runs.
    pub count: f32,
}

/// Load of one daemon.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct LoadSummary {
    /// Random number that the daemon drew at its start.
    pub daemon: u64,
    /// Service of the backend server.
    pub service: SmolStr,
    /// Load of the backend server.
    pub load: LoadReport,
    /// Routes that entered here.
    pub entered: Vec<EnteredRoute>,
    /// Routes that ran here.
    pub runs: Vec<RunRoute>,
    /// Calls that the backend server made.
    pub calls: Vec<CallShare>,
}
