//! Complete response of a run.

use bytes::Bytes;
use http::{HeaderMap, StatusCode};

/// Overhead of a record that counts towards the limit on bytes.
const RECORD_OVERHEAD_BYTES: usize = 128;

/// Complete response that is stored so that it can be sent again.
#[derive(Clone, Debug, PartialEq)]
pub struct RecordedResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// HTTP headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

impl RecordedResponse {
    /// Returns the bytes that count towards the limit of the table.
    pub fn size(&self) -> usize {
        let headers = self.headers.iter();
        let headers: usize = headers
            .map(|(name, value)| name.as_str().len() + value.len())
            .sum();
        RECORD_OVERHEAD_BYTES + headers + self.body.len()
    }
}
