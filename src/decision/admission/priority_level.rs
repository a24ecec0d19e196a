//! Priorities on a linear scale.

use crate::decision::request_priority::RequestPriority;

/// Width of the ranks of one class with and without the retry mark.
pub const LEVELS_PER_CLASS: u32 = 1 << 17;

/// Position of a priority on a linear scale; 0 is the most important.
///
/// The order of levels equals the order of priorities, so that a threshold can move in steps
/// across ranks, the retry mark and classes.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct PriorityLevel(pub u32);

impl PriorityLevel {
    /// Level of the lowest priority.
    pub fn lowest() -> Self {
        RequestPriority::LOWEST.into()
    }

    /// Returns the level that is `step` less important, at most the lowest one.
    pub fn lowered(self, step: u32) -> Self {
        Self(self.0.saturating_add(step)).min(Self::lowest())
    }

    /// Returns the next more important level.
    pub fn above(self) -> Self {
        Self(self.0.saturating_sub(1))
    }
}

impl From<RequestPriority> for PriorityLevel {
    fn from(priority: RequestPriority) -> Self {
        let mark = u32::from(priority.retry) << 16;
        Self(u32::from(priority.class) * LEVELS_PER_CLASS + mark + u32::from(priority.rank))
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
