//! Profiles of a daemon as operators see them.

use crate::{
    common::*, decision::profile::profile_digest::ProfileDigest, shell::daemon::DaemonState,
};

/// Profiles of a daemon as operators see them.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ProfilesReport {
    /// Name of the instance.
    pub instance: SmolStr,
    /// One entry for the own service and for each called service.
    pub profiles: Vec<ProfileEntry>,
}

/// Profile of one service.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ProfileEntry {
    /// Name of the service.
    pub service: SmolStr,
    /// Name of the profile in force, if any.
    pub profile: Option<SmolStr>,
    /// Version in force, if any.
    pub version: Option<u64>,
    /// SHA-256 of the canonical form in force, if any.
    pub digest: Option<ProfileDigest>,
    /// Where the version came from, if known.
    pub source: Option<SmolStr>,
    /// Time since the version came in force, in milliseconds, if known.
    pub age_ms: Option<u64>,
    /// Latest version that was refused, if it is newer than the one in force.
    pub refused: Option<RefusedVersion>,
}

/// Version of a profile that was refused.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RefusedVersion {
    /// Version of the profile.
    pub version: u64,
    /// Why it was refused.
    pub reason: String,
}

impl ProfilesReport {
    /// Reads the profiles of a daemon.
    pub fn new(daemon: &DaemonState) -> Self {
        let settings = &daemon.settings;
        let services = std::iter::once(&settings.service).chain(&settings.calls);
        Self {
            instance: settings.instance.clone(),
            profiles: services.map(|service| entry(daemon, service)).collect(),
        }
    }
}

fn entry(daemon: &DaemonState, service: &SmolStr) -> ProfileEntry {
    let in_force = daemon.profiles.get(service);
    ProfileEntry {
        service: service.clone(),
        profile: in_force.as_ref().map(|found| found.profile.name.clone()),
        version: in_force.as_ref().map(|found| found.version),
        digest: in_force.as_ref().map(|found| found.profile.digest()),
        source: None,
        age_ms: None,
        refused: None,
    }
}

/// Characters of a digest in the table.
const SHORT_DIGEST_CHARS: usize = 12;

impl Display for ProfilesReport {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        writeln!(f, "instance {}\n", self.instance)?;
        writeln!(
            f,
            "{:<24} {:<24} {:>8} {:<12} {:<10} {:>9}",
            "SERVICE", "PROFILE", "VERSION", "DIGEST", "SOURCE", "AGE"
        )?;
        self.profiles.iter().try_for_each(|entry| entry.fmt(f))
    }
}

impl Display for ProfileEntry {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        let or_dash = |text: Option<String>| text.unwrap_or_else(|| "-".to_owned());
        let digest = self.digest.map(|digest| {
            let mut text = digest.to_string();
            text.truncate(SHORT_DIGEST_CHARS);
            text
        });
        writeln!(
            f,
            "{:<24} {:<24} {:>8} {:<12} {:<10} {:>9}",
            self.service,
            self.profile.as_deref().unwrap_or("-"),
            or_dash(self.version.map(|version| version.to_string())),
            or_dash(digest),
            self.source.as_deref().unwrap_or("-"),
            or_dash(self.age_ms.map(|ms| format!("{} s", ms / 1_000))),
        )?;
        match &self.refused {
            Some(refused) => writeln!(
                f,
                "  version {} is refused: {}",
                refused.version, refused.reason
            ),
            None => Ok(()),
        }
    }
}
