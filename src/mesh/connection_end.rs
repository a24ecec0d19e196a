//! Why a connection between two daemons ended.

use crate::{common::*, mesh::peer_frame::FrameError};
use std::io;

/// Why a connection between two daemons ended. Both sides close with a reset unless the daemon stops, so
/// only the side that closed it knows the reason.
#[derive(Debug, Error)]
pub enum ConnectionEnd {
    /// This side closed the connection: the peer sent no data although it had to respond.
    #[error("closed here: the peer was silent for {} ms with {pending} pending calls", silence.as_millis())]
    Silent {
        /// Time since the last received data.
        silence: Duration,
        /// Number of calls that waited for their results.
        pending: usize,
    },
    /// This side closed the connection: the peer opened a newer one.
    #[error("closed here: the peer opened a newer connection")]
    Replaced,
    /// This side closed the connection: a message was invalid.
    #[error("closed here: {0}")]
    Frame(#[from] FrameError),
    /// This side closed the connection: nothing uses it any longer.
    #[error("closed here: it is no longer used")]
    Unused,
    /// This side closed the connection: serving it panicked.
    #[error("closed here: serving it panicked")]
    Panicked,
    /// This side closed the connection: the daemon stops.
    #[error("closed here: the daemon stops")]
    Stopping,
    /// The peer closed the connection.
    #[error("closed by the peer")]
    PeerClosed,
    /// Reading or writing failed, for example because the peer reset the connection.
    #[error("{0}")]
    Io(#[from] io::Error),
}
