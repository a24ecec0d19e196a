//! Issues and verifies the tickets of one daemon.

use crate::{common::*, decision::once::ticket_id::TicketId};
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

/// Issues tickets that are authenticated with a key of this issuer.
#[derive(Debug)]
pub struct TicketIssuer {
    data_centre: SmolStr,
    instance: SmolStr,
    incarnation: u64,
    mac: Hmac<Sha256>,
    start: Instant,
    last_number: u64,
}

/// Reason why a ticket that names this instance is not valid.
#[derive(Debug, Error, Eq, PartialEq)]
pub enum TicketError {
    /// The issuer of the ticket is another incarnation of the daemon.
    #[error("The issuer of the ticket is another incarnation of the daemon.")]
    Incarnation,
    /// The message authentication code does not match.
    #[error("The message authentication code of the ticket does not match.")]
    Mac,
    /// The ticket has expired.
    #[error("The ticket has expired.")]
    Expired,
}

impl TicketIssuer {
    /// Creates an issuer; `incarnation` and `key` are random and new at each start.
    pub fn new(
        data_centre: SmolStr,
        instance: SmolStr,
        incarnation: u64,
        key: [u8; 32],
        now: Instant,
    ) -> Self {
        Self {
            data_centre,
            instance,
            incarnation,
            // HMAC neither hashes nor pads a key whose length is one block.
            mac: Hmac::new(&pad_to_block(key).into()),
            start: now,
            last_number: 0,
        }
    }

    /// Issues a ticket that expires after `lifetime`.
    pub fn issue(&mut self, lifetime: Duration, now: Instant) -> TicketId {
        self.last_number += 1;
        let expiry = now.saturating_duration_since(self.start) + lifetime;
        let mut ticket = TicketId {
            data_centre: self.data_centre.clone(),
            instance: self.instance.clone(),
            incarnation: self.incarnation,
            number: self.last_number,
            expiry_ms: u64::try_from(expiry.as_millis()).unwrap_or(u64::MAX),
            mac: [0; 16],
        };
        let mac = self.mac_of(&ticket).finalize().into_bytes();
        ticket.mac.copy_from_slice(&mac[..16]);
        ticket
    }

    /// Returns whether a ticket names this instance as its executor.
    pub fn is_executor(&self, ticket: &TicketId) -> bool {
        ticket.data_centre == self.data_centre && ticket.instance == self.instance
    }

    /// Verifies a ticket that names this instance and returns its expiry.
    pub fn verify(&self, ticket: &TicketId, now: Instant) -> Result<Instant, TicketError> {
        if ticket.incarnation != self.incarnation {
            return Err(TicketError::Incarnation);
        }
        self.mac_of(ticket)
            .verify_truncated_left(&ticket.mac)
            .map_err(|_| TicketError::Mac)?;
        let expiry = self.start + Duration::from_millis(ticket.expiry_ms);
        if expiry <= now {
            return Err(TicketError::Expired);
        }
        Ok(expiry)
    }

    fn mac_of(&self, ticket: &TicketId) -> Hmac<Sha256> {
        let mut mac = self.mac.clone();
        mac.update(ticket.signed_text().as_bytes());
        mac
    }
}

/// Pads a key with zeros to the block size of SHA-256, as HMAC does with short keys.
fn pad_to_block(key: [u8; 32]) -> [u8; 64] {
    let mut block = [0; 64];
    block[..32].copy_from_slice(&key);
    block
}
