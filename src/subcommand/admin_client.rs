//! Client of a daemon's admin listener.

use super::SubcommandError;
use crate::{
    common::*,
    settings::DaemonSettings,
    shell::{admin_server::ErrorReport, http_client::HttpClient},
};
use bpaf::Bpaf;
use bytes::Bytes;
use gotham::helpers::http::Body;
use http::{Request, StatusCode, header::HOST};
use http_body_util::{BodyExt, Limited};
use std::path::PathBuf;
use tokio::runtime;

/// Longest time for an answer of a daemon.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// Largest answer of a daemon, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Daemon that is asked.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub(super) enum AdminTarget {
    /// Address of an admin listener.
    Address {
        /// Address of the daemon's admin listener
        #[bpaf(long("admin"), argument("ADDRESS"))]
        admin: SocketAddr,
    },
    /// Settings that name the admin listener.
    Settings {
        /// Settings file of the daemon, which names its admin listener
        #[bpaf(short('s'), long("settings"), argument("FILE"))]
        settings: PathBuf,
    },
}

/// A daemon gave no usable answer.
#[derive(Debug, Error)]
pub(super) enum AdminError {
    /// The daemon cannot be reached or does not answer.
    #[error("The daemon at {0} did not answer.")]
    Unreachable(SocketAddr),
    /// The daemon refused the question.
    #[error("The daemon at {address} refused the question: {message}")]
    Refused {
        /// Address of the admin listener.
        address: SocketAddr,
        /// Message of the daemon.
        message: String,
    },
    /// The daemon answered with an error status.
    #[error("The daemon at {address} answered with status {status}.")]
    Status {
        /// Address of the admin listener.
        address: SocketAddr,
        /// Status of the answer.
        status: StatusCode,
    },
    /// The answer cannot be read.
    #[error("The answer of the daemon at {0} cannot be read.")]
    Malformed(SocketAddr),
}

impl AdminTarget {
    /// Asks for a report, and prints it as a table or as JSON.
    pub(super) fn show<T>(&self, path: &str, is_json: bool) -> Result<(), SubcommandError>
    where
        T: Display + Serialize + serde::de::DeserializeOwned,
    {
        let address = self.address()?;
        let runtime = runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let bytes = runtime.block_on(ask(address, path))?;
        let report: T =
            serde_json::from_slice(&bytes).map_err(|_| AdminError::Malformed(address))?;
        if is_json {
            let text = serde_json::to_string_pretty(&report)
                .map_err(|_| AdminError::Malformed(address))?;
            return super::print(&format_args!("{text}\n"));
        }
        super::print(&report)
    }

    fn address(&self) -> Result<SocketAddr, SubcommandError> {
        match self {
            Self::Address { admin } => Ok(*admin),
            Self::Settings { settings } => Ok(DaemonSettings::load(settings)?.admin),
        }
    }
}

async fn ask(address: SocketAddr, path: &str) -> Result<Bytes, AdminError> {
    let request = Request::get(format!("http://{address}{path}"))
        .header(HOST, address.to_string())
        .body(Body::default())
        .map_err(|_| AdminError::Malformed(address))?;
    let client = HttpClient::new();
    let answer = async {
        let response = client
            .send(address, request)
            .await
            .map_err(|_| AdminError::Unreachable(address))?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES)
            .collect()
            .await
            .map_err(|_| AdminError::Malformed(address))?
            .to_bytes();
        Ok((status, body))
    };
    let (status, body) = tokio::time::timeout(ANSWER_TIMEOUT, answer)
        .await
        .map_err(|_| AdminError::Unreachable(address))??;
    if status == StatusCode::OK {
        return Ok(body);
    }
    match serde_json::from_slice::<ErrorReport>(&body) {
        Ok(report) => Err(AdminError::Refused {
            address,
            message: report.error,
        }),
        Err(_) => Err(AdminError::Status { address, status }),
    }
}
