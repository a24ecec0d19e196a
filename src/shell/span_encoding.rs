//! Encoding of spans in the OpenTelemetry protocol (OTLP).

use crate::{common::*, shell::span_recorder::HopSpan};
use opentelemetry_proto::tonic::{
    common::v1::{AnyValue, KeyValue, any_value},
    resource::v1::Resource,
    trace::v1::{ResourceSpans, ScopeSpans, Span, span::SpanKind},
};
use std::time::UNIX_EPOCH;

/// Instance whose spans are exported.
#[derive(Clone, Debug)]
pub struct SpanSource {
    /// Service of the instance.
    pub service: SmolStr,
    /// Name of the instance.
    pub instance: SmolStr,
}

impl SpanSource {
    /// Encodes a batch of spans.
    pub fn encode(&self, spans: &[HopSpan]) -> Vec<ResourceSpans> {
        vec![ResourceSpans {
            resource: Some(Resource {
                attributes: vec![
                    attribute("service.name", &self.service),
                    attribute("service.instance.id", &self.instance),
                ],
                ..Resource::default()
            }),
            scope_spans: vec![ScopeSpans {
                spans: spans.iter().map(encode_span).collect(),
                ..ScopeSpans::default()
            }],
            ..ResourceSpans::default()
        }]
    }
}

fn encode_span(span: &HopSpan) -> Span {
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
        end_time_unix_nano: start.saturating_add(span.duration.as_nanos() as u64),
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
