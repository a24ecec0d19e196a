//! Recorder of trace spans, one for each hop of a request.

use crate::{
    common::*,
    decision::request_context::{CallId, RequestId},
    shell::{
        http_client::HttpClient,
        span_encoding::SpanSource,
        span_exporter::{SpanExporter, SpanTarget},
    },
};
use prometheus_client::metrics::counter::Counter;
use std::{io, path::Path, time::SystemTime};
use tokio::sync::{mpsc, oneshot};

/// Maximum number of spans that wait for export; further spans are dropped.
const MAX_QUEUED_SPANS: usize = 4_096;

/// Maximum time that a stopping daemon waits for the export of its last spans.
pub const FLUSH_TIMEOUT: Duration = Duration::from_secs(2);

/// Trace span of one hop, on the sending or on the receiving side.
#[derive(Clone, Debug)]
pub struct HopSpan {
    /// Root request, whose id is the trace id.
    pub request: RequestId,
    /// Span id.
    pub span: CallId,
    /// Parent span id, if any.
    pub parent: Option<CallId>,
    /// Name of the operation.
    pub name: SmolStr,
    /// Whether the span is of the receiving side.
    pub is_server: bool,
    /// Start time by the system clock.
    pub start: SystemTime,
    /// Time from start to end.
    pub duration: Duration,
    /// Outcome of the request.
    pub outcome: &'static str,
}

/// Message to the exporter.
#[derive(Debug)]
pub(super) enum SpanMessage {
    /// Span to export.
    Span(Box<HopSpan>),
    /// Notifies the sender when all earlier spans are exported or dropped.
    Flush(oneshot::Sender<()>),
}

/// Passes spans to an exporter in the background. Without an exporter, spans are dropped.
#[derive(Clone, Debug)]
pub struct SpanRecorder {
    sender: Option<mpsc::Sender<SpanMessage>>,
    dropped: Counter,
}

impl SpanRecorder {
    /// Creates a recorder that drops all spans.
    pub fn disabled() -> Self {
        Self {
            sender: None,
            dropped: Counter::default(),
        }
    }

    /// Creates a recorder that appends OTLP JSON lines to a file.
    pub fn to_file(path: &Path, service: SmolStr, instance: SmolStr) -> io::Result<Self> {
        let file = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(path)?;
        Self::start(SpanTarget::File(file), SpanSource { service, instance })
    }

    /// Creates a recorder that sends batches of spans to `address` by OTLP over HTTP.
    pub fn to_endpoint(
        address: SocketAddr,
        service: SmolStr,
        instance: SmolStr,
    ) -> io::Result<Self> {
        let target = SpanTarget::Http {
            address,
            client: HttpClient::new(),
        };
        Self::start(target, SpanSource { service, instance })
    }

    fn start(target: SpanTarget, source: SpanSource) -> io::Result<Self> {
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_SPANS);
        let dropped = Counter::default();
        SpanExporter {
            source,
            target,
            receiver,
            dropped: dropped.clone(),
        }
        .start()?;
        Ok(Self {
            sender: Some(sender),
            dropped,
        })
    }

    /// Records a finished span. When the queue is full, the span is dropped and counted.
    pub fn record(&self, span: HopSpan) {
        if let Some(sender) = &self.sender
            && sender.try_send(SpanMessage::Span(Box::new(span))).is_err()
        {
            self.dropped.inc();
        }
    }

    /// Waits until the spans recorded so far are exported or dropped, for at most `timeout`.
    pub async fn flush(&self, timeout: Duration) {
        let Some(sender) = &self.sender else {
            return;
        };
        let (flushed, confirmation) = oneshot::channel();
        let flush = async {
            if sender.send(SpanMessage::Flush(flushed)).await.is_ok() {
                let _ = confirmation.await;
            }
        };
        let _ = tokio::time::timeout(timeout, flush).await;
    }

    /// Returns the number of spans that were dropped at a full queue or could not be exported.
    pub fn dropped(&self) -> u64 {
        self.dropped.get()
    }

    /// Returns the counter of dropped spans, for the metrics.
    pub fn dropped_counter(&self) -> Counter {
        self.dropped.clone()
    }
}
