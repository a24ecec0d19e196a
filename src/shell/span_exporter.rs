//! Export of spans over HTTP or to a file.

use crate::{
    common::*,
    shell::{
        http_client::HttpClient,
        span_encoding::SpanSource,
        span_recorder::{HopSpan, SpanMessage},
    },
};
use gotham::helpers::http::Body;
use http::{Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use opentelemetry_proto::tonic::{
    collector::trace::v1::ExportTraceServiceRequest, trace::v1::TracesData,
};
use prometheus_client::metrics::counter::Counter;
use prost::Message;
use std::{
    fs::File,
    io::{self, Write},
};
use tokio::{runtime, sync::mpsc, time};

/// Maximum number of spans in one export.
const MAX_BATCH_SPANS: usize = 512;
/// Maximum time that a span waits for its batch to fill.
const MAX_BATCH_WAIT: Duration = Duration::from_secs(1);
/// Maximum time of one export.
const EXPORT_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum size of a response body that is read to the end so that the connection can be reused.
const MAX_RESPONSE_BYTES: usize = 64 * 1024;

/// Destination of spans.
#[derive(Debug)]
pub(super) enum SpanTarget {
    /// OTLP as JSON lines in a file.
    File(File),
    /// OTLP as protobuf over HTTP.
    Http {
        /// Address of the receiver.
        address: SocketAddr,
        /// Client with pooled connections.
        client: HttpClient,
    },
}

/// Reason why the export of a batch of spans failed.
#[derive(Debug, Error)]
enum ExportError {
    /// The file cannot be written.
    #[error("The file cannot be written: {0}")]
    File(#[from] io::Error),
    /// The receiver cannot be reached or does not respond in time.
    #[error("The receiver at {0} did not respond")]
    Unreachable(SocketAddr),
    /// The receiver responded with an error status.
    #[error("The receiver responded with status {0}")]
    Status(StatusCode),
}

/// Exports spans until all recorders are dropped.
pub(super) struct SpanExporter {
    pub(super) source: SpanSource,
    pub(super) target: SpanTarget,
    pub(super) receiver: mpsc::Receiver<SpanMessage>,
    pub(super) dropped: Counter,
}

impl SpanExporter {
    /// Starts the export on a separate thread, so that it does not use the threads that serve
    /// requests.
    pub(super) fn start(self) -> io::Result<()> {
        let runtime = runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        std::thread::Builder::new()
            .name("span-export".to_owned())
            .spawn(move || runtime.block_on(self.run()))?;
        Ok(())
    }

    async fn run(mut self) {
        let mut is_failing = false;
        while let Some(message) = self.receiver.recv().await {
            let (spans, flushed) = self.collect_batch(message).await;
            let result = self.export(&spans).await;
            if let Err(error) = &result {
                self.dropped.inc_by(spans.len() as u64);
                // The counter covers every failed batch; the log reports only the first one in a
                // series of failures.
                if !is_failing {
                    log::warn!("trace: Spans were dropped. {error}.");
                }
            }
            is_failing = result.is_err();
            if let Some(flushed) = flushed {
                let _ = flushed.send(());
            }
        }
    }

    /// Collects spans until the batch is full, a flush is requested or [`MAX_BATCH_WAIT`] passes.
    async fn collect_batch(
        &mut self,
        first: SpanMessage,
    ) -> (Vec<HopSpan>, Option<tokio::sync::oneshot::Sender<()>>) {
        let deadline = time::Instant::now() + MAX_BATCH_WAIT;
        let mut spans = Vec::new();
        let mut message = Some(first);
        loop {
            match message {
                Some(SpanMessage::Span(span)) => spans.push(*span),
                Some(SpanMessage::Flush(flushed)) => return (spans, Some(flushed)),
                None => return (spans, None),
            }
            if spans.len() == MAX_BATCH_SPANS {
                return (spans, None);
            }
            message = time::timeout_at(deadline, self.receiver.recv())
                .await
                .unwrap_or_default();
        }
    }

    async fn export(&mut self, spans: &[HopSpan]) -> Result<(), ExportError> {
        if spans.is_empty() {
            return Ok(());
        }
        match &mut self.target {
            SpanTarget::File(file) => {
                for span in spans {
                    let data = TracesData {
                        resource_spans: self.source.encode(std::slice::from_ref(span)),
                    };
                    let line = serde_json::to_string(&data).map_err(io::Error::other)?;
                    writeln!(file, "{line}")?;
                }
                Ok(())
            }
            SpanTarget::Http { address, client } => {
                let message = ExportTraceServiceRequest {
                    resource_spans: self.source.encode(spans),
                };
                post(*address, client, message.encode_to_vec()).await
            }
        }
    }
}

async fn post(
    address: SocketAddr,
    client: &HttpClient,
    message: Vec<u8>,
) -> Result<(), ExportError> {
    let unreachable = || ExportError::Unreachable(address);
    let request = Request::post(format!("http://{address}/v1/traces"))
        .header(header::HOST, address.to_string())
        .header(header::CONTENT_TYPE, "application/x-protobuf")
        .body(Body::new(
            Full::from(message).map_err(|never| match never {}),
        ))
        .map_err(|_| unreachable())?;
    let exchange = async {
        let response = client
            .send(address, request)
            .await
            .map_err(|_| unreachable())?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES);
        let _ = body.collect().await;
        Ok::<_, ExportError>(status)
    };
    let status = time::timeout(EXPORT_TIMEOUT, exchange)
        .await
        .map_err(|_| unreachable())??;
    if status.is_success() {
        Ok(())
    } else {
        Err(ExportError::Status(status))
    }
}
