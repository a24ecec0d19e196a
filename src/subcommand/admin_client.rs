//! Client for the admin listener of a daemon.

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

/// Time limit for connecting and receiving the complete response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Daemon to query.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub(super) enum AdminTarget {
    /// Address of an admin listener.
    Address {
        /// Address of the daemon's admin listener
        #[bpaf(long("admin"), argument("ADDRESS"))]
        admin: SocketAddr,
    },
    /// Settings that contain the address of the admin listener.
    Settings {
        /// Settings file of the daemon, which contains the address of its admin listener
        #[bpaf(short('s'), long("settings"), argument("FILE"))]
        settings: PathBuf,
    },
}

/// A daemon sent no usable response.
#[derive(Debug, Error)]
pub(super) enum AdminError {
    /// The daemon cannot be reached or does not respond.
    #[error("The daemon at {0} did not respond.")]
    Unreachable(SocketAddr),
    /// The daemon rejected the query.
    #[error("The daemon at {address} rejected the query: {message}")]
    Rejected {
        /// Address of the admin listener.
        address: SocketAddr,
        /// Error message from the daemon.
        message: String,
    },
    /// The daemon responded with an error status.
    #[error("The daemon at {address} responded with status {status}.")]
    Status {
        /// Address of the admin listener.
        address: SocketAddr,
        /// Status of the response.
        status: StatusCode,
    },
    /// The response cannot be decoded.
    #[error("The response of the daemon at {0} cannot be decoded.")]
    Malformed(SocketAddr),
}

impl AdminTarget {
    /// Fetches a report and prints it as a table or as JSON.
    pub(super) fn print_report<T>(&self, path: &str, is_json: bool) -> Result<(), SubcommandError>
    where
        T: Display + Serialize + serde::de::DeserializeOwned,
    {
        let address = self.address()?;
        let runtime = runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let bytes = runtime.block_on(fetch(address, path))?;
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

async fn fetch(address: SocketAddr, path: &str) -> Result<Bytes, AdminError> {
    let request = Request::get(format!("http://{address}{path}"))
        .header(HOST, address.to_string())
        .body(Body::default())
        .map_err(|_| AdminError::Malformed(address))?;
    let client = HttpClient::new();
    let exchange = async {
        let response = client
            .send(address, request)
            .await
            .map_err(|_| AdminError::Unreachable(address))?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
            .collect()
            .await
            .map_err(|_| AdminError::Malformed(address))?
            .to_bytes();
        Ok((status, body))
    };
    let (status, body) = tokio::time::timeout(RESPONSE_TIMEOUT, exchange)
        .await
        .map_err(|_| AdminError::Unreachable(address))??;
    if status == StatusCode::OK {
        return Ok(body);
    }
    match serde_json::from_slice::<ErrorReport>(&body) {
        Ok(report) => Err(AdminError::Rejected {
            address,
            message: report.error,
        }),
        Err(_) => Err(AdminError::Status { address, status }),
    }
}
