//! Members of all services from the list, peers' observations and own signals.

use crate::{
    common::*,
    decision::{
        membership::{
            contact_log::ContactLog,
            incarnation::Incarnation,
            member_digest::MemberDigest,
            member_phase::MemberPhase,
            member_record::{MemberKey, MemberRecord, PeerObservation},
        },
        routing::upstream_set::InstanceInfo,
    },
};
use std::collections::BTreeMap;

/// Most records of a table; the oldest record of an incarnation that has left makes room.
const MAX_RECORDS: usize = 8_192;

/// Time for which an instance that no list names counts after the last news of it.
const UNLISTED_TIME: Duration = Duration::from_secs(60);

#[derive(Clone, Debug)]
struct RunState {
    info: InstanceInfo,
    phase: MemberPhase,
    learnt: Instant,
}

#[derive(Debug, Default)]
struct InstanceList {
    version: u64,
    instances: Vec<InstanceInfo>,
}

/// Instance with the phase that results from all sources.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberView {
    /// Published data; its `leaving` flag says whether the instance gets no new calls.
    pub info: InstanceInfo,
    /// Phase from all sources.
    pub phase: MemberPhase,
}

/// What an input changed in a table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MemberChange {
    /// Nothing.
    None,
    /// A phase or a list.
    Phase,
    /// A live incarnation of an instance that was known under another one.
    Restart,
}

/// Joins the list of the platform, direct observations and the instances' own signals.
///
/// Records of incarnations are joined by the later phase, lists by the higher version. Both joins
/// are commutative, associative and idempotent, so tables that have received the same inputs are
/// equal, whatever the order. A failed call is not an input: it may be the fault of this daemon.
#[derive(Debug, Default)]
pub struct MemberTable {
    runs: IndexMap<MemberKey, BTreeMap<Incarnation, RunState>>,
    lists: IndexMap<SmolStr, InstanceList>,
    contacts: ContactLog,
    resumed: Option<Instant>,
    records: usize,
}

impl MemberTable {
    /// Puts a version of the platform's list of a service in force; lower versions are ignored.
    pub fn apply_list(
        &mut self,
        service: &SmolStr,
        version: u64,
        instances: &[InstanceInfo],
    ) -> MemberChange {
        let list = self.lists.entry(service.clone()).or_default();
        if version <= list.version {
            return MemberChange::None;
        }
        list.version = version;
        list.instances = instances.to_vec();
        MemberChange::Phase
    }

    /// Records a response that this daemon received itself.
    pub fn observe(&mut self, observation: &PeerObservation) -> MemberChange {
        let change = self.merge(&observation.into(), observation.received);
        let Some((key, incarnation)) = self.contacts.record(observation) else {
            return change;
        };
        let ended = self
            .runs
            .get_mut(&key)
            .and_then(|runs| runs.get_mut(&incarnation));
        match ended {
            Some(run) if run.phase < MemberPhase::Gone => {
                run.phase = MemberPhase::Gone;
                if change == MemberChange::None {
                    MemberChange::Phase
                } else {
                    change
                }
            }
            _ => change,
        }
    }

    /// Joins a record of another daemon, or the own one.
    pub fn merge(&mut self, record: &MemberRecord, now: Instant) -> MemberChange {
        let key = record.key();
        let is_known = self
            .runs
            .get(&key)
            .is_some_and(|runs| runs.contains_key(&record.incarnation));
        if !is_known && self.records >= MAX_RECORDS && !self.evict() {
            return MemberChange::None;
        }
        let runs = self.runs.entry(key).or_default();
        let is_first = runs.is_empty();
        if let Some(run) = runs.get_mut(&record.incarnation) {
            // Addresses of an incarnation do not change; the order makes faulty records converge.
            let is_lower = Self::address_order(&record.info) < Self::address_order(&run.info);
            if is_lower {
                run.info = record.info.clone();
            }
            if record.phase <= run.phase && !is_lower {
                return MemberChange::None;
            }
            run.phase = run.phase.max(record.phase);
            return MemberChange::Phase;
        }
        let run = RunState {
            info: record.info.clone(),
            phase: record.phase,
            learnt: now,
        };
        runs.insert(record.incarnation, run);
        self.records += 1;
        if record.phase == MemberPhase::Live && !is_first {
            return MemberChange::Restart;
        }
        MemberChange::Phase
    }

    /// Records the end of a pause of the own daemon, which does not make others silent.
    pub fn forgive_pause(&mut self, now: Instant) {
        self.resumed = Some(now);
    }

    /// Returns all records, in an order that depends on their content only.
    pub fn records(&self) -> Vec<MemberRecord> {
        let mut records: Vec<_> = self
            .runs
            .iter()
            .flat_map(|(key, runs)| runs.iter().map(move |run| (key, run)))
            .map(|(key, (incarnation, run))| MemberRecord {
                service: key.service.clone(),
                info: InstanceInfo {
                    leaving: false,
                    ..run.info.clone()
                },
                incarnation: *incarnation,
                phase: run.phase,
            })
            .collect();
        records.sort_by_key(|record| (record.key(), record.incarnation));
        records
    }

    /// Returns the digest of all records; equal tables have equal digests.
    pub fn digest(&self) -> MemberDigest {
        MemberDigest::new(&self.records())
    }

    /// Returns the records that a table with the digest `other` may lack.
    pub fn delta(&self, other: &MemberDigest) -> Vec<MemberRecord> {
        let mut records = self.records();
        let own = MemberDigest::new(&records);
        records.retain(|record| own.differs(other, &record.key()));
        records
    }

    /// Returns the instances of a service.
    ///
    /// As soon as an incarnation of an instance is known, the list does not count for its phase: a
    /// list that lags can neither bring back an instance that has left nor end a live one.
    pub fn members(&self, service: &str, now: Instant) -> Vec<MemberView> {
        let listed = self
            .lists
            .get(service)
            .map_or(&[][..], |list| &list.instances);
        let unlisted = self.runs.iter().filter(|(key, _)| {
            key.service == service && listed.iter().all(|info| info.instance != key.instance)
        });
        let from_list = listed.iter().map(|info| {
            let key = MemberKey {
                service: service.into(),
                instance: info.instance.clone(),
            };
            let phase = self.known_phase(&key).unwrap_or(if info.leaving {
                MemberPhase::Leaving
            } else {
                MemberPhase::Live
            });
            (info, phase)
        });
        let from_runs = unlisted
            .flat_map(|(_, runs)| runs.iter())
            .filter(|(incarnation, run)| {
                run.phase == MemberPhase::Live && self.is_recent(**incarnation, run, now)
            })
            .map(|(_, run)| (&run.info, run.phase));
        from_list
            .chain(from_runs)
            .map(|(info, phase)| MemberView {
                info: InstanceInfo {
                    leaving: phase != MemberPhase::Live,
                    ..info.clone()
                },
                phase,
            })
            .collect()
    }

    fn known_phase(&self, key: &MemberKey) -> Option<MemberPhase> {
        let runs = self.runs.get(key)?;
        runs.values().map(|run| run.phase).min()
    }

    fn is_recent(&self, incarnation: Incarnation, run: &RunState, now: Instant) -> bool {
        let contact = self.contacts.last_contact(run.info.peer, incarnation);
        let heard = contact.max(self.resumed).max(Some(run.learnt));
        let heard = heard.unwrap_or(run.learnt);
        now.saturating_duration_since(heard) < UNLISTED_TIME
    }

    fn address_order(info: &InstanceInfo) -> (SocketAddr, SocketAddr, &str) {
        (info.peer, info.control, &info.data_centre)
    }

    /// Removes the oldest left run, of an instance that no list names if there is one.
    fn evict(&mut self) -> bool {
        let left = |is_any: bool| {
            self.runs.iter().find_map(|(key, runs)| {
                let is_listed = self.lists.get(&key.service).is_some_and(|list| {
                    list.instances
                        .iter()
                        .any(|info| info.instance == key.instance)
                });
                let (incarnation, _) = runs
                    .iter()
                    .find(|(_, run)| run.phase != MemberPhase::Live && (is_any || !is_listed))?;
                Some((key.clone(), *incarnation))
            })
        };
        let Some((key, incarnation)) = left(false).or_else(|| left(true)) else {
            return false;
        };
        if let Some(runs) = self.runs.get_mut(&key) {
            runs.remove(&incarnation);
            if runs.is_empty() {
                self.runs.shift_remove(&key);
            }
        }
        self.records -= 1;
        let addresses: std::collections::HashSet<_> = self
            .runs
            .values()
            .flat_map(|runs| runs.values().map(|run| run.info.peer))
            .collect();
        self.contacts.retain(|peer| addresses.contains(peer));
        true
    }
}
