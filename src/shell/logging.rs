//! Log output: text or JSON lines on the standard streams.

use super::line_queue::LineQueue;
use crate::{
    common::*,
    settings::{LogFormat, LogSettings},
};
use fern::Output;
use humantime::format_rfc3339_millis;
use log::{
    LevelFilter, Record,
    kv::{Error, Key, Value, VisitSource},
};
use serde_json::Map;
use std::{
    io::{self, Write},
    time::SystemTime,
};

/// Error from installing the logger: the process already has one, or its thread cannot be started.
#[derive(Clone, Copy, Debug, Error)]
#[error("The process already has a logger, or the log thread cannot be started.")]
pub struct LogError;

#[derive(Serialize)]
struct JsonLine<'a> {
    time: String,
    level: &'a str,
    part: &'a str,
    message: &'a str,
    #[serde(flatten)]
    fields: Map<String, serde_json::Value>,
}

/// Collects the key-value pairs of a log record.
#[derive(Default)]
struct FieldVisitor(Map<String, serde_json::Value>);

impl<'a> VisitSource<'a> for FieldVisitor {
    fn visit_pair(&mut self, key: Key<'a>, value: Value<'a>) -> Result<(), Error> {
        let number = value.to_u64().map(serde_json::Value::from);
        let number = number.or_else(|| value.to_f64().map(serde_json::Value::from));
        let value = number.unwrap_or_else(|| value.to_string().into());
        self.0.insert(key.as_str().to_owned(), value);
        Ok(())
    }
}

/// Installs the logger on the standard error stream. Records of libraries are limited to `warn` and
/// above, whatever the level in the settings.
pub fn init(settings: &LogSettings) -> Result<(), LogError> {
    init_with_output(settings, io::stderr().into())
}

/// Installs the logger on the standard output with a bounded queue, so that logging never blocks.
pub fn init_queued(settings: &LogSettings) -> Result<(), LogError> {
    let queue = LineQueue::start(io::stdout()).map_err(|_| LogError)?;
    let writer: Box<dyn Write + Send> = Box::new(queue);
    init_with_output(settings, writer.into())
}

fn init_with_output(settings: &LogSettings, output: Output) -> Result<(), LogError> {
    let format = settings.format;
    fern::Dispatch::new()
        .format(move |out, message, record| {
            let line = format_line(format, SystemTime::now(), record, &message.to_string());
            out.finish(format_args!("{line}"));
        })
        .level(LevelFilter::Warn)
        .level_for(env!("CARGO_CRATE_NAME"), settings.level.into())
        .chain(output)
        .apply()
        .map_err(|_| LogError)
}

/// Formats one line. Control characters in the message are replaced or escaped, so that text from
/// other systems cannot inject a log line.
pub fn format_line(format: LogFormat, time: SystemTime, record: &Record, message: &str) -> String {
    let time = format_rfc3339_millis(time).to_string();
    let mut visitor = FieldVisitor::default();
    // The visitor accepts all values.
    let _ = record.key_values().visit(&mut visitor);
    let fields = visitor.0;
    match format {
        LogFormat::Text => {
            let fields: String = fields
                .iter()
                .map(|(key, value)| format!(" {key}={value}"))
                .collect();
            let message = format!("{message}{fields}").replace(char::is_control, " ");
            format!("{time} {:5} {message}", record.level())
        }
        LogFormat::Json => {
            let (part, message) = split_part(message).unwrap_or((record.target(), message));
            let line = JsonLine {
                time,
                level: record.level().as_str(),
                part,
                message,
                fields,
            };
            serde_json::to_string(&line).unwrap_or_default()
        }
    }
}

/// Splits a message such as `daemon: Stopped.` into the part that logged it and the rest.
fn split_part(message: &str) -> Option<(&str, &str)> {
    let (part, rest) = message.split_once(": ")?;
    let is_part = part.bytes().all(|byte| byte.is_ascii_lowercase());
    is_part.then_some((part, rest))
}
