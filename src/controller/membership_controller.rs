//! Members of all services; updates the upstreams when they change.

use crate::{
    common::*,
    controller::upstream_controller::UpstreamController,
    decision::{
        membership::{
            member_digest::MemberDigest,
            member_phase::MemberPhase,
            member_record::{MemberRecord, PeerResponse},
            member_table::{MemberChange, MemberTable},
        },
        routing::upstream_set::InstanceInfo,
    },
};

/// Member table of the daemon. Each change is applied to the upstreams under the same lock.
#[derive(Debug)]
pub struct MembershipController {
    table: Mutex<MemberTable>,
    own: MemberRecord,
    upstreams: Arc<UpstreamController>,
}

impl MembershipController {
    /// Creates a table that contains the record of this daemon only.
    pub fn new(own: MemberRecord, upstreams: Arc<UpstreamController>, now: Instant) -> Self {
        let mut table = MemberTable::default();
        table.merge(&own, now);
        Self {
            table: Mutex::new(table),
            own,
            upstreams,
        }
    }

    /// Puts a version of the platform's instance list of a service in force.
    pub fn apply_list(
        &self,
        service: &SmolStr,
        version: u64,
        instances: &[InstanceInfo],
        now: Instant,
    ) {
        let mut table = self.table.lock();
        let change = table.apply_list(service, version, instances);
        self.update_upstreams(&table, service, change, None, now);
    }

    /// Records a response that this daemon received directly.
    pub fn record_response(&self, response: &PeerResponse) {
        let mut table = self.table.lock();
        let change = table.record_response(response);
        let peer = response.info.peer;
        let now = response.received;
        self.update_upstreams(&table, &response.service, change, Some(peer), now);
    }

    /// Merges records received from a peer.
    pub fn merge(&self, records: &[MemberRecord], now: Instant) {
        let mut table = self.table.lock();
        for record in records {
            let change = table.merge(record, now);
            let peer = record.info.peer;
            self.update_upstreams(&table, &record.service, change, Some(peer), now);
        }
    }

    /// Marks this daemon as leaving.
    pub fn leave(&self, now: Instant) {
        let record = MemberRecord {
            phase: MemberPhase::Leaving,
            ..self.own.clone()
        };
        self.table.lock().merge(&record, now);
    }

    /// Restarts the peer timeouts and resets the upstreams after a pause of this process, during
    /// which it received no messages.
    pub fn reset_after_pause(&self, now: Instant) {
        self.table.lock().reset_after_pause(now);
        self.upstreams.reset_after_pause(now);
    }

    /// Returns the digest of all records.
    pub fn digest(&self) -> MemberDigest {
        self.table.lock().digest()
    }

    /// Returns the records for a daemon whose table has `digest`; empty when the tables agree.
    pub fn delta(&self, digest: &MemberDigest) -> Vec<MemberRecord> {
        self.table.lock().delta(digest)
    }

    /// Updates the upstreams of a service after changes that depend on the time alone.
    pub fn tick(&self, service: &str, now: Instant) {
        let table = self.table.lock();
        self.update_upstreams(&table, service, MemberChange::Phase, None, now);
    }

    fn update_upstreams(
        &self,
        table: &MemberTable,
        service: &str,
        change: MemberChange,
        peer: Option<SocketAddr>,
        now: Instant,
    ) {
        if change == MemberChange::None || !self.upstreams.is_declared(service) {
            return;
        }
        let members: Vec<_> = table
            .members(service, now)
            .into_iter()
            .map(|view| view.info)
            .collect();
        let restarted = peer.filter(|_| change == MemberChange::Restart);
        self.upstreams
            .apply_members(service, &members, restarted, now);
    }
}
