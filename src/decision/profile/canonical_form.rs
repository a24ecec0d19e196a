//! Canonical form of a profile.

use super::{
    profile_limits::ShedOrder,
    refusal_rule::RefusalRule,
    route_rule::{RouteRule, TicketRule},
    service_profile::ServiceProfile,
};
use crate::common::*;

/// Writes the canonical form of a valid profile: TOML with every key, defaults included, in a
/// fixed order, and classes ordered by level and name.
///
/// The TOML library isn't used for this, since a change of the layout that it writes would change
/// the digests of all profiles. Validation rejects characters that would need an escape.
#[derive(Debug)]
pub struct CanonicalForm<'a>(pub &'a ServiceProfile);

impl Display for CanonicalForm<'_> {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        let profile = self.0;
        writeln!(f, "name = \"{}\"", profile.name)?;
        writeln!(f, "default_class = \"{}\"", profile.default_class)?;
        let deadline_ms = profile.unmatched_deadline_ms;
        writeln!(f, "unmatched_deadline_ms = {deadline_ms}")?;
        write_classes(f, &profile.classes)?;
        write_limits(f, profile)?;
        profile
            .routes
            .iter()
            .try_for_each(|route| write_route(f, route))?;
        profile
            .refusals
            .iter()
            .try_for_each(|refusal| write_refusal(f, refusal))
    }
}

fn write_classes(f: &mut Formatter, classes: &IndexMap<SmolStr, u8>) -> fmt::Result {
    let mut ordered: Vec<_> = classes.iter().map(|(name, level)| (level, name)).collect();
    ordered.sort();
    writeln!(f, "\n[classes]")?;
    ordered
        .iter()
        .try_for_each(|(level, name)| writeln!(f, "\"{name}\" = {level}"))
}

fn write_limits(f: &mut Formatter, profile: &ServiceProfile) -> fmt::Result {
    let admission = &profile.admission;
    writeln!(f, "\n[admission]")?;
    writeln!(f, "initial_concurrency = {}", admission.initial_concurrency)?;
    writeln!(f, "min_concurrency = {}", admission.min_concurrency)?;
    writeln!(f, "max_concurrency = {}", admission.max_concurrency)?;
    writeln!(f, "queue_length = {}", admission.queue_length)?;
    writeln!(f, "queue_wait_ms = {}", admission.queue_wait_ms)?;
    let order = match profile.shedding.within_class {
        ShedOrder::NewRootsFirst => "new-roots-first",
        ShedOrder::RetriesFirst => "retries-first",
    };
    writeln!(f, "\n[shedding]\nwithin_class = \"{order}\"")?;
    let retry = &profile.retry;
    writeln!(f, "\n[retry]")?;
    writeln!(f, "allowance = {}", retry.allowance)?;
    writeln!(f, "budget_percent = {}", retry.budget_percent)?;
    writeln!(f, "retry_after_ms = {}", retry.retry_after_ms)?;
    writeln!(f, "retry_after_window_ms = {}", retry.retry_after_window_ms)?;
    writeln!(f, "\n[ticket]\nlifetime_s = {}", profile.ticket.lifetime_s)?;
    let upstream = &profile.upstream;
    writeln!(f, "\n[upstream]")?;
    writeln!(f, "ramp_time_ms = {}", upstream.ramp_time_ms)?;
    writeln!(f, "progress_time_ms = {}", upstream.progress_time_ms)
}

fn write_route(f: &mut Formatter, route: &RouteRule) -> fmt::Result {
    writeln!(f, "\n[[routes]]")?;
    if let Some(method) = &route.method {
        writeln!(f, "method = \"{method}\"")?;
    }
    writeln!(f, "path = \"{}\"", route.path)?;
    writeln!(f, "class = \"{}\"", route.class)?;
    writeln!(f, "idempotent = {}", route.idempotent)?;
    let ticket = match route.ticket {
        TicketRule::Optional => "optional",
        TicketRule::Required => "required",
    };
    writeln!(f, "ticket = \"{ticket}\"")?;
    writeln!(f, "deadline_ms = {}", route.deadline_ms)
}

fn write_refusal(f: &mut Formatter, refusal: &RefusalRule) -> fmt::Result {
    writeln!(f, "\n[[refusals]]\nstatus = {}", refusal.status)?;
    writeln!(f, "header = \"{}\"", refusal.header)?;
    match &refusal.value {
        Some(value) => writeln!(f, "value = \"{value}\""),
        None => Ok(()),
    }
}
