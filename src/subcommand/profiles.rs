//! `profiles`: shows the profiles that a daemon has in force.

use super::{
    SubcommandError,
    admin_client::{AdminTarget, admin_target},
};
use crate::shell::profiles_report::ProfilesReport;
use bpaf::Bpaf;

/// Arguments of `profiles`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub(super) struct ProfilesArguments {
    /// Print JSON
    json: bool,
    #[bpaf(external)]
    admin_target: AdminTarget,
}

pub(super) fn profiles(arguments: &ProfilesArguments) -> Result<(), SubcommandError> {
    arguments
        .admin_target
        .print_report::<ProfilesReport>("/profiles", arguments.json)
}
