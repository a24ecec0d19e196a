//! Profiles in force for the own service and the called services.

use crate::{
    common::*,
    controller::catalogue_report::CatalogueReport,
    decision::{
        profile::service_profile::{ProfileError, ServiceProfile},
        routing::upstream_set::InstanceInfo,
    },
    shell::platform_client::{PlatformClient, PlatformError},
};

/// Profile that a service runs under.
#[derive(Clone, Debug)]
pub struct ProfileInForce {
    /// Version of the profile on the platform.
    pub version: u64,
    /// Profile as published.
    pub profile: Arc<ServiceProfile>,
}

/// A catalogue value cannot be put in force.
#[derive(Debug, Error)]
pub enum ApplyError {
    /// The platform gave no usable answer.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// The profile is refused.
    #[error(transparent)]
    Profile(#[from] ProfileError),
    /// The value is not valid UTF-8.
    #[error("The value of `{0}` is not valid UTF-8.")]
    Encoding(SmolStr),
    /// The value is not of the published form.
    #[error("The value of `{key}` cannot be read: {source}")]
    Value {
        /// Catalogue key.
        key: SmolStr,
        /// Error with line and key.
        source: toml::de::Error,
    },
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ServiceSelection {
    profile: SmolStr,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct InstanceList {
    #[serde(default)]
    instances: Vec<InstanceInfo>,
}

/// Holds the profiles in force, by service.
#[derive(Debug, Default)]
pub struct ProfileController {
    profiles: Mutex<IndexMap<SmolStr, ProfileInForce>>,
}

impl ProfileController {
    /// Returns the profile of a service.
    pub fn get(&self, service: &str) -> Option<ProfileInForce> {
        self.profiles.lock().get(service).cloned()
    }

    /// Returns the state of the catalogue for operators.
    pub fn report(&self) -> CatalogueReport {
        CatalogueReport::default()
    }

    /// Reads the selected profile of a service; a lower version than the one in force is ignored.
    pub async fn refresh(
        &self,
        platform: &PlatformClient,
        service: &SmolStr,
    ) -> Result<(), ApplyError> {
        let key = format!("services/{service}");
        let selection: ServiceSelection = read(platform, &key).await?.1;
        let key = format!("profiles/{}", selection.profile);
        let (version, text) = read_text(platform, &key).await?;
        let profile = Arc::new(text.parse::<ServiceProfile>()?);
        let mut profiles = self.profiles.lock();
        let is_newer = profiles.get(service).is_none_or(|current| {
            current.profile.name != profile.name || current.version < version
        });
        if is_newer {
            profiles.insert(service.clone(), ProfileInForce { version, profile });
        }
        Ok(())
    }
}

/// Reads the list of instances of a service.
pub async fn read_instances(
    platform: &PlatformClient,
    service: &str,
) -> Result<Vec<InstanceInfo>, ApplyError> {
    let key = format!("instances/{service}");
    let (_, list): (_, InstanceList) = read(platform, &key).await?;
    Ok(list.instances)
}

async fn read<T: serde::de::DeserializeOwned>(
    platform: &PlatformClient,
    key: &str,
) -> Result<(u64, T), ApplyError> {
    let (version, text) = read_text(platform, key).await?;
    let value = toml::from_str(&text).map_err(|source| ApplyError::Value {
        key: key.into(),
        source,
    })?;
    Ok((version, value))
}

async fn read_text(platform: &PlatformClient, key: &str) -> Result<(u64, String), ApplyError> {
    let (version, bytes) = platform.value(key).await?;
    let text = String::from_utf8(bytes.to_vec()).map_err(|_| ApplyError::Encoding(key.into()))?;
    Ok((version, text))
}
