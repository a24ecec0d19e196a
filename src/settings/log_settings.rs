//! Settings of the log.

use crate::common::*;
use log::LevelFilter;

/// Level and format of the log.
#[derive(Clone, Debug, Default, Deserialize, Serialize, Eq, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Least severe level that is written.
    pub level: LogLevel,
    /// Format of a line.
    pub format: LogFormat,
}

/// Severity of a log line.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, Eq, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum LogLevel {
    /// The daemon cannot do its work.
    Error,
    /// Something needs attention.
    Warn,
    /// Normal events.
    #[default]
    Info,
    /// Details for the search for faults.
    Debug,
    /// Every step.
    Trace,
}

/// Format of a log line.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, Eq, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum LogFormat {
    /// Text for people.
    #[default]
    Text,
    /// One JSON object on each line.
    Json,
}

impl From<LogLevel> for LevelFilter {
    fn from(level: LogLevel) -> Self {
        match level {
            LogLevel::Error => Self::Error,
            LogLevel::Warn => Self::Warn,
            LogLevel::Info => Self::Info,
            LogLevel::Debug => Self::Debug,
            LogLevel::Trace => Self::Trace,
        }
    }
}
