//! Executes the actions that the catalogue requests.

use super::control_client::ControlClient;
use crate::{
    common::*,
    controller::{gossip_controller::GossipController, platform_controller::PlatformController},
    decision::catalogue::{
        catalogue_message::{AppliedValue, CatalogueAction},
        catalogue_node::CATALOGUE_TICK,
    },
};
use tokio::time::MissedTickBehavior;

/// Callback for each value that comes into force.
pub type ApplyValue = Box<dyn Fn(&AppliedValue) + Send + Sync>;

/// Executes catalogue actions with the control client and the platform client.
pub struct CatalogueDriver {
    /// Catalogue of the daemon.
    pub gossip: Arc<GossipController>,
    /// Executes calls to the platform's configuration service.
    pub platform: PlatformController,
    /// Client for the control listeners of other daemons.
    pub client: ControlClient,
    /// Puts a value in force.
    pub apply: ApplyValue,
}

impl CatalogueDriver {
    /// Runs until the future is dropped.
    pub async fn run(self: Arc<Self>) {
        self.dispatch(self.gossip.start());
        let mut interval = tokio::time::interval(CATALOGUE_TICK);
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            self.dispatch(self.gossip.tick());
        }
    }

    fn dispatch(self: &Arc<Self>, actions: Vec<CatalogueAction>) {
        for action in actions {
            match action {
                CatalogueAction::Apply(applied) => {
                    log::info!(
                        "gossip: Version {} of `{}` is in force.",
                        applied.stamp.version,
                        applied.key
                    );
                    (self.apply)(&applied);
                }
                CatalogueAction::Refuse {
                    key,
                    version,
                    reason,
                } => log::warn!("gossip: Version {version} of `{key}` is refused: {reason}"),
                request => {
                    let driver = Arc::clone(self);
                    tokio::spawn(async move {
                        let next = driver.execute(request).await;
                        driver.dispatch(next);
                    });
                }
            }
        }
    }

    async fn execute(&self, action: CatalogueAction) -> Vec<CatalogueAction> {
        match action {
            CatalogueAction::Exchange(peer, digest) => {
                let delta = self.client.exchange(peer, digest).await;
                if let Err(error) = &delta {
                    log::debug!("gossip: The exchange with {peer} failed: {error}");
                }
                self.gossip.on_exchange_result(peer, delta.ok().as_ref())
            }
            CatalogueAction::Fetch(peer, key, stamp) => {
                let value = self.client.fetch(peer, &key, stamp).await;
                if let Err(error) = &value {
                    log::debug!("gossip: Fetching `{key}` from {peer} failed: {error}");
                }
                let value = value.ok();
                self.gossip
                    .on_fetch_result(peer, &key, stamp, value.as_ref())
            }
            CatalogueAction::Platform(call) => {
                let mut actions = self.platform.execute(&call).await;
                // The response may have made values due that a starting daemon waits for.
                actions.extend(self.gossip.tick());
                actions
            }
            CatalogueAction::Apply(_) | CatalogueAction::Refuse { .. } => Vec::new(),
        }
    }
}
