//! HTTP/1.1 framing for connections from callers and to servers.
//!
//! The heads are parsed by `httparse`. The framing is implemented here for two reasons: pipelined
//! requests of a caller run concurrently while their responses are sent in order, and a response
//! with the identifier of another attempt is skipped while the client waits for the matching one.

pub mod body_decoder;
pub mod byte_budget;
pub mod chunked_coding;
pub mod client_connection;
pub mod closing_stream;
pub mod header_list;
pub mod message_head;
pub mod response_rules;
