//! Messages between the daemons of a fleet.

use crate::{
    common::*,
    decision::{
        mesh::{
            crash_suspects::{MAX_MESSAGE_RECORDS, SuspectRecord},
            instance_selector::LoadReport,
            load_summary::LoadSummary,
            reader_election::StoreStatus,
            server_notes::ServerNotes,
            store_position::StorePosition,
        },
        organisation::organisation_demand::{DemandReport, MAX_DEMANDS},
    },
    http1::response_rules::StatusClass,
    mesh::{
        frame_additions::{ContactAddition, LoadAddition, UpdateAddition},
        store_interface::StoreItem,
    },
};
use bytes::{Buf, Bytes, BytesMut};

/// Largest message in bytes: the largest body that the platform allows, plus a head.
pub const MAX_FRAME_BYTES: usize = 80 << 20;

/// Class level of nested calls at the admission gate. Root requests have higher levels.
pub const NESTED_CLASS: u8 = 0;

/// Demand in the messages of a daemon without organisations. Earlier builds read one wherever a load
/// message continues.
static EMPTY_DEMAND: DemandReport = DemandReport {
    is_settled: false,
    demands: Vec::new(),
};

/// Size of the length prefix of each message.
const LENGTH_BYTES: usize = 4;

/// Message between two daemons.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum PeerFrame {
    /// Handshake, the first message in both directions.
    Hello(HelloFrame),
    /// Requests a run.
    Call(Box<CallFrame>),
    /// Cancels a run whose caller no longer waits for it.
    Cancel {
        /// Number of the run.
        number: u64,
    },
    /// Requests the state of runs that were requested on an earlier connection.
    Resume {
        /// Numbers of the runs.
        numbers: Vec<u64>,
    },
    /// State of a run without a result.
    Resumed {
        /// Number of the run.
        number: u64,
        /// Whether it is still running. Only earlier builds send `false`, for each run that they do not
        /// know: it may have run, too.
        is_running: bool,
    },
    /// Result of a run.
    Reply(Arc<ReplyFrame>),
    /// Liveness check; the receiver responds with `Pong`.
    Ping,
    /// Response to `Ping`.
    Pong,
    /// Values of the store that the sender read or received.
    StoreUpdate(Arc<StoreUpdateFrame>),
    /// Requests all values of the store that the receiver has.
    FetchStoreState,
    /// Load of the sender, and how it reads the store.
    Load(Arc<LoadFrame>),
    /// The sender takes no new runs.
    Leaving,
    /// The backend server beside the sender has announced that it leaves. What it says of itself is
    /// appended to a `Leaving`, which earlier builds read.
    #[serde(skip)]
    ServerLeaving(ServerNotes),
    /// Records of suspected requests. They are appended to a `Ping`, which earlier builds read.
    #[serde(skip)]
    Suspects(Arc<Vec<SuspectRecord>>),
}

/// Values of the store that a daemon sends to its peers.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct StoreUpdateFrame {
    /// Values.
    pub items: Vec<StoreItem>,
    /// Whether the items contain all entries, so that entries that are not among them were removed.
    pub is_complete: bool,
    /// Position up to which the sender had all entries before this update.
    pub previous: StorePosition,
    /// Position up to which the sender has all entries.
    pub last: StorePosition,
    /// Time since the end of an outage of the store, in milliseconds; 0 during one. Set only while
    /// entries that expired in it may be missing.
    pub since_store_recovery_ms: Option<u32>,
    /// Whether the sender read a list, which does not show removals of entries that it did not know.
    /// Appended to the message.
    #[serde(skip)]
    pub is_list: bool,
}

/// Load of a daemon and how it reads the store.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct LoadFrame {
    /// Load of the daemon.
    pub summary: LoadSummary,
    /// How the daemon reads the store and how recent its state is.
    pub store_status: StoreStatus,
    /// Demand at the daemon's entry, if the configuration has organisations. Appended to the message.
    #[serde(skip)]
    pub demand: Option<DemandReport>,
}

/// Identity and state of a daemon, sent when a connection is opened.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct HelloFrame {
    /// Random number that identifies this process of the daemon.
    pub daemon_id: u64,
    /// IP address of the daemon's machine.
    pub ip: std::net::IpAddr,
    /// Whether the daemon takes no new runs.
    pub is_leaving: bool,
    /// Version of the route configuration in force; 0 without one.
    pub config_version: u64,
    /// Number of entries that the daemon has.
    pub member_count: u32,
    /// Counter of the sender's connections to this peer, to detect late messages of an earlier
    /// connection. Listeners send 0.
    pub connection_number: u32,
    /// What the daemon that opened the connection knows of the backend server beside the listener, or
    /// what the listener knows of it. Appended to the message.
    #[serde(skip)]
    pub notes: ServerNotes,
}

/// Request for a run.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct CallFrame {
    /// Number of the run, unique within the sender.
    pub number: u64,
    /// Service that is to run the request.
    pub service: SmolStr,
    /// Instance that is to run the request.
    pub instance: SmolStr,
    /// Service of the backend server beside the daemon at which the request entered.
    pub caller_service: SmolStr,
    /// Route of the request.
    pub route: SmolStr,
    /// Class level at the admission gate; 0 is the most important.
    pub class: u8,
    /// Rank within the class; the same for all attempts of the daemon at the request.
    pub rank: u16,
    /// Whether the caller marked the request as a retry, which puts it last in its class.
    pub is_marked_retry: bool,
    /// Whether the request may run at most once.
    pub is_at_most_once: bool,
    /// Remaining time of the request when the message is queued, in milliseconds.
    pub remaining_ms: u32,
    /// Longest time that a root request may wait for a slot, in milliseconds.
    pub max_wait_ms: u32,
    /// Time when the message was queued, in microseconds since the start of the sender.
    pub queued_at_us: u64,
    /// Method of the request.
    pub method: SmolStr,
    /// Identifier of the caller's attempt.
    pub attempt_id: Bytes,
    /// Request line and header fields, without those that the executor sets.
    pub head: Bytes,
    /// Body.
    pub body: Bytes,
    /// What the entry knows of the caller. Appended to the message.
    #[serde(skip)]
    pub caller: CallerNote,
}

/// What the daemon at the entry of a request knows of its caller.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallerNote {
    /// Whether the entry has checked the key of the caller and replaced it by the organisation.
    /// Earlier builds pass on what the caller sent.
    pub is_identified: bool,
}

/// Result of a run.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ReplyFrame {
    /// Number of the run.
    pub number: u64,
    /// Result.
    pub result: RunResult,
    /// Load of the instance.
    pub load: LoadReport,
    /// Mean service time of the route at the instance, in microseconds.
    pub service_time_us: Option<u64>,
    /// What the backend server says of itself. Appended to the message.
    #[serde(skip)]
    pub notes: ServerNotes,
}

/// Result of a run.
#[derive(Clone, Debug, Deserialize, Serialize, Eq, PartialEq)]
pub enum RunResult {
    /// The backend server sent a response.
    Response(RunResponse),
    /// The request was not run and will not be.
    NotRun(NotRunReason),
    /// The request may have run.
    Unknown(UnknownReason),
}

/// Response of a backend server.
#[derive(Clone, Debug, Deserialize, Serialize, Eq, PartialEq)]
pub struct RunResponse {
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
    /// The admission gate has no free slot for the request.
    Busy,
    /// The daemon is shutting down.
    Leaving,
    /// The daemon cannot reach a service that the run would call.
    Cut,
    /// The backend server has another instance id or service than the request expects.
    OtherInstance,
    /// The deadline passed before the run started.
    Expired,
    /// The backend server refused the request without running it.
    Refused,
    /// The connection to the backend server failed, or the request was lost on that between the
    /// daemons.
    Unreachable,
}

/// Why it is unknown whether a request was run.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, Eq, PartialEq)]
pub enum UnknownReason {
    /// The connection broke before the response was complete.
    Broken,
    /// The response of the backend server is not valid.
    Invalid,
    /// The response did not arrive before the deadline.
    Timeout,
    /// The connection to the peer beside the backend server was lost, and the peer has no result any
    /// more.
    Lost,
}

impl ReplyFrame {
    /// Replaces a response whose status is not that of a response to a request. Daemons of earlier
    /// builds pass on any status of their backend servers.
    fn reject_invalid_response(&mut self) {
        if let RunResult::Response(response) = &self.result
            && StatusClass::new(response.status) != Ok(StatusClass::Final)
        {
            self.result = RunResult::Unknown(UnknownReason::Invalid);
        }
    }
}

impl PeerFrame {
    /// Appends the message to a buffer.
    pub fn encode(&self, buffer: &mut BytesMut) {
        let encoded = match self {
            Self::ServerLeaving(notes) => postcard::to_stdvec(&Self::Leaving)
                .and_then(|bytes| postcard::to_extend(notes, bytes)),
            Self::Suspects(records) => postcard::to_stdvec(&Self::Ping)
                .and_then(|bytes| postcard::to_extend(records.as_ref(), bytes)),
            Self::Call(call) if call.caller.is_identified => {
                postcard::to_stdvec(self).and_then(|bytes| postcard::to_extend(&call.caller, bytes))
            }
            Self::Load(load) => postcard::to_stdvec(self).and_then(|bytes| {
                let demand = load.demand.as_ref().unwrap_or(&EMPTY_DEMAND);
                let bytes = postcard::to_extend(demand, bytes)?;
                let bytes = postcard::to_extend(&LoadAddition::new(load), bytes)?;
                postcard::to_extend(&ContactAddition::new(load), bytes)
            }),
            Self::StoreUpdate(update) => {
                postcard::to_stdvec(self).and_then(|bytes| match UpdateAddition::new(update) {
                    Some(addition) => postcard::to_extend(&addition, bytes),
                    None => Ok(bytes),
                })
            }
            _ => postcard::to_stdvec(self).and_then(|bytes| match self.notes() {
                Some(notes) => postcard::to_extend(notes, bytes),
                None => Ok(bytes),
            }),
        };
        match encoded {
            Ok(bytes) => {
                buffer.extend_from_slice(&(bytes.len() as u32).to_be_bytes());
                buffer.extend_from_slice(&bytes);
            }
            Err(error) => log::error!("peer: Cannot encode a message: {error}."),
        }
    }

    /// Decodes and removes the first message of a buffer; returns `None` while it is incomplete.
    pub fn decode(buffer: &mut BytesMut) -> Result<Option<Self>, FrameError> {
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
        let (mut frame, appended) = postcard::take_from_bytes::<Self>(&bytes)?;
        if let Self::Reply(reply) = &mut frame
            && let Some(reply) = Arc::get_mut(reply)
        {
            reply.reject_invalid_response();
        }
        if appended.is_empty() {
            return Ok(Some(frame));
        }
        if let Some(notes) = frame.notes_mut() {
            *notes = postcard::from_bytes(appended)?;
            return Ok(Some(frame));
        }
        Ok(Some(match frame {
            Self::Leaving => Self::ServerLeaving(postcard::from_bytes(appended)?),
            Self::Ping => Self::Suspects(Arc::new(decode_records(appended)?)),
            Self::Call(mut call) => {
                call.caller = postcard::from_bytes(appended)?;
                Self::Call(call)
            }
            Self::Load(mut load) => {
                if let Some(load) = Arc::get_mut(&mut load) {
                    let (demand, appended) = decode_demand(appended)?;
                    load.demand = Some(demand);
                    decode_load_additions(appended, load)?;
                }
                Self::Load(load)
            }
            Self::StoreUpdate(mut update) => {
                if let Some(update) = Arc::get_mut(&mut update) {
                    postcard::from_bytes::<UpdateAddition>(appended)?.apply(update)?;
                }
                Self::StoreUpdate(update)
            }
            frame => frame,
        }))
    }

    /// Returns the notes that are appended to the message, if there are any.
    fn notes(&self) -> Option<&ServerNotes> {
        let notes = match self {
            Self::Hello(hello) => &hello.notes,
            Self::Reply(reply) => &reply.notes,
            _ => return None,
        };
        (!notes.is_empty()).then_some(notes)
    }

    /// Returns the place of the notes in a message that was just decoded.
    fn notes_mut(&mut self) -> Option<&mut ServerNotes> {
        match self {
            Self::Hello(hello) => Some(&mut hello.notes),
            Self::Reply(reply) => Arc::get_mut(reply).map(|reply| &mut reply.notes),
            _ => None,
        }
    }
}

/// Decodes the demand that is appended to a load message; returns what follows it as well.
fn decode_demand(bytes: &[u8]) -> Result<(DemandReport, &[u8]), FrameError> {
    let (report, rest) = postcard::take_from_bytes::<DemandReport>(bytes)?;
    if report.demands.len() > MAX_DEMANDS {
        return Err(FrameError::Records(report.demands.len()));
    }
    Ok((report, rest))
}

/// Completes a load message by what follows the demand. Messages of earlier builds end before it or
/// after the first addition.
fn decode_load_additions(bytes: &[u8], load: &mut LoadFrame) -> Result<(), FrameError> {
    if bytes.is_empty() {
        return Ok(());
    }
    let (addition, bytes) = postcard::take_from_bytes::<LoadAddition>(bytes)?;
    addition.apply(load);
    if !bytes.is_empty() {
        postcard::from_bytes::<ContactAddition>(bytes)?.apply(load);
    }
    Ok(())
}

fn decode_records(bytes: &[u8]) -> Result<Vec<SuspectRecord>, FrameError> {
    let records: Vec<SuspectRecord> = postcard::from_bytes(bytes)?;
    if records.len() > MAX_MESSAGE_RECORDS {
        return Err(FrameError::Records(records.len()));
    }
    Ok(records)
}

/// A message from a peer could not be decoded.
#[derive(Clone, Debug, Error)]
pub enum FrameError {
    /// The message is too large.
    #[error("the message of {0} bytes is too large")]
    Size(usize),
    /// The message has more records than any daemon sends.
    #[error("the message has {0} records")]
    Records(usize),
    /// The bytes do not encode a message.
    #[error("cannot decode the message: {0}")]
    Decode(#[from] postcard::Error),
}
