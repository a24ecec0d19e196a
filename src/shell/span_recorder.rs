//! Trace spans in the OpenTelemetry format.

use crate::{
    common::*,
    decision::request_context::{CallId, RequestId},
};
use opentelemetry_proto::tonic::{
    common::v1::{AnyValue, KeyValue, any_value},
    resource::v1::Resource,
    trace::v1::{ResourceSpans, ScopeSpans, Span, TracesData, span::SpanKind},
};
use std::{
    io::{self, Write},
    path::Path,
    time::{SystemTime, UNIX_EPOCH},
};
use tokio::sync::mpsc;

/// Spans that wait for export; further spans are dropped.
const QUEUE_LENGTH: usize = 4_096;

/// Span of one hop.
#[derive(Clone, Debug)]
pub struct HopSpan {
    /// Root request.
    pub request: RequestId,
    /// Span id.
    pub span: CallId,
    /// Parent span id, if any.
    pub parent: Option<CallId>,
    /// Name of the operation.
    pub name: SmolStr,
    /// Whether the span covers the receiving side.
    pub is_server: bool,
    /// Start by the wall clock.
    pub start: SystemTime,
    /// Time from start to end.
    pub duration: Duration,
    /// Outcome of the request.
    pub outcome: &'static str,
}

/// Sends spans to an exporter in the background; without an exporter spans are dropped.
#[derive(Clone, Debug)]
pub struct SpanRecorder {
    sender: Option<mpsc::Sender<HopSpan>>,
}

impl SpanRecorder {
    /// Creates a recorder that drops all spans.
    pub fn disabled() -> Self {
        Self { sender: None }
    }

    /// Creates a recorder that appends OTLP JSON lines to a file.
    pub fn to_file(path: &Path, service: SmolStr, instance: SmolStr) -> io::Result<Self> {
        let mut file = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(path)?;
        let (sender, mut receiver) = mpsc::channel::<HopSpan>(QUEUE_LENGTH);
        std::thread::spawn(move || {
            while let Some(span) = receiver.blocking_recv() {
                let data = traces_data(&service, &instance, &span);
                let line = serde_json::to_string(&data).unwrap_or_default();
                if let Err(error) = writeln!(file, "{line}") {
                    log::warn!("trace: Cannot write a span: {error}.");
                }
            }
        });
        Ok(Self {
            sender: Some(sender),
        })
    }

    /// Records a finished span.
    pub fn record(&self, span: HopSpan) {
        if let Some(sender) = &self.sender {
            let _ = sender.try_send(span);
        }
    }
}

fn traces_data(service: &str, instance: &str, span: &HopSpan) -> TracesData {
    TracesData {
        resource_spans: vec![ResourceSpans {
            resource: Some(Resource {
                attributes: vec![
                    attribute("service.name", service),
                    attribute("service.instance.id", instance),
                ],
                ..Resource::default()
            }),
            scope_spans: vec![ScopeSpans {
                spans: vec![otlp_span(span)],
                ..ScopeSpans::default()
            }],
            ..ResourceSpans::default()
        }],
    }
}

fn otlp_span(span: &HopSpan) -> Span {
    let start = span
        .start
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_nanos() as u64;
    let kind = if span.is_server {
        SpanKind::Server
    } else {
        SpanKind::Client
    };
    Span {
        trace_id: span.request.0.to_be_bytes().to_vec(),
        span_id: span.span.0.to_be_bytes().to_vec(),
        parent_span_id: span
            .parent
            .map(|parent| parent.0.to_be_bytes().to_vec())
            .unwrap_or_default(),
        name: span.name.to_string(),
        kind: kind as i32,
        start_time_unix_nano: start,
        end_time_unix_nano: start + span.duration.as_nanos() as u64,
        attributes: vec![attribute("skylark.outcome", span.outcome)],
        ..Span::default()
    }
}

fn attribute(key: &str, value: &str) -> KeyValue {
    KeyValue {
        key: key.to_owned(),
        value: Some(AnyValue {
            value: Some(any_value::Value::StringValue(value.to_owned())),
        }),
        ..KeyValue::default()
    }
}
