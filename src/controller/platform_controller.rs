//! Calls of the catalogue to the platform's configuration service.

use crate::{
    common::*,
    controller::gossip_controller::SharedNode,
    decision::{
        catalogue::{
            catalogue_message::{CatalogueAction, PlatformCall},
            version_stamp::VersionStamp,
        },
        clock::Clock,
    },
    shell::platform_client::{IndexChange, PlatformClient, PlatformError},
};

/// Max wait of a watch request at the platform. A connection that went silent is detected only when
/// the response to its watch is overdue.
pub const WATCH_WAIT: Duration = Duration::from_millis(1_500);

/// Executes the platform calls that the catalogue requests and passes the results to it.
pub struct PlatformController {
    client: PlatformClient,
    node: SharedNode,
    clock: Arc<dyn Clock>,
}

impl PlatformController {
    /// Creates the controller.
    pub fn new(client: PlatformClient, node: SharedNode, clock: Arc<dyn Clock>) -> Self {
        Self {
            client,
            node,
            clock,
        }
    }

    /// Executes a call, passes its result to the catalogue and returns the resulting actions.
    pub async fn execute(&self, call: &PlatformCall) -> Vec<CatalogueAction> {
        match self.read(call).await {
            Ok(actions) => actions,
            Err(error) => {
                log::warn!("platform: {error}");
                let now = self.clock.now();
                self.node.lock().on_platform_failed(call, now);
                Vec::new()
            }
        }
    }

    async fn read(&self, call: &PlatformCall) -> Result<Vec<CatalogueAction>, PlatformError> {
        let change = match call {
            PlatformCall::Index => self.client.index().await?,
            PlatformCall::Watch {
                after,
                is_long_poll,
            } => {
                let wait = if *is_long_poll {
                    WATCH_WAIT
                } else {
                    Duration::ZERO
                };
                self.client.watch(*after, wait).await?
            }
            PlatformCall::Value(key) => {
                let (version, bytes) = self.client.value(key).await?;
                let now = self.clock.now();
                let mut node = self.node.lock();
                return Ok(node.on_platform_value(key, version, &bytes, now));
            }
        };
        let stamps = version_stamps(&change);
        let now = self.clock.now();
        let mut node = self.node.lock();
        Ok(node.on_platform_index(call, change.revision, &stamps, now))
    }
}

/// Returns the keys of an index with their versions; entries with an invalid digest are left out.
pub fn version_stamps(change: &IndexChange) -> Vec<(SmolStr, VersionStamp)> {
    let stamps = change.keys.iter().filter_map(|entry| {
        let Ok(digest) = entry.digest.parse() else {
            log::warn!("platform: The digest of `{}` cannot be read.", entry.key);
            return None;
        };
        let version = entry.version;
        Some((entry.key.clone(), VersionStamp { version, digest }))
    });
    stamps.collect()
}
