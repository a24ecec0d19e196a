//! Attempts at one request, and what their ends say.

use crate::{
    common::*,
    decision::mesh::{
        instance_choice::{AttemptEnd, InstanceKey},
        route_table::{RouteSpec, RunRule},
    },
    mesh::{
        entry_answer::OwnAnswer,
        peer_frame::{NotRunReason, RunAnswer, RunEnd, UnknownReason},
        peer_link::CallEnd,
    },
};
use smol_str::format_smolstr;

/// Most instances that are asked for room for one request.
pub const MAX_REFUSALS: usize = 4;

/// State of the attempts at one request.
#[derive(Debug, Default)]
pub struct AttemptHistory {
    /// Instances that were asked.
    pub tried: Vec<InstanceKey>,
    /// Instances whose backend server may have seen the request.
    pub reached: u32,
    /// Instances that refused or could not be reached.
    pub refusals: usize,
    /// Whether the request may have run.
    pub may_have_run: bool,
    /// Failure of a backend server, which is the answer if no further attempt is made.
    pub failure: Option<RunAnswer>,
}

impl AttemptHistory {
    /// Records the end of an attempt; returns the final answer if there is one.
    pub fn record(
        &mut self,
        end: CallEnd,
        route: &RouteSpec,
    ) -> Option<Result<RunAnswer, OwnAnswer>> {
        let is_repeatable = route.rule == RunRule::Repeatable;
        match end {
            CallEnd::NotSent => self.refusals += 1,
            CallEnd::Lost => {
                self.reached += 1;
                self.may_have_run = true;
            }
            CallEnd::Reply(reply) => match reply.end.clone() {
                RunEnd::Answered(answer) => {
                    if answer.status < 500 || !is_repeatable {
                        return Some(Ok(answer));
                    }
                    self.reached += 1;
                    self.may_have_run = true;
                    self.failure = Some(answer);
                }
                RunEnd::NotRun(reason) => match reason {
                    NotRunReason::Refused => self.reached += 1,
                    NotRunReason::Expired => return Some(self.end(OwnAnswer::Expired)),
                    _ => self.refusals += 1,
                },
                RunEnd::Unknown(reason) => {
                    self.reached += 1;
                    self.may_have_run = true;
                    if reason == UnknownReason::Timeout {
                        return Some(self.end(OwnAnswer::Timeout));
                    }
                }
            },
        }
        if self.may_have_run && !is_repeatable {
            return Some(self.end(OwnAnswer::Lost));
        }
        if self.reached >= route.max_attempts {
            return Some(self.end(OwnAnswer::Budget));
        }
        if self.refusals >= MAX_REFUSALS {
            return Some(self.end(OwnAnswer::Busy));
        }
        None
    }

    /// Returns the final answer when no further attempt is made.
    pub fn end(&mut self, reason: OwnAnswer) -> Result<RunAnswer, OwnAnswer> {
        if let Some(answer) = self.failure.take() {
            return Ok(answer);
        }
        Err(match reason {
            OwnAnswer::Timeout => OwnAnswer::Timeout,
            _ if self.may_have_run => OwnAnswer::Lost,
            reason => reason,
        })
    }
}

/// Describes the end of an attempt in one line.
pub fn describe_end(end: &CallEnd) -> SmolStr {
    match end {
        CallEnd::NotSent => SmolStr::new_static("not sent"),
        CallEnd::Lost => SmolStr::new_static("connection lost"),
        CallEnd::Reply(reply) => {
            let load = reply.load;
            let end = match &reply.end {
                RunEnd::Answered(answer) => format_smolstr!("status {}", answer.status),
                RunEnd::NotRun(reason) => format_smolstr!("not run: {reason:?}"),
                RunEnd::Unknown(reason) => format_smolstr!("unknown: {reason:?}"),
            };
            format_smolstr!(
                "{end}, {} of {} slots, {} queued",
                load.in_flight,
                load.limit,
                load.queued
            )
        }
    }
}

/// Returns what the end of a run says about its instance.
pub fn attempt_end(end: &RunEnd) -> AttemptEnd {
    match end {
        RunEnd::Answered(answer) if answer.status < 500 => AttemptEnd::Answered,
        RunEnd::Answered(_) | RunEnd::Unknown(_) => AttemptEnd::Failed,
        RunEnd::NotRun(reason) => match reason {
            NotRunReason::Busy
            | NotRunReason::Cut
            | NotRunReason::Expired
            | NotRunReason::OtherInstance => AttemptEnd::Busy,
            NotRunReason::Leaving => AttemptEnd::Leaving,
            NotRunReason::Refused | NotRunReason::Unreachable => AttemptEnd::Failed,
        },
    }
}
