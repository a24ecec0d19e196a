//! Extra attempts that one call may still make.

/// Part of an allowance that is passed on with one outgoing attempt. It is neither `Copy` nor
/// `Clone`, so that its unused part is returned at most once and a duplicate response cannot add
/// extra attempts.
#[derive(Debug)]
#[must_use]
pub struct AllowanceSlice(u16);

impl AllowanceSlice {
    /// Returns the number of extra attempts in the slice.
    pub fn size(&self) -> u16 {
        self.0
    }

    fn into_size(self) -> u16 {
        self.0
    }
}

/// Tracks the extra attempts that one call and all its nested calls may still make.
///
/// The sum of all ledgers of a root request never exceeds the allowance granted at its entry: a
/// slice is subtracted from this ledger before it is sent, and only its unused part is added again.
#[derive(Clone, Debug)]
pub struct AttemptLedger {
    remaining: u16,
    is_open: bool,
}

impl AttemptLedger {
    /// Opens a ledger with the allowance that was passed on to this call.
    pub fn new(allowance: u16) -> Self {
        Self {
            remaining: allowance,
            is_open: true,
        }
    }

    /// Returns the number of extra attempts that remain.
    pub fn remaining(&self) -> u16 {
        self.remaining
    }

    /// Returns true until the ledger is closed, which happens when the response head is sent.
    pub fn is_open(&self) -> bool {
        self.is_open
    }

    /// Takes one extra attempt; returns false if none remains.
    pub fn take_extra(&mut self) -> bool {
        if self.remaining == 0 {
            return false;
        }
        self.remaining -= 1;
        true
    }

    /// Reserves the slice that is passed on with an outgoing attempt: half of what remains, rounded
    /// up.
    pub fn reserve_slice(&mut self) -> AllowanceSlice {
        let slice = self.remaining.div_ceil(2);
        self.remaining -= slice;
        AllowanceSlice(slice)
    }

    /// Adds the unused part of a slice. A number larger than the slice comes from a faulty peer,
    /// which may have used the whole slice, so nothing is added. Nothing is added to a closed
    /// ledger either, since what it had left was already reported.
    pub fn return_unused(&mut self, slice: AllowanceSlice, unused: u16) {
        let size = slice.into_size();
        if self.is_open && unused <= size {
            self.remaining += unused;
        }
    }

    /// Closes the ledger and returns the unused extra attempts, to be reported in the response.
    pub fn close(&mut self) -> u16 {
        self.is_open = false;
        std::mem::take(&mut self.remaining)
    }
}
