//! Priorities as numbers on a linear scale.

use crate::decision::request_priority::RequestPriority;

/// Number of levels of one class: all ranks, each with and without the retry mark.
pub const LEVELS_PER_CLASS: u32 = 1 << 17;

/// Number of a priority; 0 is the most important.
///
/// Levels have the same order as priorities, so that a threshold can move across ranks, the retry
/// mark and classes by addition.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct PriorityLevel(pub u32);

impl PriorityLevel {
    /// Returns the level of the lowest priority.
    pub fn lowest() -> Self {
        RequestPriority::LOWEST.into()
    }

    /// Returns the level that is less important by `step`, limited to the lowest level.
    pub fn less_important_by(self, step: u32) -> Self {
        Self(self.0.saturating_add(step)).min(Self::lowest())
    }

    /// Returns the next more important level.
    pub fn next_more_important(self) -> Self {
        Self(self.0.saturating_sub(1))
    }
}

impl From<RequestPriority> for PriorityLevel {
    fn from(priority: RequestPriority) -> Self {
        let retry_bit = u32::from(priority.retry) << 16;
        Self(u32::from(priority.class) * LEVELS_PER_CLASS + retry_bit + u32::from(priority.rank))
    }
}

impl From<PriorityLevel> for RequestPriority {
    fn from(level: PriorityLevel) -> Self {
        Self {
            class: (level.0 / LEVELS_PER_CLASS) as u8,
            retry: level.0 & (1 << 16) != 0,
            rank: (level.0 & 0xffff) as u16,
        }
    }
}
