//! Validation of catalogue values, the same on all daemons.

use crate::{
    common::*,
    decision::{
        profile::service_profile::{ProfileError, ServiceProfile},
        routing::upstream_set::InstanceInfo,
    },
};

/// Maximum size of a value, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// Validated value of a catalogue key.
#[derive(Clone, Debug)]
pub enum CatalogueValue {
    /// Value of `profiles/<name>`.
    Profile(Arc<ServiceProfile>),
    /// Value of `services/<service>`: the name of the selected profile.
    Selection(SmolStr),
    /// Value of `instances/<service>`.
    Instances(Arc<Vec<InstanceInfo>>),
}

/// Reason why a catalogue value is refused.
#[derive(Debug, Error)]
pub enum ValueError {
    /// The value is too large.
    #[error("The value has {0} bytes, which is more than {MAX_VALUE_BYTES}.")]
    Size(usize),
    /// The value is not valid UTF-8.
    #[error("The value is not valid UTF-8.")]
    Encoding,
    /// The profile is refused.
    #[error(transparent)]
    Profile(#[from] ProfileError),
    /// The value is not valid TOML, or a key is unknown, missing or of the wrong type.
    #[error("The value cannot be decoded: {0}")]
    Syntax(#[from] toml::de::Error),
    /// The name in the profile differs from that in its key.
    #[error("The profile is named `{0}`, which is not the name in its key.")]
    Name(SmolStr),
    /// The prefix of the key is unknown.
    #[error("The key `{0}` has an unknown prefix.")]
    Kind(SmolStr),
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

impl CatalogueValue {
    /// Decodes and validates the value of a key.
    pub fn parse(key: &str, bytes: &[u8]) -> Result<Self, ValueError> {
        if bytes.len() > MAX_VALUE_BYTES {
            return Err(ValueError::Size(bytes.len()));
        }
        let text = std::str::from_utf8(bytes).map_err(|_| ValueError::Encoding)?;
        match key.split_once('/') {
            Some(("profiles", name)) => {
                let profile: ServiceProfile = text.parse()?;
                if profile.name != name {
                    return Err(ValueError::Name(profile.name));
                }
                Ok(Self::Profile(Arc::new(profile)))
            }
            Some(("services", _)) => {
                let selection: ServiceSelection = toml::from_str(text)?;
                Ok(Self::Selection(selection.profile))
            }
            Some(("instances", _)) => {
                let list: InstanceList = toml::from_str(text)?;
                Ok(Self::Instances(Arc::new(list.instances)))
            }
            _ => Err(ValueError::Kind(key.into())),
        }
    }
}
