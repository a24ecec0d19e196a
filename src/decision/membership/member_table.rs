//! Members of all services, merged from instance lists, records of peers and direct responses.

use crate::{
    common::*,
    decision::{
        membership::{
            contact_log::ContactLog,
            incarnation::Incarnation,
            member_digest::MemberDigest,
            member_phase::MemberPhase,
            member_record::{MemberKey, MemberRecord, PeerResponse},
        },
        routing::upstream_set::InstanceInfo,
    },
};
use std::collections::BTreeMap;

/// Maximum number of records of a table. In a full table, a new record replaces the oldest one of
/// an incarnation that is no longer live.
const MAX_RECORDS: usize = 8_192;

/// Peer timeout of instances that are in no list: without a message for this time, they are no
/// longer returned as members.
const UNLISTED_PEER_TIMEOUT: Duration = Duration::from_secs(60);

#[derive(Clone, Debug)]
struct IncarnationState {
    info: InstanceInfo,
    phase: MemberPhase,
    first_received: Instant,
}

#[derive(Debug, Default)]
struct InstanceList {
    version: u64,
    instances: Vec<InstanceInfo>,
}

/// Instance with its phase according to all sources.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberView {
    /// Published data; its `leaving` flag is true if the instance gets no new calls.
    pub info: InstanceInfo,
    /// Phase according to all sources.
    pub phase: MemberPhase,
}

/// Change of a table by an input.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MemberChange {
    /// No change.
    None,
    /// A phase or a list changed.
    Phase,
    /// A new live incarnation was added to an instance that already had one.
    Restart,
}

/// Merges the instance lists of the platform, records of peers and direct responses of instances.
///
/// Records of one incarnation are merged to the later phase, lists to the higher version. Both
/// merges are commutative, associative and idempotent, so tables that have received the same inputs
/// in any order are equal. Failed calls are not an input, since this daemon may have caused them.
#[derive(Debug, Default)]
pub struct MemberTable {
    incarnations: IndexMap<MemberKey, BTreeMap<Incarnation, IncarnationState>>,
    lists: IndexMap<SmolStr, InstanceList>,
    contacts: ContactLog,
    pause_end: Option<Instant>,
    record_count: usize,
}

impl MemberTable {
    /// Puts a version of the platform's instance list of a service in force; versions that are not
    /// higher than the current one are ignored.
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

    /// Records a response that this daemon received directly.
    pub fn record_response(&mut self, response: &PeerResponse) -> MemberChange {
        let change = self.merge(&response.into(), response.received);
        let Some((key, incarnation)) = self.contacts.record(response) else {
            return change;
        };
        let ended = self
            .incarnations
            .get_mut(&key)
            .and_then(|incarnations| incarnations.get_mut(&incarnation));
        match ended {
            Some(state) if state.phase < MemberPhase::Gone => {
                state.phase = MemberPhase::Gone;
                if change == MemberChange::None {
                    MemberChange::Phase
                } else {
                    change
                }
            }
            _ => change,
        }
    }

    /// Merges a record of another daemon or of this one.
    pub fn merge(&mut self, record: &MemberRecord, now: Instant) -> MemberChange {
        let key = record.key();
        let is_known = self
            .incarnations
            .get(&key)
            .is_some_and(|incarnations| incarnations.contains_key(&record.incarnation));
        if !is_known && self.record_count >= MAX_RECORDS && !self.evict() {
            return MemberChange::None;
        }
        let incarnations = self.incarnations.entry(key).or_default();
        let is_first = incarnations.is_empty();
        if let Some(state) = incarnations.get_mut(&record.incarnation) {
            // The addresses of an incarnation do not change. If faulty records differ in them, all
            // tables converge to the lowest ones.
            let is_lower = Self::address_order(&record.info) < Self::address_order(&state.info);
            if is_lower {
                state.info = record.info.clone();
            }
            if record.phase <= state.phase && !is_lower {
                return MemberChange::None;
            }
            state.phase = state.phase.max(record.phase);
            return MemberChange::Phase;
        }
        let state = IncarnationState {
            info: record.info.clone(),
            phase: record.phase,
            first_received: now,
        };
        incarnations.insert(record.incarnation, state);
        self.record_count += 1;
        if record.phase == MemberPhase::Live && !is_first {
            return MemberChange::Restart;
        }
        MemberChange::Phase
    }

    /// Restarts the peer timeouts after a pause of this daemon, during which no messages of other
    /// daemons could be received.
    pub fn reset_after_pause(&mut self, now: Instant) {
        self.pause_end = Some(now);
    }

    /// Returns all records, in an order that depends only on their content.
    pub fn records(&self) -> Vec<MemberRecord> {
        let mut records: Vec<_> = self
            .incarnations
            .iter()
            .flat_map(|(key, incarnations)| incarnations.iter().map(move |entry| (key, entry)))
            .map(|(key, (incarnation, state))| MemberRecord {
                service: key.service.clone(),
                info: InstanceInfo {
                    leaving: false,
                    ..state.info.clone()
                },
                incarnation: *incarnation,
                phase: state.phase,
            })
            .collect();
        records.sort_by_key(|record| (record.key(), record.incarnation));
        records
    }

    /// Returns the digest of all records; equal tables have equal digests.
    pub fn digest(&self) -> MemberDigest {
        MemberDigest::new(&self.records())
    }

    /// Returns the records that a table with the digest `other` may not have.
    pub fn delta(&self, other: &MemberDigest) -> Vec<MemberRecord> {
        let mut records = self.records();
        let own = MemberDigest::new(&records);
        records.retain(|record| own.differs(other, &record.key()));
        records
    }

    /// Returns the instances of a service.
    ///
    /// As soon as an incarnation of an instance is recorded, the list no longer affects the phase
    /// of the instance: an outdated list can neither restore an instance that has left nor remove a
    /// live one.
    pub fn members(&self, service: &str, now: Instant) -> Vec<MemberView> {
        let listed = self
            .lists
            .get(service)
            .map_or(&[][..], |list| &list.instances);
        let unlisted = self.incarnations.iter().filter(|(key, _)| {
            key.service == service && listed.iter().all(|info| info.instance != key.instance)
        });
        let from_list = listed.iter().map(|info| {
            let key = MemberKey {
                service: service.into(),
                instance: info.instance.clone(),
            };
            let phase = self.recorded_phase(&key).unwrap_or(if info.leaving {
                MemberPhase::Leaving
            } else {
                MemberPhase::Live
            });
            (info, phase)
        });
        let from_records = unlisted
            .flat_map(|(_, incarnations)| incarnations.iter())
            .filter(|(incarnation, state)| {
                state.phase == MemberPhase::Live && self.is_recent(**incarnation, state, now)
            })
            .map(|(_, state)| (&state.info, state.phase));
        from_list
            .chain(from_records)
            .map(|(info, phase)| MemberView {
                info: InstanceInfo {
                    leaving: phase != MemberPhase::Live,
                    ..info.clone()
                },
                phase,
            })
            .collect()
    }

    fn recorded_phase(&self, key: &MemberKey) -> Option<MemberPhase> {
        let incarnations = self.incarnations.get(key)?;
        incarnations.values().map(|state| state.phase).min()
    }

    fn is_recent(&self, incarnation: Incarnation, state: &IncarnationState, now: Instant) -> bool {
        let last_received = self.contacts.last_received(state.info.peer, incarnation);
        let last_seen = last_received
            .max(self.pause_end)
            .max(Some(state.first_received));
        let last_seen = last_seen.unwrap_or(state.first_received);
        now.saturating_duration_since(last_seen) < UNLISTED_PEER_TIMEOUT
    }

    fn address_order(info: &InstanceInfo) -> (SocketAddr, SocketAddr, &str) {
        (info.peer, info.control, &info.data_centre)
    }

    /// Removes the record of an incarnation that is no longer live: the one added first, preferably
    /// of an instance that is in no list. Returns false if there is none.
    fn evict(&mut self) -> bool {
        let find_departed = |all: bool| {
            self.incarnations.iter().find_map(|(key, incarnations)| {
                let is_listed = self.lists.get(&key.service).is_some_and(|list| {
                    list.instances
                        .iter()
                        .any(|info| info.instance == key.instance)
                });
                let (incarnation, _) = incarnations
                    .iter()
                    .find(|(_, state)| state.phase != MemberPhase::Live && (all || !is_listed))?;
                Some((key.clone(), *incarnation))
            })
        };
        let Some((key, incarnation)) = find_departed(false).or_else(|| find_departed(true)) else {
            return false;
        };
        if let Some(incarnations) = self.incarnations.get_mut(&key) {
            incarnations.remove(&incarnation);
            if incarnations.is_empty() {
                self.incarnations.shift_remove(&key);
            }
        }
        self.record_count -= 1;
        let addresses: std::collections::HashSet<_> = self
            .incarnations
            .values()
            .flat_map(|incarnations| incarnations.values().map(|state| state.info.peer))
            .collect();
        self.contacts.retain(|peer| addresses.contains(peer));
        true
    }
}
