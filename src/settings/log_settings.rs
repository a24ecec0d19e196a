//! Settings of the log.

use crate::common::*;
use log::LevelFilter;

/// Level and format of the log.
#[derive(Clone, Debug, Default, Deserialize, Serialize, Eq, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Least severe level that is logged.
    pub level: LogLevel,
    /// Format of a log line.
    pub format: LogFormat,
}

/// Severity of a log line.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, Eq, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum LogLevel {
    /// Failures that keep the daemon from working.
    Error,
    /// Conditions that need attention.
    Warn,
    /// Normal events.
    #[default]
    Info,
    /// Details for debugging.
    Debug,
    /// Every step.
    Trace,
}

/// Format of a log line.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, Eq, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum LogFormat {
    /// Human-readable text.
    #[default]
    Text,
    /// One JSON object per line.
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
