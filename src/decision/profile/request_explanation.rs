//! Explanation of what a daemon would do with a request.

use super::{
    route_rule::{RouteRule, TicketRule},
    service_profile::ServiceProfile,
};
use crate::{
    common::*,
    decision::{lifecycle::lifecycle_phase::LifecyclePhase, request_priority::RequestPriority},
};

/// Methods that are idempotent if no route matches.
const SAFE_METHODS: [&str; 4] = ["GET", "HEAD", "OPTIONS", "TRACE"];

/// Request to explain.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ExplainQuery {
    /// HTTP method.
    pub method: SmolStr,
    /// Path, without a query.
    pub path: SmolStr,
    /// Class to assume instead of that of the route.
    pub class: Option<SmolStr>,
    /// Rank of the request; if absent, all ranks are considered.
    pub rank: Option<u16>,
    /// Whether the request carries a ticket.
    pub ticket: bool,
    /// Whether the request is a marked retry.
    pub retry: bool,
}

/// State of a daemon on which the admission of a request depends.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionState {
    /// Phase of the daemon.
    pub phase: LifecyclePhase,
    /// Lowest priority that is admitted by this daemon and by the services that every request
    /// needs.
    pub threshold: RequestPriority,
    /// Requests in flight.
    pub in_flight: u32,
    /// Requests that wait for a slot.
    pub queued: usize,
    /// Concurrency limit in force.
    pub limit: u32,
}

/// What a daemon would do with a request.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, Eq, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum ExplainVerdict {
    /// The request starts at once.
    Admitted,
    /// The request waits for a slot.
    Queued,
    /// The request is refused and not run.
    Refused,
    /// The result depends on the rank or on the requests that wait.
    Undecided,
}

/// Reason why a request cannot be explained.
#[derive(Clone, Debug, Eq, PartialEq, Error)]
pub enum ExplainError {
    /// The path is not absolute.
    #[error("The path must start with `/`.")]
    Path,
    /// The profile in force does not declare the class.
    #[error("The profile in force has no class of this name.")]
    UnknownClass,
}

/// What a daemon would do with a request, and why.
#[derive(Clone, Debug, Deserialize, Serialize, Eq, PartialEq)]
pub struct RequestExplanation {
    /// Profile in force.
    pub profile: SmolStr,
    /// Version of the profile in force.
    pub profile_version: u64,
    /// Index of the matching route, from 0.
    pub route: Option<usize>,
    /// Method and path of the matching route.
    pub route_match: Option<String>,
    /// Class of the request.
    pub class: SmolStr,
    /// Level of the class; 0 is the most important.
    pub class_level: u8,
    /// Deadline of a root request, in milliseconds.
    pub deadline_ms: u64,
    /// Extra attempts granted to a root request, shared by all its nested calls.
    pub allowance: u16,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether the route requires a ticket.
    pub ticket: TicketRule,
    /// What the daemon would do.
    pub verdict: ExplainVerdict,
    /// Code of the deciding rule, as in `skylark-reason` for refusals.
    pub reason: SmolStr,
    /// Human-readable reason, in one sentence.
    pub message: String,
}

impl RequestExplanation {
    /// Explains a request under a profile and the state of a daemon.
    pub fn new(
        profile: &ServiceProfile,
        profile_version: u64,
        query: &ExplainQuery,
        state: &AdmissionState,
    ) -> Result<Self, ExplainError> {
        if !query.path.starts_with('/') {
            return Err(ExplainError::Path);
        }
        let path = query.path.split('?').next().unwrap_or_default();
        let rule = profile.matching_route(&query.method, path);
        let class = class_name(profile, rule, query)?;
        let class_level = profile.classes[&class];
        let ticket = rule.map_or(TicketRule::Optional, |rule| rule.ticket);
        let (verdict, reason, message) = if let Some(refusal) = phase_refusal(state.phase) {
            refusal
        } else if ticket == TicketRule::Required && !query.ticket {
            let message = "The route requires a ticket, which the refusal contains.".to_owned();
            (ExplainVerdict::Refused, "ticket-required", message)
        } else {
            check_admission(profile, class_level, query, state)
        };
        Ok(Self {
            profile: profile.name.clone(),
            profile_version,
            route: rule.and_then(|rule| profile.routes.iter().position(|other| other == rule)),
            route_match: rule.map(|rule| {
                let method = rule.method.as_deref().unwrap_or("any method");
                format!("{method} {}", rule.path)
            }),
            class,
            class_level,
            deadline_ms: profile.deadline(rule).as_millis() as u64,
            allowance: profile.retry.allowance,
            idempotent: rule.map_or_else(
                || SAFE_METHODS.contains(&query.method.as_str()),
                |rule| rule.idempotent,
            ),
            ticket,
            verdict,
            reason: reason.into(),
            message,
        })
    }
}

fn phase_refusal(phase: LifecyclePhase) -> Option<(ExplainVerdict, &'static str, String)> {
    let (reason, message) = match phase {
        LifecyclePhase::Serving => return None,
        LifecyclePhase::Starting => ("starting", "The daemon does not serve yet."),
        LifecyclePhase::Draining | LifecyclePhase::Stopped => {
            ("draining", "The daemon drains and takes no new work.")
        }
    };
    Some((ExplainVerdict::Refused, reason, message.to_owned()))
}

fn class_name(
    profile: &ServiceProfile,
    rule: Option<&RouteRule>,
    query: &ExplainQuery,
) -> Result<SmolStr, ExplainError> {
    let route_class = rule.map_or(&profile.default_class, |rule| &rule.class);
    let class = query.class.as_ref().unwrap_or(route_class);
    if profile.classes.contains_key(class) {
        Ok(class.clone())
    } else {
        Err(ExplainError::UnknownClass)
    }
}

fn check_admission(
    profile: &ServiceProfile,
    class: u8,
    query: &ExplainQuery,
    state: &AdmissionState,
) -> (ExplainVerdict, &'static str, String) {
    let with_rank = |rank| RequestPriority {
        class,
        retry: query.retry,
        rank,
    };
    let most_important = with_rank(query.rank.unwrap_or(0));
    let least_important = with_rank(query.rank.unwrap_or(u16::MAX));
    let threshold = state.threshold;
    if most_important > threshold {
        let message = format!("The threshold {threshold} admits higher priorities only.");
        return (ExplainVerdict::Refused, "threshold", message);
    }
    if least_important > threshold {
        let message = format!(
            "The threshold {threshold} admits ranks up to {}.",
            threshold.rank
        );
        return (ExplainVerdict::Undecided, "threshold", message);
    }
    if state.in_flight < state.limit && state.queued == 0 {
        let message = format!("{} of {} slots are in use.", state.in_flight, state.limit);
        return (ExplainVerdict::Admitted, "free-slot", message);
    }
    let queue_length = profile.admission.queue_length;
    if state.queued < queue_length as usize {
        let message = format!(
            "No slot is free; {} of {queue_length} places in the queue are taken.",
            state.queued
        );
        return (ExplainVerdict::Queued, "queue", message);
    }
    let message = format!(
        "The queue of {queue_length} is full; the request is queued only if a less important one is shed."
    );
    (ExplainVerdict::Undecided, "queue-full", message)
}

impl Display for RequestExplanation {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        writeln!(
            f,
            "profile     {} version {}",
            self.profile, self.profile_version
        )?;
        match (self.route, &self.route_match) {
            (Some(index), Some(text)) => writeln!(f, "route       routes[{index}] ({text})")?,
            _ => writeln!(f, "route       none")?,
        }
        writeln!(f, "class       {} (level {})", self.class, self.class_level)?;
        writeln!(f, "deadline    {} ms", self.deadline_ms)?;
        writeln!(f, "allowance   {} extra attempts", self.allowance)?;
        let idempotent = if self.idempotent { "yes" } else { "no" };
        writeln!(f, "idempotent  {idempotent}")?;
        let ticket = match self.ticket {
            TicketRule::Optional => "optional",
            TicketRule::Required => "required",
        };
        writeln!(f, "ticket      {ticket}")?;
        let verdict = match self.verdict {
            ExplainVerdict::Admitted => "admitted",
            ExplainVerdict::Queued => "queued",
            ExplainVerdict::Refused => "refused, not run",
            ExplainVerdict::Undecided => "undecided",
        };
        writeln!(f, "verdict     {verdict} ({})", self.reason)?;
        writeln!(f, "why         {}", self.message)
    }
}
