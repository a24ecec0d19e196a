//! Report on the profiles of a daemon, for operators.

use crate::{
    common::*,
    decision::catalogue::catalogue_report::{CatalogueReport, KeyReport, ValueSource},
    decision::profile::profile_digest::ProfileDigest,
    shell::daemon::DaemonState,
};

/// Number of characters of a digest in the table.
const SHORT_DIGEST_CHARS: usize = 12;

/// Profiles of a daemon, as JSON or as a table.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ProfilesReport {
    /// Name of the instance.
    pub instance: SmolStr,
    /// Profiles of the daemon's service and of the called services.
    pub profiles: Vec<ProfileEntry>,
    /// Catalogue keys that the daemon uses, and how far its peers agree with it.
    pub catalogue: CatalogueReport,
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
    /// SHA-256 digest of the canonical form in force, which `check --canonical` prints.
    pub canonical_digest: Option<ProfileDigest>,
}

impl ProfilesReport {
    /// Builds the report of a daemon.
    pub fn new(daemon: &DaemonState) -> Self {
        let settings = &daemon.settings;
        let services = std::iter::once(&settings.service).chain(&settings.calls);
        Self {
            instance: settings.instance.clone(),
            profiles: services
                .map(|service| profile_entry(daemon, service))
                .collect(),
            catalogue: daemon.profiles.report(),
        }
    }
}

fn profile_entry(daemon: &DaemonState, service: &SmolStr) -> ProfileEntry {
    let in_force = daemon.profiles.get(service);
    let profile = in_force.as_ref().map(|current| &current.profile);
    ProfileEntry {
        service: service.clone(),
        profile: profile.map(|profile| profile.name.clone()),
        version: in_force.as_ref().map(|current| current.version),
        canonical_digest: profile.map(|profile| profile.digest()),
    }
}

impl Display for ProfilesReport {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        writeln!(f, "instance {}\n", self.instance)?;
        writeln!(
            f,
            "{:<24} {:<24} {:>8}  CANONICAL DIGEST",
            "SERVICE", "PROFILE", "VERSION"
        )?;
        for entry in &self.profiles {
            writeln!(
                f,
                "{:<24} {:<24} {:>8}  {}",
                entry.service,
                or_dash(entry.profile.as_ref()),
                or_dash(entry.version),
                short_digest(entry.canonical_digest.map(|digest| digest.to_string())),
            )?;
        }
        write_catalogue(f, &self.catalogue)
    }
}

fn write_catalogue(f: &mut Formatter, catalogue: &CatalogueReport) -> fmt::Result {
    if !catalogue.keys.is_empty() {
        writeln!(
            f,
            "\n{:<32} {:>8} {:>8}  {:<12}  {:<21} {:>9}",
            "KEY", "VERSION", "LATEST", "DIGEST", "SOURCE", "AGE"
        )?;
    }
    catalogue
        .keys
        .iter()
        .try_for_each(|key| write_key(f, key))?;
    writeln!(
        f,
        "\npeers       {} of {} in agreement",
        catalogue.peers_in_agreement, catalogue.peers_heard
    )?;
    let is_reader = if catalogue.is_reader { "yes" } else { "no" };
    writeln!(f, "reader      {is_reader}")?;
    writeln!(
        f,
        "index       {} keys, {} bytes of values",
        catalogue.index_keys, catalogue.value_bytes
    )?;
    writeln!(f, "conflicts   {}", catalogue.conflicts)
}

fn write_key(f: &mut Formatter, key: &KeyReport) -> fmt::Result {
    let source = key.source.map(|source| match source {
        ValueSource::Platform => "platform".to_owned(),
        ValueSource::Peer(address) => address.to_string(),
    });
    writeln!(
        f,
        "{:<32} {:>8} {:>8}  {:<12}  {:<21} {:>9}",
        key.key,
        or_dash(key.version),
        or_dash(key.latest_version),
        short_digest(key.digest.as_ref().map(ToString::to_string)),
        or_dash(source),
        or_dash(key.age_s.map(|age| format!("{age} s"))),
    )?;
    match &key.refusal {
        Some(refusal) => {
            let (version, reason) = (refusal.version, &refusal.reason);
            writeln!(f, "  version {version} is refused: {reason}")
        }
        None => Ok(()),
    }
}

fn or_dash(value: Option<impl Display>) -> String {
    value.map_or_else(|| "-".to_owned(), |value| value.to_string())
}

fn short_digest(digest: Option<String>) -> String {
    or_dash(digest.map(|digest| digest.chars().take(SHORT_DIGEST_CHARS).collect::<String>()))
}
