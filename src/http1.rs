//! HTTP/1.1 framing on both sides of a daemon.
//!
//! The heads are parsed by `httparse`. The framing itself is written here for two reasons: requests
//! that a caller sends without waiting run side by side and are answered in order, and an answer that
//! bears the identifier of another attempt is skipped without giving up the connection's own one.

pub mod body_decoder;
pub mod client_connection;
pub mod header_list;
pub mod message_head;
