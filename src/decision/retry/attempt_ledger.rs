//! Allowance of extra attempts of one call.

/// Tracks the extra attempts that one call and all calls below it may still make.
///
/// The sum of all ledgers of a root request never exceeds the allowance granted at its entry: a
/// slice leaves this ledger before it is sent, and only the unused rest comes back.
#[derive(Clone, Debug)]
pub struct AttemptLedger {
    rest: u16,
    is_open: bool,
}

impl AttemptLedger {
    /// Opens a ledger with the allowance handed down to this call.
    pub fn new(allowance: u16) -> Self {
        Self {
            rest: allowance,
            is_open: true,
        }
    }

    /// Returns the extra attempts left.
    pub fn rest(&self) -> u16 {
        self.rest
    }

    /// Takes one extra attempt; returns false when none is left.
    pub fn take_extra(&mut self) -> bool {
        if self.rest == 0 {
            return false;
        }
        self.rest -= 1;
        true
    }

    /// Reserves the slice that goes down with an outgoing attempt.
    pub fn reserve_slice(&mut self) -> u16 {
        let slice = self.rest.div_ceil(2);
        self.rest -= slice;
        slice
    }

    /// Takes back the unused rest of a slice. A larger figure than the slice is cut to it, so that
    /// a faulty peer cannot create attempts. A closed ledger takes nothing back, since its rest
    /// was already reported.
    pub fn return_unused(&mut self, slice: u16, unused: u16) {
        if self.is_open {
            self.rest += unused.min(slice);
        }
    }

    /// Closes the ledger and returns the unused rest for the answer.
    pub fn close(&mut self) -> u16 {
        self.is_open = false;
        std::mem::take(&mut self.rest)
    }
}
