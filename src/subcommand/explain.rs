//! `explain`: shows why a request would be admitted or shed.

use super::{
    SubcommandError,
    admin_client::{AdminTarget, admin_target},
};
use crate::{
    common::*,
    decision::profile::request_explanation::{ExplainQuery, RequestExplanation},
    shell::explain_codec,
};
use bpaf::Bpaf;

/// Arguments of `explain`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub(super) struct ExplainArguments {
    /// Print JSON
    json: bool,
    /// Class of the request; by default the class of its route
    #[bpaf(argument("NAME"))]
    class: Option<SmolStr>,
    /// Rank of the request, 0 to 65535; by default the result covers all ranks
    #[bpaf(argument("RANK"))]
    rank: Option<u16>,
    /// The request carries a ticket
    ticket: bool,
    /// The request is marked as a retry
    retry: bool,
    #[bpaf(external)]
    admin_target: AdminTarget,
    /// HTTP method
    #[bpaf(positional("METHOD"))]
    method: SmolStr,
    /// Path of the request
    #[bpaf(positional("PATH"))]
    path: SmolStr,
}

pub(super) fn explain(arguments: &ExplainArguments) -> Result<(), SubcommandError> {
    let query = ExplainQuery {
        method: arguments.method.clone(),
        path: arguments.path.clone(),
        class: arguments.class.clone(),
        rank: arguments.rank,
        ticket: arguments.ticket,
        retry: arguments.retry,
    };
    let path = format!("/explain?{}", explain_codec::encode(&query));
    arguments
        .admin_target
        .print_report::<RequestExplanation>(&path, arguments.json)
}
