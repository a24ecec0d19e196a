//! Complete response of a recorded run.

use bytes::Bytes;
use http::{HeaderMap, StatusCode};

/// Overhead of a record that counts against the bound on bytes.
const RECORD_OVERHEAD_BYTES: usize = 128;

/// Complete response that can be sent again.
#[derive(Clone, Debug, PartialEq)]
pub struct RecordedResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
}

impl RecordedResponse {
    /// Returns the bytes that count against the bound of the record.
    pub fn size(&self) -> usize {
        let headers = self.headers.iter();
        let headers: usize = headers
            .map(|(name, value)| name.as_str().len() + value.len())
            .sum();
        RECORD_OVERHEAD_BYTES + headers + self.body.len()
    }
}
