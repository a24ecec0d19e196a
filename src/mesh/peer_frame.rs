//! Messages between the daemons of a fleet.

use crate::{
    common::*,
    decision::mesh::{
        instance_selector::LoadReport, load_summary::LoadSummary, reader_election::StoreStatus,
    },
    mesh::store_interface::StoreItem,
};
use bytes::{Buf, Bytes, BytesMut};

/// Largest message, in bytes: the largest body that the platform allows and a head.
pub const MAX_FRAME_BYTES: usize = 80 << 20;

/// Class level of the calls of admitted work at the gate; root requests have higher levels.
pub const NESTED_CLASS: u8 = 0;

/// Bytes of the length in front of each message.
const LENGTH_BYTES: usize = 4;

/// Message between two daemons.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum PeerFrame {
    /// First message in both directions.
    Hello(HelloFrame),
    /// Asks for a run.
    Call(Box<CallFrame>),
    /// Ends a run; the caller does not wait for it any more.
    Cancel {
        /// Number of the run.
        number: u64,
    },
    /// Asks for runs that were requested on an earlier connection.
    Resume {
        /// Numbers of the runs.
        numbers: Vec<u64>,
    },
    /// The run goes on (true), or it never arrived and will not start (false).
    Resumed {
        /// Number of the run.
        number: u64,
        /// Whether the run goes on.
        is_running: bool,
    },
    /// Result of a run.
    Reply(Arc<ReplyFrame>),
    /// Asks for a sign of life.
    Ping,
    /// Sign of life.
    Pong,
    /// What the sender learned from the store.
    News(Arc<NewsFrame>),
    /// Asks for all that the receiver knows of the store.
    Fetch,
    /// Load of the sender and its contact with the store.
    Load(Arc<LoadFrame>),
    /// The sender takes no new runs.
    Leaving,
}

/// What a daemon learned from the store.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct NewsFrame {
    /// Values.
    pub items: Vec<StoreItem>,
    /// Whether all entries are among the items, so that others are gone.
    pub is_complete: bool,
    /// Revision of the store up to which the sender knew the entries before.
    pub previous_revision: u64,
    /// Revision of the store up to which the sender knows the entries.
    pub last_revision: u64,
    /// Time since the store came back, in milliseconds, while entries that lapsed meanwhile may still be
    /// missing.
    pub returned_ms: Option<u32>,
}

/// Load of a daemon and its contact with the store.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct LoadFrame {
    /// Load.
    pub summary: LoadSummary,
    /// Contact with the store.
    pub store: StoreStatus,
}

/// Identity of a daemon.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct HelloFrame {
    /// Random number that the daemon draws at its start.
    pub daemon: u64,
    /// IP address of the daemon's machine.
    pub ip: std::net::IpAddr,
    /// Whether the daemon takes no new runs.
    pub is_leaving: bool,
    /// Version of the route configuration in force; 0 without one.
    pub config_version: u64,
    /// Number of members that the daemon knows.
    pub members: u32,
    /// Counter of the sender's connections to this peer, so that messages of an earlier connection
    /// that arrive late are told apart. Listeners send 0.
    pub connection: u32,
}

/// Request to run.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct CallFrame {
    /// Number of the run, unique for the sender.
    pub number: u64,
    /// Service that is to run the request.
    pub service: SmolStr,
    /// Instance that is to run the request.
    pub instance: SmolStr,
    /// Service on whose machine the request entered.
    pub origin: SmolStr,
    /// Route of the request.
    pub route: SmolStr,
    /// Class level at the gate; 0 is the most important.
    pub class: u8,
    /// Rank within the class; the same for a repeat.
    pub rank: u16,
    /// Whether the caller marked the request as a repetition, so that it goes last in its class.
    pub is_repeat: bool,
    /// Whether the request may run at most once.
    pub is_once: bool,
    /// Time that is left when the message is sent, in milliseconds.
    pub budget_ms: u32,
    /// Longest wait for a slot, in milliseconds, for root requests.
    pub patience_ms: u32,
    /// Clock of the sender when the message was queued, in microseconds since its start.
    pub sent_us: u64,
    /// Method of the request.
    pub method: SmolStr,
    /// Identifier of the attempt.
    pub attempt: Bytes,
    /// Request line and header fields without those that the executor sets.
    pub head: Bytes,
    /// Body.
    pub body: Bytes,
}

/// Result of a run.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ReplyFrame {
    /// Number of the run.
    pub number: u64,
    /// How it ended.
    pub end: RunEnd,
    /// Load of the instance.
    pub load: LoadReport,
    /// Mean service time of the route at the instance, in microseconds.
    pub service_time_us: Option<u64>,
}

/// How a run ended.
#[derive(Clone, Debug, Deserialize, Serialize, Eq, PartialEq)]
pub enum RunEnd {
    /// The backend server answered.
    Answered(RunAnswer),
    /// The request was not run and will not be.
    NotRun(NotRunReason),
    /// The request may have run.
    Unknown(UnknownReason),
}

/// Answer of a backend server.
#[derive(Clone, Debug, Deserialize, Serialize, Eq, PartialEq)]
pub struct RunAnswer {
    /// Status code.
    pub status: u16,
    /// Header fields that are passed on.
    pub head: Bytes,
    /// Whole body.
    pub body: Bytes,
}

/// Why a request was not run.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, Eq, PartialEq)]
pub enum NotRunReason {
    /// The gate has no room.
    Busy,
    /// The daemon ends.
    Leaving,
    /// Services that the run would call cannot be reached from the machine.
    Cut,
    /// Another instance serves at the address.
    OtherInstance,
    /// The time is used up.
    Expired,
    /// The backend server refused before running it.
    Refused,
    /// No connection to the backend server could be made.
    Unreachable,
}

/// Why it is unknown whether a request was run.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, Eq, PartialEq)]
pub enum UnknownReason {
    /// The connection broke before the answer was complete.
    Broken,
    /// The backend server sent no valid answer.
    Invalid,
    /// No answer came in time.
    Timeout,
    /// The daemon beside the backend server was lost.
    Lost,
}

impl PeerFrame {
    /// Appends the message to a buffer.
    pub fn encode(&self, buffer: &mut BytesMut) {
        match postcard::to_stdvec(self) {
            Ok(bytes) => {
                buffer.extend_from_slice(&(bytes.len() as u32).to_be_bytes());
                buffer.extend_from_slice(&bytes);
            }
            Err(error) => log::error!("peer: Cannot encode a message: {error}."),
        }
    }

    /// Takes a complete message off a buffer; returns `None` while it is incomplete.
    pub fn take(buffer: &mut BytesMut) -> Result<Option<Self>, FrameError> {
        let Some(prefix) = buffer.first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*prefix) as usize;
        if length > MAX_FRAME_BYTES {
            return Err(FrameError::Size(length));
        }
        if buffer.len() < LENGTH_BYTES + length {
            return Ok(None);
        }
        buffer.advance(LENGTH_BYTES);
        let bytes = buffer.split_to(length);
        Ok(Some(postcard::from_bytes(&bytes)?))
    }
}

/// A message of another daemon cannot be read.
#[derive(Clone, Debug, Error)]
pub enum FrameError {
    /// The message is too large.
    #[error("The message has {0} bytes.")]
    Size(usize),
    /// The message has another form.
    #[error("The message cannot be decoded: {0}.")]
    Form(#[from] postcard::Error),
}
