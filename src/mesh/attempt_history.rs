//! Attempts at one request and their results.

use crate::{
    common::*,
    decision::mesh::{
        instance_selector::InstanceResult,
        route_table::{RouteSpec, RunSemantics},
    },
    mesh::{
        caller_response::LocalReason,
        peer_frame::{NotRunReason, RunResponse, RunResult, UnknownReason},
        peer_link::CallResult,
    },
};
use smol_str::format_smolstr;

/// Number of refusals, as in [`AttemptHistory::refusals`], after which the request is refused.
pub const MAX_REFUSALS: usize = 4;

/// State of the attempts at one request.
#[derive(Debug, Default)]
pub struct AttemptHistory {
    /// Addresses of the backend servers that were tried. The daemon beside a server runs a request there
    /// whatever entry of the server the request names.
    pub tried: Vec<SocketAddr>,
    /// Attempts that may have reached a backend server.
    pub reached: u32,
    /// Retries that the budget granted.
    pub granted: u32,
    /// Attempts that were not sent or not run. Those that the backend server itself refused count
    /// as reached instead.
    pub refusals: usize,
    /// Whether the request may have run.
    pub may_have_run: bool,
    /// Error response of a backend server, which is forwarded if no further attempt is made.
    pub error_response: Option<RunResponse>,
}

impl AttemptHistory {
    /// Records the result of an attempt; returns the final result of the request unless a further
    /// attempt may be made.
    pub fn record_result(
        &mut self,
        result: CallResult,
        route: &RouteSpec,
    ) -> Option<Result<RunResponse, LocalReason>> {
        let is_retryable = route.semantics == RunSemantics::Idempotent;
        match result {
            CallResult::NotSent(_) => self.refusals += 1,
            CallResult::Lost => {
                self.reached += 1;
                self.may_have_run = true;
            }
            CallResult::Reply(reply) => match reply.result.clone() {
                RunResult::Response(response) => {
                    if response.status < 500 || !is_retryable {
                        return Some(Ok(response));
                    }
                    self.reached += 1;
                    self.may_have_run = true;
                    self.error_response = Some(response);
                }
                RunResult::NotRun(reason) => match reason {
                    NotRunReason::Refused => self.reached += 1,
                    NotRunReason::Expired => return Some(self.finish(LocalReason::Expired)),
                    _ => self.refusals += 1,
                },
                RunResult::Unknown(reason) => {
                    self.reached += 1;
                    self.may_have_run = true;
                    if reason == UnknownReason::Timeout {
                        return Some(self.finish(LocalReason::Timeout));
                    }
                }
            },
        }
        if self.may_have_run && !is_retryable {
            return Some(self.finish(LocalReason::Lost));
        }
        if self.reached >= route.max_attempts {
            return Some(self.finish(LocalReason::Budget));
        }
        if self.refusals >= MAX_REFUSALS {
            return Some(self.finish(LocalReason::Busy));
        }
        None
    }

    /// Returns whether a further attempt needs a retry from the budget. A granted retry that no backend
    /// server got, since daemons refused it, is used for the next attempt.
    pub fn needs_retry(&self) -> bool {
        self.reached > self.granted
    }

    /// Returns the final result when no further attempt is made.
    pub fn finish(&mut self, reason: LocalReason) -> Result<RunResponse, LocalReason> {
        if let Some(response) = self.error_response.take() {
            return Ok(response);
        }
        Err(match reason {
            LocalReason::Timeout => LocalReason::Timeout,
            _ if self.may_have_run => LocalReason::Lost,
            reason => reason,
        })
    }
}

/// Describes the result of an attempt for the log.
pub fn describe_result(result: &CallResult) -> SmolStr {
    match result {
        CallResult::NotSent(reason) => format_smolstr!("not sent: {reason:?}"),
        CallResult::Lost => SmolStr::new_static("connection lost"),
        CallResult::Reply(reply) => {
            let load = reply.load;
            let run_result = match &reply.result {
                RunResult::Response(response) => format_smolstr!("status {}", response.status),
                RunResult::NotRun(reason) => format_smolstr!("not run: {reason:?}"),
                RunResult::Unknown(reason) => format_smolstr!("unknown: {reason:?}"),
            };
            format_smolstr!(
                "{run_result}, {} of {} slots, {} queued",
                load.in_flight,
                load.limit,
                load.queued
            )
        }
    }
}

/// Returns what the result of a run means for the selection of instances. After `Busy` an instance
/// is tried last for a short time; several consecutive `Failed` results eject it.
pub fn instance_result(result: &RunResult) -> InstanceResult {
    match result {
        RunResult::Response(response) if response.status < 500 => InstanceResult::Responded,
        RunResult::Response(_) | RunResult::Unknown(_) => InstanceResult::Failed,
        RunResult::NotRun(reason) => match reason {
            NotRunReason::Busy
            | NotRunReason::Cut
            | NotRunReason::Expired
            | NotRunReason::OtherInstance => InstanceResult::Busy,
            NotRunReason::Leaving => InstanceResult::Leaving,
            NotRunReason::Refused | NotRunReason::Unreachable => InstanceResult::Failed,
        },
    }
}

/// Returns the log level for the result of a request or attempt. Most succeed, and only the others
/// are needed to trace a fault.
pub fn log_level(is_served: bool) -> log::Level {
    if is_served {
        log::Level::Debug
    } else {
        log::Level::Info
    }
}
