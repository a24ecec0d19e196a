//! Attempts at one request and their results.

use crate::{
    common::*,
    decision::mesh::{
        instance_selector::{InstanceKey, InstanceResult},
        route_table::{RouteSpec, RunSemantics},
    },
    mesh::{
        caller_response::LocalResponse,
        peer_frame::{NotRunReason, RunAnswer, RunEnd, UnknownReason},
        peer_link::CallEnd,
    },
};
use smol_str::format_smolstr;

/// Refusals by instances after which a request is refused to its caller.
pub const MAX_REFUSALS: usize = 4;

/// State of the attempts at one request.
#[derive(Debug, Default)]
pub struct AttemptHistory {
    /// Instances that were tried.
    pub tried: Vec<InstanceKey>,
    /// Attempts that may have reached a backend server.
    pub reached: u32,
    /// Attempts that an instance refused or that could not reach it.
    pub refusals: usize,
    /// Whether the request may have run.
    pub may_have_run: bool,
    /// Error response of a backend server, which is forwarded if no further attempt is made.
    pub failure: Option<RunAnswer>,
}

impl AttemptHistory {
    /// Records the result of an attempt; returns the final result of the request if there is one.
    pub fn record(
        &mut self,
        result: CallEnd,
        route: &RouteSpec,
    ) -> Option<Result<RunAnswer, LocalResponse>> {
        let is_retryable = route.semantics == RunSemantics::Idempotent;
        match result {
            CallEnd::NotSent => self.refusals += 1,
            CallEnd::Lost => {
                self.reached += 1;
                self.may_have_run = true;
            }
            CallEnd::Reply(reply) => match reply.end.clone() {
                RunEnd::Answered(response) => {
                    if response.status < 500 || !is_retryable {
                        return Some(Ok(response));
                    }
                    self.reached += 1;
                    self.may_have_run = true;
                    self.failure = Some(response);
                }
                RunEnd::NotRun(reason) => match reason {
                    NotRunReason::Refused => self.reached += 1,
                    NotRunReason::Expired => return Some(self.finish(LocalResponse::Expired)),
                    _ => self.refusals += 1,
                },
                RunEnd::Unknown(reason) => {
                    self.reached += 1;
                    self.may_have_run = true;
                    if reason == UnknownReason::Timeout {
                        return Some(self.finish(LocalResponse::Timeout));
                    }
                }
            },
        }
        if self.may_have_run && !is_retryable {
            return Some(self.finish(LocalResponse::Lost));
        }
        if self.reached >= route.max_attempts {
            return Some(self.finish(LocalResponse::Budget));
        }
        if self.refusals >= MAX_REFUSALS {
            return Some(self.finish(LocalResponse::Busy));
        }
        None
    }

    /// Returns the final result when no further attempt is made.
    pub fn finish(&mut self, reason: LocalResponse) -> Result<RunAnswer, LocalResponse> {
        if let Some(response) = self.failure.take() {
            return Ok(response);
        }
        Err(match reason {
            LocalResponse::Timeout => LocalResponse::Timeout,
            _ if self.may_have_run => LocalResponse::Lost,
            reason => reason,
        })
    }
}

/// Describes the result of an attempt for the log.
pub fn describe_result(result: &CallEnd) -> SmolStr {
    match result {
        CallEnd::NotSent => SmolStr::new_static("not sent"),
        CallEnd::Lost => SmolStr::new_static("connection lost"),
        CallEnd::Reply(reply) => {
            let load = reply.load;
            let run_result = match &reply.end {
                RunEnd::Answered(response) => format_smolstr!("status {}", response.status),
                RunEnd::NotRun(reason) => format_smolstr!("not run: {reason:?}"),
                RunEnd::Unknown(reason) => format_smolstr!("unknown: {reason:?}"),
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

/// Returns the result of an attempt for the choice of instances.
pub fn attempt_result(result: &RunEnd) -> InstanceResult {
    match result {
        RunEnd::Answered(response) if response.status < 500 => InstanceResult::Responded,
        RunEnd::Answered(_) | RunEnd::Unknown(_) => InstanceResult::Failed,
        RunEnd::NotRun(reason) => match reason {
            NotRunReason::Busy
            | NotRunReason::Cut
            | NotRunReason::Expired
            | NotRunReason::OtherInstance => InstanceResult::Busy,
            NotRunReason::Leaving => InstanceResult::Leaving,
            NotRunReason::Refused | NotRunReason::Unreachable => InstanceResult::Failed,
        },
    }
}
