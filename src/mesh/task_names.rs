//! Tasks of a daemon that are started again after a panic, and work that is guarded against one.

use crate::controller::task_supervisor::TaskName;

/// Reads the store.
pub const STORE_READER: TaskName = TaskName::essential("store_reader");
/// Decides whether this daemon reads the store.
pub const READER_ELECTION: TaskName = TaskName::essential("reader_election");
/// Accepts connections of peers.
pub const PEER_LISTENER: TaskName = TaskName::essential("peer_listener");
/// Accepts connections of callers.
pub const CALLER_LISTENER: TaskName = TaskName::essential("caller_listener");
/// Accepts connections of readiness probes.
pub const READINESS_LISTENER: TaskName = TaskName::auxiliary("readiness_listener");
/// Accepts connections that fetch the metrics.
pub const METRICS_LISTENER: TaskName = TaskName::auxiliary("metrics_listener");
/// Applies decisions that are due to the passing of time.
pub const HOUSEKEEPING: TaskName = TaskName::essential("housekeeping");
/// Tells the peers that the local backend server leaves.
pub const LEAVING_NOTICE: TaskName = TaskName::essential("leaving_notice");
/// Sends the records of suspected requests to the peers.
pub const SUSPECT_SHARING: TaskName = TaskName::auxiliary("suspect_sharing");
/// Plans the admission and sends the load to the peers.
pub const LOAD_SENDER: TaskName = TaskName::essential("load_sender");
/// Reloads the settings.
pub const SETTINGS_RELOAD: TaskName = TaskName::auxiliary("settings_reload");
/// Gets the first state before the daemon serves.
pub const START_SYNC: TaskName = TaskName::essential("start_sync");
/// Serves one connection of a peer.
pub const PEER_CONNECTION: TaskName = TaskName::auxiliary("peer_connection");
/// Drives the link to one peer.
pub const PEER_LINK: TaskName = TaskName::auxiliary("peer_link");
/// Runs one request of a peer.
pub const PEER_RUN: TaskName = TaskName::auxiliary("peer_run");
/// Serves one request of a caller.
pub const CALLER_REQUEST: TaskName = TaskName::auxiliary("caller_request");
