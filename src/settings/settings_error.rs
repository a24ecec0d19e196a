//! Errors of the settings.

use super::{
    MAX_SETTINGS_BYTES,
    settings_validation::{MAX_CALLS, MAX_REFUSAL_MS, MAX_SEED_PEERS},
};
use crate::{common::*, toml_location::KeyLocation};
use std::path::PathBuf;

/// Settings cannot be loaded.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("The settings file {} cannot be read: {source}.", path.display())]
    Read {
        /// File that was asked for.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The content is refused.
    #[error("The settings file {} is refused. {source}", path.display())]
    Invalid {
        /// File that was asked for.
        path: PathBuf,
        /// Reason of the refusal.
        source: InvalidSettings,
    },
}

/// The content of a settings file is refused.
#[derive(Clone, Debug, Eq, PartialEq, Error)]
pub enum InvalidSettings {
    /// The text is too large.
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
        /// Place of the error.
        location: KeyLocation,
        /// Message of the TOML library.
        message: String,
    },
    /// A value breaks a rule.
    #[error("At {location}: {violation}")]
    Rule {
        /// Place of the value.
        location: KeyLocation,
        /// Rule that is broken.
        violation: SettingsViolation,
    },
}

/// Rule of the settings that a value breaks.
#[derive(Clone, Debug, Eq, PartialEq, Error)]
pub enum SettingsViolation {
    /// A name has a wrong form.
    #[error(
        "A name has 1 to 64 letters, digits, `-`, `_` or `.` and starts with a letter or digit."
    )]
    Name,
    /// An address has port 0.
    #[error("The port must not be 0.")]
    NoPort,
    /// An address to connect to is unspecified.
    #[error("The address to connect to must name a host.")]
    NoHost,
    /// Two keys name the same address.
    #[error("The address is already used by `{0}`.")]
    SameAddress(&'static str),
    /// A list names an entry twice.
    #[error("The entry is listed twice.")]
    Duplicate,
    /// Too many seed peers.
    #[error("At most {MAX_SEED_PEERS} seed peers are allowed.")]
    TooManySeedPeers,
    /// Too many called services.
    #[error("At most {MAX_CALLS} called services are allowed.")]
    TooManyCalls,
    /// A draining daemon would refuse requests for too long.
    #[error("The time must be at most {MAX_REFUSAL_MS} ms.")]
    RefusalTooLong,
    /// Spans have two destinations.
    #[error("Only one of `trace_endpoint` and `trace_file` can be set.")]
    TwoTraceExports,
}
