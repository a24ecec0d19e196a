//! Load summary that each daemon sends to its peers.

use crate::{common::*, decision::mesh::instance_selector::LoadReport};

/// Most entries of one list in a load summary; daemons measure no more routes.
const MAX_ENTRIES: usize = 8_192;

/// Largest figure in a load summary, above what any backend server can reach.
const MAX_FIGURE: f32 = 1e9;

/// Largest number of slots or requests of one backend server.
const MAX_REQUESTS: u32 = 1_000_000;

/// A load summary of a peer cannot be used.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum SummaryError {
    /// A list is longer than any daemon sends.
    #[error("The load summary has a list of {0} entries.")]
    TooManyEntries(usize),
    /// A figure is negative, too large or not a number.
    #[error("The load summary has a figure that is out of range.")]
    InvalidFigure,
}

/// Requests of one route that entered at a daemon.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct EnteredRequests {
    /// Route.
    pub route: SmolStr,
    /// Recent requests per second.
    pub rate: f32,
    /// Decayed count of the requests.
    pub count: f32,
    /// Nested calls per second that were not run for lack of a slot.
    pub unserved_rate: f32,
}

/// Runs of one route at a backend server.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct RouteRuns {
    /// Route.
    pub route: SmolStr,
    /// Decayed count of the runs; failed ones count less.
    pub count: f32,
    /// Mean duration in seconds.
    pub mean_time_s: f32,
}

/// Calls that the runs of one route made to another route.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct RouteCalls {
    /// Route of the runs.
    pub run_route: SmolStr,
    /// Route of the calls.
    pub call_route: SmolStr,
    /// Decayed count of the calls, weighted like the runs that made them.
    pub count: f32,
}

/// Load of one daemon.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct LoadSummary {
    /// Id of the daemon, a random number drawn at its start.
    pub daemon_id: u64,
    /// IP address of the daemon's machine.
    pub ip: std::net::IpAddr,
    /// Service of the backend server.
    pub service: SmolStr,
    /// Load of the backend server.
    pub load: LoadReport,
    /// Requests that entered at the daemon, by route.
    pub entered_requests: Vec<EnteredRequests>,
    /// Runs at the backend server, by route.
    pub runs: Vec<RouteRuns>,
    /// Calls that the backend server made, by the routes of the runs and of the calls.
    pub calls: Vec<RouteCalls>,
}

impl LoadSummary {
    /// Checks the figures of a summary that a peer sent. A single one that is not a number would make
    /// every share of the plan invalid.
    pub fn check(&self) -> Result<(), SummaryError> {
        let lengths = [
            self.entered_requests.len(),
            self.runs.len(),
            self.calls.len(),
        ];
        if let Some(length) = lengths.into_iter().find(|length| *length > MAX_ENTRIES) {
            return Err(SummaryError::TooManyEntries(length));
        }
        let entered_requests = self.entered_requests.iter();
        let entered = entered_requests.flat_map(|r| [r.rate, r.count, r.unserved_rate]);
        let runs = self
            .runs
            .iter()
            .flat_map(|run| [run.count, run.mean_time_s]);
        let calls = self.calls.iter().map(|calls| calls.count);
        let mut figures = entered.chain(runs).chain(calls);
        let LoadReport {
            in_flight,
            queued,
            queued_calls,
            limit,
        } = self.load;
        let mut requests = [in_flight, queued, queued_calls, limit].into_iter();
        if figures.all(|figure| (0.0..=MAX_FIGURE).contains(&figure))
            && requests.all(|requests| requests <= MAX_REQUESTS)
        {
            return Ok(());
        }
        Err(SummaryError::InvalidFigure)
    }
}
