//! `status`: shows the state of a daemon.

use super::{
    SubcommandError,
    admin_client::{AdminTarget, admin_target},
};
use crate::shell::status_report::StatusReport;
use bpaf::Bpaf;

/// Arguments of `status`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub(super) struct StatusArguments {
    /// Print JSON
    json: bool,
    #[bpaf(external)]
    admin_target: AdminTarget,
}

pub(super) fn status(arguments: &StatusArguments) -> Result<(), SubcommandError> {
    arguments
        .admin_target
        .print_report::<StatusReport>("/status", arguments.json)
}
