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

/// Most spans of one export.
const BATCH_SPANS: usize = 512;
/// Longest time that a span waits for others of its batch.
const BATCH_WAIT: Duration = Duration::from_secs(1);
/// Longest time of one export.
const EXPORT_TIMEOUT: Duration = Duration::from_secs(5);
/// Largest answer that is read, so that the connection can be used again, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// Destination of spans.
#[derive(Debug)]
pub(super) enum SpanTarget {
    /// JSON lines in a file.
    File(File),
    /// Protobuf over HTTP.
    Http {
        /// Address of the receiver.
        address: SocketAddr,
        /// Client with a pooled connection.
        client: HttpClient,
    },
}

/// A batch of spans was not exported.
#[derive(Debug, Error)]
enum ExportError {
    /// The file cannot be written.
    #[error("The file cannot be written: {0}")]
    File(#[from] io::Error),
    /// The receiver cannot be reached or does not answer.
    #[error("The receiver at {0} did not answer")]
    Unreachable(SocketAddr),
    /// The receiver refused the batch.
    #[error("The receiver answered with status {0}")]
    Status(StatusCode),
}

/// Exports spans until all recorders are gone.
pub(super) struct SpanExporter {
    pub(super) source: SpanSource,
    pub(super) target: SpanTarget,
    pub(super) receiver: mpsc::Receiver<SpanMessage>,
    pub(super) dropped: Counter,
}

impl SpanExporter {
    /// Starts the export on its own thread, apart from the threads that serve requests.
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
            let (spans, flushed) = self.batch(message).await;
            let result = self.export(&spans).await;
            if let Err(error) = &result {
                self.dropped.inc_by(spans.len() as u64);
                // Each failed batch adds to the count; the log names only the first of a row.
                if !is_failing {
                    log::warn!("trace: Spans are lost. {error}.");
                }
            }
            is_failing = result.is_err();
            if let Some(flushed) = flushed {
                let _ = flushed.send(());
            }
        }
    }

    /// Collects spans until the batch is full, a flush is asked for or the time is up.
    async fn batch(
        &mut self,
        first: SpanMessage,
    ) -> (Vec<HopSpan>, Option<tokio::sync::oneshot::Sender<()>>) {
        let until = time::Instant::now() + BATCH_WAIT;
        let mut spans = Vec::new();
        let mut message = Some(first);
        loop {
            match message {
                Some(SpanMessage::Span(span)) => spans.push(*span),
                Some(SpanMessage::Flush(flushed)) => return (spans, Some(flushed)),
                None => return (spans, None),
            }
            if spans.len() == BATCH_SPANS {
                return (spans, None);
            }
            message = time::timeout_at(until, self.receiver.recv())
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
    let answer = async {
        let response = client
            .send(address, request)
            .await
            .map_err(|_| unreachable())?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
        let _ = body.collect().await;
        Ok::<_, ExportError>(status)
    };
    let status = time::timeout(EXPORT_TIMEOUT, answer)
        .await
        .map_err(|_| unreachable())??;
    if status.is_success() {
        Ok(())
    } else {
        Err(ExportError::Status(status))
    }
}
