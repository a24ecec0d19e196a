//! Request rate that a backend server names in its responses.

use crate::common::*;

/// Largest rate that a backend server can name, in requests per second.
const MAX_RATE: f64 = 1e6;

/// Smallest rate at which requests are sent, in requests per second, so that a withdrawal is noticed
/// of a limit of 0.
const MIN_RATE: f64 = 0.25;

/// Time by which requests may start earlier than evenly spaced ones, so that a short burst does not
/// leave the rate unused.
const BURST_TIME: Duration = Duration::from_millis(500);

/// The rate in a response of a backend server cannot be used.
#[derive(Clone, Copy, Debug, Error, PartialEq)]
pub enum LimitError {
    /// The response names more than one rate.
    #[error("The response names {0} limits.")]
    Ambiguous(usize),
    /// The value is no decimal number.
    #[error("The limit is not a decimal number.")]
    Number,
    /// The rate is negative or larger than any server can serve.
    #[error("The limit of {0} requests per second is out of range.")]
    Range(f64),
}

/// Requests per second that a backend server accepts from all daemons together.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct NamedLimit {
    /// Requests per second.
    pub rate: f64,
}

impl NamedLimit {
    /// Decodes the values of the header in a response; returns `None` if the response has none.
    pub fn decode<'a>(values: impl Iterator<Item = &'a [u8]>) -> Result<Option<Self>, LimitError> {
        let values: Vec<&[u8]> = values.collect();
        let value = match values.as_slice() {
            [] => return Ok(None),
            [value] => value,
            several => return Err(LimitError::Ambiguous(several.len())),
        };
        let text = std::str::from_utf8(value).map_err(|_| LimitError::Number)?;
        let text = text.trim();
        // `f64` also parses exponents, infinities and signs, which are no decimal numbers.
        let is_decimal = |c: char| c.is_ascii_digit() || c == '.' || c == '-';
        if !text.chars().all(is_decimal) {
            return Err(LimitError::Number);
        }
        let rate: f64 = text.parse().map_err(|_| LimitError::Number)?;
        if !(0.0..=MAX_RATE).contains(&rate) {
            return Err(LimitError::Range(rate));
        }
        Ok(Some(Self { rate }))
    }
}

/// Limit of one backend server, with the times at which further requests may start.
///
/// All requests to the server pass the daemon beside it, so that it keeps the limit for the whole
/// fleet.
#[derive(Debug, Default)]
pub struct LimitPacer {
    limit: Option<NamedLimit>,
    /// Time at which the limit changed last by a response; `None` before the first response since the
    /// start of this daemon or of the server.
    changed_at: Option<Instant>,
    /// Time at which the next request would start if all were evenly spaced.
    next_start: Option<Instant>,
}

impl LimitPacer {
    /// Returns the limit in force.
    pub fn limit(&self) -> Option<NamedLimit> {
        self.limit
    }

    /// Applies the limit in the response to a request that was sent at `sent_at`, or `None` if it names
    /// none; returns whether the limit changed. Responses overtake each other, so a higher limit is
    /// in force only if its request was sent after the last change.
    pub fn observe(&mut self, limit: Option<NamedLimit>, sent_at: Instant, now: Instant) -> bool {
        let is_lower = match (limit, self.limit) {
            (Some(limit), Some(current)) => limit < current,
            (Some(_), None) => true,
            (None, _) => false,
        };
        let is_recent = self.changed_at.is_none_or(|at| at <= sent_at);
        let is_change = limit != self.limit && (is_lower || is_recent);
        if is_change {
            self.limit = limit;
        }
        if is_change || self.changed_at.is_none() {
            self.changed_at = Some(now);
        }
        is_change
    }

    /// Applies a limit that a peer passed on before this daemon was restarted; returns whether it is
    /// in force now. A response of the server is more recent than anything that peers know.
    pub fn adopt(&mut self, limit: NamedLimit) -> bool {
        let is_lower = self.limit.is_none_or(|current| limit < current);
        if self.changed_at.is_some() || !is_lower {
            return false;
        }
        self.limit = Some(limit);
        true
    }

    /// Forgets the limit, since another server runs now.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// Reserves a start within `max_wait` and returns its time; returns `None` if the limit leaves
    /// no start by then.
    pub fn reserve(&mut self, max_wait: Duration, now: Instant) -> Option<Instant> {
        let Some(limit) = self.limit else {
            self.next_start = None;
            return Some(now);
        };
        let even_start = self.next_start.map_or(now, |at| at.max(now));
        let start = even_start
            .checked_sub(BURST_TIME)
            .map_or(now, |at| at.max(now));
        if start > now + max_wait {
            return None;
        }
        let interval = Duration::from_secs_f64(1.0 / limit.rate.max(MIN_RATE));
        self.next_start = Some(even_start + interval);
        Some(start)
    }
}

/// Returns the slots that requests use at a rate, at least one and at most `slots`.
pub fn usable_slots(limit: NamedLimit, mean_run_time: Duration, slots: u32) -> u32 {
    let used = (limit.rate * mean_run_time.as_secs_f64()).ceil();
    (used as u32).clamp(1, slots.max(1))
}
