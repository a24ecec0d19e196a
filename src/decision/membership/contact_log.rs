//! Own contacts with other daemons and the order of incarnations that follows from them.

use crate::{
    common::*,
    decision::membership::{
        incarnation::Incarnation,
        member_record::{MemberKey, PeerObservation},
    },
};

/// Run of a daemon at an address.
pub type MemberRun = (MemberKey, Incarnation);

#[derive(Debug)]
struct Contact {
    run: MemberRun,
    first_received: Instant,
    last_sent: Instant,
    last_received: Instant,
}

/// Remembers which incarnation responded at each address.
///
/// An address belongs to one process at a time. When one incarnation has responded before a
/// request was sent that another one answers, the first one has ended. Only the own clock is
/// compared, and each instant errs to the safe side, so the conclusion holds after pauses and for
/// responses that are processed late.
#[derive(Debug, Default)]
pub struct ContactLog {
    contacts: IndexMap<SocketAddr, Contact>,
}

impl ContactLog {
    /// Records an observation and returns the run that it proves to have ended, if any.
    pub fn record(&mut self, observation: &PeerObservation) -> Option<MemberRun> {
        let run = (
            MemberKey {
                service: observation.service.clone(),
                instance: observation.info.instance.clone(),
            },
            observation.incarnation,
        );
        let fresh = Contact {
            run: run.clone(),
            first_received: observation.received,
            last_sent: observation.sent,
            last_received: observation.received,
        };
        let Some(contact) = self.contacts.get_mut(&observation.info.peer) else {
            self.contacts.insert(observation.info.peer, fresh);
            return None;
        };
        if contact.run == run {
            contact.first_received = contact.first_received.min(observation.received);
            contact.last_sent = contact.last_sent.max(observation.sent);
            contact.last_received = contact.last_received.max(observation.received);
            return None;
        }
        if contact.first_received < observation.sent {
            return Some(std::mem::replace(contact, fresh).run);
        }
        if observation.received < contact.last_sent {
            return Some(run);
        }
        if contact.last_sent < observation.sent {
            *contact = fresh;
        }
        None
    }

    /// Returns when a run at an address last responded.
    pub fn last_contact(&self, peer: SocketAddr, incarnation: Incarnation) -> Option<Instant> {
        self.contacts
            .get(&peer)
            .filter(|contact| contact.run.1 == incarnation)
            .map(|contact| contact.last_received)
    }

    /// Forgets the addresses for which `is_needed` returns false.
    pub fn retain(&mut self, is_needed: impl Fn(&SocketAddr) -> bool) {
        self.contacts.retain(|peer, _| is_needed(peer));
    }
}
