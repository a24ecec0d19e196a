//! Messages of the control protocol between daemons.

use super::control_traffic::{ControlTraffic, CountedStream};
use crate::{
    common::*,
    decision::catalogue::{
        catalogue_message::{IndexDelta, IndexDigest},
        piece_assembler::ValuePiece,
        version_stamp::VersionStamp,
    },
};
use bytes::BytesMut;
use std::io;
use tarpc::{
    serde_transport::Transport,
    tokio_serde::{Deserializer, Serializer, formats::Bincode},
};
use tokio::net::TcpStream;
use tokio_util::codec::LengthDelimitedCodec;

/// Version of the control protocol.
pub const PROTOCOL_VERSION: u16 = 1;

/// Maximum size of a control message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// Header of each control request.
#[derive(Clone, Debug, Deserialize, Serialize, Eq, PartialEq)]
pub struct ControlHeader {
    /// Protocol version of the sender.
    pub protocol: u16,
    /// Cluster of the sender.
    pub cluster: SmolStr,
}

/// Reason why a control request was refused or failed.
#[derive(Clone, Debug, Error, Deserialize, Serialize, Eq, PartialEq)]
pub enum ControlError {
    /// The sender uses another version of the protocol.
    #[error("Version {0} of the control protocol is not supported.")]
    Protocol(u16),
    /// The sender belongs to another cluster.
    #[error("The sender belongs to another cluster, `{0}`.")]
    Cluster(SmolStr),
    /// The receiver does not have the value.
    #[error("The peer does not have the value.")]
    NotFound,
    /// No valid response arrived in time.
    #[error("The peer did not respond.")]
    NoResponse,
    /// The pieces of a value do not fit together or do not match its digest.
    #[error("The peer sent a corrupted value.")]
    Corrupted,
}

impl ControlHeader {
    /// Creates the header of requests within a cluster.
    pub fn new(cluster: SmolStr) -> Self {
        Self {
            protocol: PROTOCOL_VERSION,
            cluster,
        }
    }

    /// Checks that the header of a request matches the receiver's own header.
    pub fn check(&self, own: &Self) -> Result<(), ControlError> {
        if self.protocol != own.protocol {
            return Err(ControlError::Protocol(self.protocol));
        }
        if self.cluster != own.cluster {
            return Err(ControlError::Cluster(self.cluster.clone()));
        }
        Ok(())
    }
}

/// Control requests between daemons.
#[tarpc::service]
pub trait ControlService {
    /// Compares the catalogue index of the sender with that of the receiver.
    async fn exchange(
        header: ControlHeader,
        digest: IndexDigest,
    ) -> Result<IndexDelta, ControlError>;

    /// Returns the piece of a value that starts at an offset.
    async fn pieces(
        header: ControlHeader,
        key: SmolStr,
        stamp: VersionStamp,
        offset: u32,
    ) -> Result<ValuePiece, ControlError>;
}

/// Creates the transport of a connection, which limits messages to [`MAX_MESSAGE_BYTES`].
pub(super) fn transport<Item, SinkItem>(
    stream: TcpStream,
    traffic: Arc<ControlTraffic>,
) -> Transport<CountedStream, Item, SinkItem, Bincode<Item, SinkItem>>
where
    Item: for<'de> Deserialize<'de>,
    SinkItem: Serialize,
{
    let _ = stream.set_nodelay(true);
    let framed = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_MESSAGE_BYTES)
        .new_framed(CountedStream::new(stream, traffic));
    tarpc::serde_transport::new(framed, Bincode::default())
}

/// Encodes a message in the format of the transport.
pub fn encode<T: Serialize>(message: &T) -> io::Result<Vec<u8>> {
    let mut codec = std::pin::pin!(Bincode::<(), &T>::default());
    let bytes = Serializer::serialize(codec.as_mut(), &message)?;
    Ok(bytes.to_vec())
}

/// Decodes a message in the format of the transport.
pub fn decode<T: for<'de> Deserialize<'de>>(bytes: &[u8]) -> io::Result<T> {
    let mut codec = std::pin::pin!(Bincode::<T, ()>::default());
    Deserializer::deserialize(codec.as_mut(), &BytesMut::from(bytes))
}
