//! Which attempts at a request take a retry from the budget.

use crate::route_table::route;
use skylarkstream::{
    decision::mesh::{instance_selector::LoadReport, route_table::RunSemantics},
    mesh::{
        attempt_history::AttemptHistory,
        peer_frame::{NotRunReason, ReplyFrame, RunResult, UnknownReason},
        peer_link::{CallResult, UnsentReason},
    },
};
use std::sync::Arc;

fn reply(result: RunResult) -> CallResult {
    CallResult::Reply(Arc::new(ReplyFrame {
        number: 1,
        result,
        load: LoadReport::default(),
        service_time_us: None,
        notes: Default::default(),
    }))
}

/// Guards against attempts that daemons refuse before they send them, for example since a server
/// names a limit, and that use up the retry budget of other requests.
#[test]
fn refused_attempts_take_no_further_retry() {
    let mut route = route("r", "/r/", 0, &[("s", 1)]);
    route.semantics = RunSemantics::Idempotent;
    route.max_attempts = 3;
    let mut history = AttemptHistory::default();
    let mut retries = Vec::new();
    for result in [
        reply(RunResult::NotRun(NotRunReason::Busy)),
        reply(RunResult::Unknown(UnknownReason::Broken)),
        reply(RunResult::NotRun(NotRunReason::Busy)),
        CallResult::NotSent(UnsentReason::Unreachable),
        reply(RunResult::NotRun(NotRunReason::Refused)),
    ] {
        assert_eq!(history.record_result(result, &route), None);
        retries.push(history.needs_retry());
        history.granted += u32::from(history.needs_retry());
    }
    assert_eq!(retries, [false, true, false, false, true]);
}
