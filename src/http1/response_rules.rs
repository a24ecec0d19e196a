//! When a response is valid and complete. All readers of responses follow these rules: those of
//! backend servers, of other daemons, of the store and of the platform, and the subcommands.

use super::message_head::MessageError;

/// Class of a status.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StatusClass {
    /// Another response to the same request follows.
    Interim,
    /// The response to the request.
    Final,
}

impl StatusClass {
    /// Returns the class of a status. Statuses without a class in HTTP are invalid, and so is the
    /// switch to another protocol, which no request asks for.
    pub fn new(status: u16) -> Result<Self, MessageError> {
        match status {
            101 => Err(MessageError::Status(status)),
            100..=199 => Ok(Self::Interim),
            200..=599 => Ok(Self::Final),
            _ => Err(MessageError::Status(status)),
        }
    }
}

/// What shows that a response has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResponseEnd {
    /// Its length or its last chunk.
    Framing,
    /// The end of its connection.
    Connection,
}

impl ResponseEnd {
    /// Returns whether the response is complete. `is_request_written` tells whether all of the
    /// request was written without an error.
    ///
    /// The end of a connection shows the end of a response only if the connection had no error. A
    /// reset is reported once: when a write gets the error, the next read sees an ordinary end.
    pub fn is_complete(self, is_request_written: bool) -> bool {
        match self {
            Self::Framing => true,
            Self::Connection => is_request_written,
        }
    }
}
