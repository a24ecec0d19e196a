//! Priority of a root request, assigned by the first daemon that receives it.

use crate::common::*;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Class level of the least important requests.
pub const LOWEST_CLASS: u8 = 7;

/// Seed of the rank hash; the same in every daemon, so that any daemon can recompute a rank.
const RANK_SEED: u64 = 0x736b_796c_6172_6b73;

/// Priority of all calls of one root request. Lower values are more important.
///
/// The derived order compares the class first, then the retry mark, then the rank, so that marked
/// retries are the first to be shed within a class.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Ord, PartialOrd, Hash)]
pub struct RequestPriority {
    /// Class level, 0 is the most important, at most [`LOWEST_CLASS`].
    pub class: u8,
    /// Whether the caller marked the root request as a retry.
    pub retry: bool,
    /// Top 16 bits of a seeded hash of the request id.
    pub rank: u16,
}

/// Error from parsing a priority header.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum ParsePriorityError {
    /// The text does not have the form `<class>.<rank>.<retry>`.
    #[error("The priority does not have the form `<class>.<rank>.<retry>`.")]
    Form,
    /// The class level is out of range.
    #[error("The class level is above {LOWEST_CLASS}.")]
    Class,
}

impl RequestPriority {
    /// Lowest possible priority; a threshold of this value admits every request.
    pub const LOWEST: Self = Self {
        class: LOWEST_CLASS,
        retry: true,
        rank: u16::MAX,
    };

    /// Derives the priority of a root request; its rank depends on the request id only.
    pub fn for_request(class: u8, retry: bool, request_id: u128) -> Self {
        let hash = xxh3_64_with_seed(&request_id.to_be_bytes(), RANK_SEED);
        Self {
            class: class.min(LOWEST_CLASS),
            retry,
            rank: (hash >> 48) as u16,
        }
    }
}

impl Display for RequestPriority {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        write!(f, "{}.{}.{}", self.class, self.rank, u8::from(self.retry))
    }
}

impl FromStr for RequestPriority {
    type Err = ParsePriorityError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut parts = text.split('.');
        let (Some(class), Some(rank), Some(retry), None) =
            (parts.next(), parts.next(), parts.next(), parts.next())
        else {
            return Err(ParsePriorityError::Form);
        };
        let class: u8 = class.parse().map_err(|_| ParsePriorityError::Form)?;
        if class > LOWEST_CLASS {
            return Err(ParsePriorityError::Class);
        }
        Ok(Self {
            class,
            retry: match retry {
                "0" => false,
                "1" => true,
                _ => return Err(ParsePriorityError::Form),
            },
            rank: rank.parse().map_err(|_| ParsePriorityError::Form)?,
        })
    }
}
