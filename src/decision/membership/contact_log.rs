//! Responses received directly from other daemons, and the order of incarnations that follows from
//! them.

use crate::{
    common::*,
    decision::membership::{
        incarnation::Incarnation,
        member_record::{MemberKey, PeerResponse},
    },
};

/// Identifies one incarnation of an instance.
pub type MemberIncarnation = (MemberKey, Incarnation);

#[derive(Debug)]
struct Contact {
    member: MemberIncarnation,
    first_received: Instant,
    last_sent: Instant,
    last_received: Instant,
}

/// Records which incarnation responded at each address.
///
/// An address belongs to one process at a time. If one incarnation responded before a request was
/// sent, and another incarnation responded to this request, the first one has ended. Only instants
/// of this daemon's clock are compared: the one before sending and the one after receiving. The
/// conclusion therefore also holds after pauses and for responses that are processed late.
#[derive(Debug, Default)]
pub struct ContactLog {
    contacts: IndexMap<SocketAddr, Contact>,
}

impl ContactLog {
    /// Records a response and returns the incarnation that has ended according to it, if any.
    pub fn record(&mut self, response: &PeerResponse) -> Option<MemberIncarnation> {
        let member = (
            MemberKey {
                service: response.service.clone(),
                instance: response.info.instance.clone(),
            },
            response.incarnation,
        );
        let new_contact = Contact {
            member: member.clone(),
            first_received: response.received,
            last_sent: response.sent,
            last_received: response.received,
        };
        let Some(contact) = self.contacts.get_mut(&response.info.peer) else {
            self.contacts.insert(response.info.peer, new_contact);
            return None;
        };
        if contact.member == member {
            contact.first_received = contact.first_received.min(response.received);
            contact.last_sent = contact.last_sent.max(response.sent);
            contact.last_received = contact.last_received.max(response.received);
            return None;
        }
        if contact.first_received < response.sent {
            return Some(std::mem::replace(contact, new_contact).member);
        }
        if response.received < contact.last_sent {
            return Some(member);
        }
        if contact.last_sent < response.sent {
            *contact = new_contact;
        }
        None
    }

    /// Returns when a response of an incarnation at an address was last received.
    pub fn last_received(&self, peer: SocketAddr, incarnation: Incarnation) -> Option<Instant> {
        self.contacts
            .get(&peer)
            .filter(|contact| contact.member.1 == incarnation)
            .map(|contact| contact.last_received)
    }

    /// Drops the addresses for which `is_needed` returns false.
    pub fn retain(&mut self, is_needed: impl Fn(&SocketAddr) -> bool) {
        self.contacts.retain(|peer, _| is_needed(peer));
    }
}
