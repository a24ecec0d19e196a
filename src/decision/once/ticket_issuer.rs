//! Issues and checks the tickets of one daemon.

use crate::{common::*, decision::once::ticket_id::TicketId};
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

/// Issues tickets under a key that lives as long as the incarnation.
#[derive(Debug)]
pub struct TicketIssuer {
    data_centre: SmolStr,
    instance: SmolStr,
    incarnation: u64,
    mac: Hmac<Sha256>,
    origin: Instant,
    next: u64,
}

/// A ticket names this instance and cannot be used.
#[derive(Debug, Error, Eq, PartialEq)]
pub enum TicketError {
    /// Another incarnation issued the ticket.
    #[error("Another incarnation issued the ticket.")]
    Incarnation,
    /// The code does not match.
    #[error("The code of the ticket does not match.")]
    Mac,
    /// The ticket expired.
    #[error("The ticket expired.")]
    Expired,
}

impl TicketIssuer {
    /// Creates an issuer; `incarnation` and `key` are drawn at random at each start.
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
            // A key of this length is used as it is.
            mac: Hmac::new(&key_block(key).into()),
            origin: now,
            next: 0,
        }
    }

    /// Issues a ticket that is valid for `valid`.
    pub fn issue(&mut self, valid: Duration, now: Instant) -> TicketId {
        self.next += 1;
        let expiry = now.saturating_duration_since(self.origin) + valid;
        let mut ticket = TicketId {
            data_centre: self.data_centre.clone(),
            instance: self.instance.clone(),
            incarnation: self.incarnation,
            number: self.next,
            expiry_ms: u64::try_from(expiry.as_millis()).unwrap_or(u64::MAX),
            mac: [0; 16],
        };
        let code = self.code(&ticket).finalize().into_bytes();
        ticket.mac.copy_from_slice(&code[..16]);
        ticket
    }

    /// Returns whether a ticket names this instance as its executor.
    pub fn is_executor(&self, ticket: &TicketId) -> bool {
        ticket.data_centre == self.data_centre && ticket.instance == self.instance
    }

    /// Checks a ticket that names this instance and returns its expiry.
    pub fn verify(&self, ticket: &TicketId, now: Instant) -> Result<Instant, TicketError> {
        if ticket.incarnation != self.incarnation {
            return Err(TicketError::Incarnation);
        }
        self.code(ticket)
            .verify_truncated_left(&ticket.mac)
            .map_err(|_| TicketError::Mac)?;
        let expiry = self.origin + Duration::from_millis(ticket.expiry_ms);
        if expiry <= now {
            return Err(TicketError::Expired);
        }
        Ok(expiry)
    }

    fn code(&self, ticket: &TicketId) -> Hmac<Sha256> {
        let mut mac = self.mac.clone();
        mac.update(ticket.signed_text().as_bytes());
        mac
    }
}

/// Pads a key to the block of SHA-256, as HMAC defines it for short keys.
fn key_block(key: [u8; 32]) -> [u8; 64] {
    let mut block = [0; 64];
    block[..32].copy_from_slice(&key);
    block
}
