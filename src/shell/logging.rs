//! Log of the daemon on the standard error stream.

use crate::{
    common::*,
    settings::{LogFormat, LogSettings},
};
use humantime::format_rfc3339_millis;
use log::{LevelFilter, Record};
use std::{io, time::SystemTime};

/// The log cannot be set up, because the process already has one.
#[derive(Clone, Copy, Debug, Error)]
#[error("The process already has a log.")]
pub struct LogError;

#[derive(Serialize)]
struct JsonLine<'a> {
    time: String,
    level: &'a str,
    part: &'a str,
    message: &'a str,
}

/// Sets up the log. Libraries log at `warn` and above, whatever the level in the settings.
pub fn init(settings: &LogSettings) -> Result<(), LogError> {
    let format = settings.format;
    fern::Dispatch::new()
        .format(move |out, message, record| {
            let line = format_line(format, SystemTime::now(), record, &message.to_string());
            out.finish(format_args!("{line}"));
        })
        .level(LevelFilter::Warn)
        .level_for(env!("CARGO_CRATE_NAME"), settings.level.into())
        .chain(io::stderr())
        .apply()
        .map_err(|_| LogError)
}

/// Formats one line. Control characters in the message are replaced or escaped, so that
/// text from outside cannot forge a line.
pub fn format_line(format: LogFormat, time: SystemTime, record: &Record, message: &str) -> String {
    let time = format_rfc3339_millis(time).to_string();
    match format {
        LogFormat::Text => {
            let message = message.replace(char::is_control, " ");
            format!("{time} {:5} {message}", record.level())
        }
        LogFormat::Json => {
            let (part, message) = split_part(message).unwrap_or((record.target(), message));
            let line = JsonLine {
                time,
                level: record.level().as_str(),
                part,
                message,
            };
            serde_json::to_string(&line).unwrap_or_default()
        }
    }
}

/// Splits the fixed prefix of a part from a message, such as `daemon: Stopped.`.
fn split_part(message: &str) -> Option<(&str, &str)> {
    let (part, rest) = message.split_once(": ")?;
    let is_part = part.bytes().all(|byte| byte.is_ascii_lowercase());
    is_part.then_some((part, rest))
}
