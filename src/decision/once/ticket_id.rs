//! Tickets of at-most-once requests.

use crate::common::*;

/// Separator of the fields in the text of a ticket.
const SEPARATOR: char = '/';

/// Maximum length of the text of a ticket, in bytes.
const MAX_TICKET_BYTES: usize = 512;

/// Identifies the executor of a request, which is the only instance that may run it, and the record
/// of its run there.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TicketId {
    /// Data centre of the executor.
    pub data_centre: SmolStr,
    /// Instance of the executor.
    pub instance: SmolStr,
    /// Random number that identifies the ticket issuer, new at each start of the executor's daemon.
    pub incarnation: u64,
    /// Sequence number within the incarnation.
    pub number: u64,
    /// Expiry on the monotonic clock of the executor's daemon, in milliseconds since its start.
    pub expiry_ms: u64,
    /// Message authentication code (MAC) of the other fields.
    pub mac: [u8; 16],
}

/// Error from parsing a ticket.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("The text is not a valid ticket.")]
pub struct ParseTicketError;

impl TicketId {
    /// Returns the text that the MAC authenticates.
    pub fn signed_text(&self) -> String {
        format!(
            "{}{SEPARATOR}{}{SEPARATOR}{:016x}{SEPARATOR}{:x}{SEPARATOR}{:x}",
            self.data_centre, self.instance, self.incarnation, self.number, self.expiry_ms
        )
    }
}

impl Display for TicketId {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        let mac = u128::from_be_bytes(self.mac);
        write!(f, "{}{SEPARATOR}{mac:032x}", self.signed_text())
    }
}

impl FromStr for TicketId {
    type Err = ParseTicketError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.len() > MAX_TICKET_BYTES {
            return Err(ParseTicketError);
        }
        let fields: Vec<_> = text.split(SEPARATOR).collect();
        let [data_centre, instance, incarnation, number, expiry_ms, mac] = fields[..] else {
            return Err(ParseTicketError);
        };
        let hex = |text| u64::from_str_radix(text, 16).map_err(|_| ParseTicketError);
        let mac = u128::from_str_radix(mac, 16).map_err(|_| ParseTicketError)?;
        let ticket = Self {
            data_centre: data_centre.into(),
            instance: instance.into(),
            incarnation: hex(incarnation)?,
            number: hex(number)?,
            expiry_ms: hex(expiry_ms)?,
            mac: mac.to_be_bytes(),
        };
        // Only the canonical form is valid, so that each ticket has exactly one text.
        if ticket.to_string() == text {
            Ok(ticket)
        } else {
            Err(ParseTicketError)
        }
    }
}
