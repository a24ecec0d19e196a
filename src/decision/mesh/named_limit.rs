//! Request rate that a backend server names in its responses.

use crate::common::*;

/// Largest rate that a backend server can name, in requests per second.
const MAX_RATE: f64 = 1e6;

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
