//! Errors of the settings.

use super::{
    MAX_SETTINGS_BYTES,
    settings_validation::{MAX_CALLS, MAX_REFUSAL_MS, MAX_SEED_PEERS},
};
use crate::{common::*, toml_location::KeyLocation};
use std::path::PathBuf;

/// Error while loading settings.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("The settings file {} cannot be read: {source}.", path.display())]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The content is invalid.
    #[error("The settings file {} is invalid. {source}", path.display())]
    Invalid {
        /// Path of the file.
        path: PathBuf,
        /// Reason why the content is invalid.
        source: InvalidSettings,
    },
}

/// Error in the content of a settings file.
#[derive(Clone, Debug, Eq, PartialEq, Error)]
pub enum InvalidSettings {
    /// The file is too large.
    #[error("The file has {0} bytes; at most {MAX_SETTINGS_BYTES} are allowed.")]
    TooLarge(usize),
    /// The bytes are not valid UTF-8.
    #[error("At line {line}: The text is not valid UTF-8.")]
    Encoding {
        /// Line of the first invalid byte, from 1.
        line: usize,
    },
    /// The text is not valid TOML, or a key is unknown, missing or of the wrong type.
    #[error("At {location}: {message}.")]
    Syntax {
        /// Location of the error.
        location: KeyLocation,
        /// Message of the TOML library.
        message: String,
    },
    /// A value violates a rule.
    #[error("At {location}: {violation}")]
    Rule {
        /// Location of the value.
        location: KeyLocation,
        /// Violated rule.
        violation: SettingsViolation,
    },
}

/// Rule of the settings that a value violates.
#[derive(Clone, Debug, Eq, PartialEq, Error)]
pub enum SettingsViolation {
    /// A name has an invalid format.
    #[error(
        "A name has 1 to 64 letters, digits, `-`, `_` or `.` and starts with a letter or digit."
    )]
    InvalidName,
    /// An address has port 0.
    #[error("The port must not be 0.")]
    ZeroPort,
    /// An address that the daemon connects to is unspecified.
    #[error("The daemon connects to this address, so it must not be unspecified (0.0.0.0 or ::).")]
    UnspecifiedHost,
    /// Two keys have the same address.
    #[error("The address is already used by `{0}`.")]
    AddressInUse(&'static str),
    /// A list contains an entry twice.
    #[error("The entry is listed twice.")]
    Duplicate,
    /// Too many seed peers.
    #[error("At most {MAX_SEED_PEERS} seed peers are allowed.")]
    TooManySeedPeers,
    /// Too many called services.
    #[error("At most {MAX_CALLS} called services are allowed.")]
    TooManyCalls,
    /// The time for which a draining daemon refuses requests is too long.
    #[error("The time must be at most {MAX_REFUSAL_MS} ms.")]
    RefusalTimeTooLong,
    /// Two destinations are set for spans.
    #[error("Only one of `trace_endpoint` and `trace_file` can be set.")]
    MultipleTraceExports,
}
