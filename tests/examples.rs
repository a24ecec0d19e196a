//! Validity of the example sets.

use skylarkstream::{
    decision::{profile::service_profile::ServiceProfile, routing::upstream_set::InstanceInfo},
    settings::DaemonSettings,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    path::{Path, PathBuf},
};

#[derive(serde::Deserialize)]
struct InstanceList {
    instances: Vec<InstanceInfo>,
}

fn files(set: &str, kind: &str) -> Vec<PathBuf> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("examples")
        .join(set)
        .join(kind);
    let entries = std::fs::read_dir(path).into_iter().flatten().flatten();
    entries.map(|entry| entry.path()).collect()
}

fn stem(path: &Path) -> String {
    path.file_stem()
        .unwrap_or_default()
        .to_string_lossy()
        .into()
}

fn profiles(set: &str) -> BTreeMap<String, ServiceProfile> {
    let read =
        |path: &PathBuf| match ServiceProfile::from_bytes(&std::fs::read(path).unwrap_or_default())
        {
            Ok(profile) => (stem(path), profile),
            Err(error) => panic!("{}: {error}", path.display()),
        };
    files(set, "profiles").iter().map(read).collect()
}

/// Guards against example profiles that a daemon rejects, and against sizes that differ from
/// section 2 of the design page.
#[test]
fn example_sets_are_valid_and_of_the_stated_size() {
    // Example set, service, number of instances and slots of each instance.
    let sizes = [
        ("dispatch-mesh", "gate-status", 4, 80),
        ("dispatch-mesh", "tug-dispatch", 3, 100),
        ("dispatch-mesh", "documents", 3, 100),
        ("dispatch-mesh", "crew-roster", 3, 25),
        ("trips-platform", "catalogue", 5, 70),
        ("trips-platform", "bookings", 4, 90),
        ("trips-platform", "documents", 3, 110),
        ("trips-platform", "trip-tracking", 3, 35),
    ];
    for (set, service, instances, slots) in sizes {
        let profiles = profiles(set);
        let profile = &profiles[service];
        assert_eq!(profile.name, service);
        assert_eq!(profile.admission.max_concurrency, slots);
        let lists = files(set, "instances");
        let list = lists.iter().find(|path| stem(path) == service).unwrap();
        let list: InstanceList = toml::from_str(&std::fs::read_to_string(list).unwrap()).unwrap();
        assert_eq!(list.instances.len(), instances);
        let data_centres: BTreeSet<_> = list
            .instances
            .iter()
            .map(|instance| &instance.data_centre)
            .collect();
        assert_eq!(data_centres.len(), 3);
    }
}

/// Guards against example settings that a daemon rejects or that call a service without a profile,
/// and against class levels that differ between profiles, which would change the order of shedding
/// along a call chain.
#[test]
fn example_settings_are_valid_and_agree() {
    for set in ["dispatch-mesh", "trips-platform"] {
        let profiles = profiles(set);
        let first = profiles.values().next().unwrap();
        assert!(
            profiles
                .values()
                .all(|profile| profile.classes == first.classes)
        );
        let paths = files(set, "settings");
        assert_eq!(paths.len(), profiles.len());
        for path in paths {
            let settings = DaemonSettings::load(&path).unwrap();
            let mut services = settings.calls.iter().chain([&settings.service]);
            assert!(services.all(|service| profiles.contains_key(service.as_str())));
        }
    }
}
