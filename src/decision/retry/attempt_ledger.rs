//! Allowance of extra attempts of one call.

/// Part of an allowance that goes down with one attempt. It can be given back once only, so that a
/// duplicate response cannot create attempts.
#[derive(Debug)]
#[must_use]
pub struct AllowanceSlice(u16);

impl AllowanceSlice {
    /// Returns the extra attempts of the slice.
    pub fn size(&self) -> u16 {
        self.0
    }

    fn into_size(self) -> u16 {
        self.0
    }
}

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

    /// Returns whether the response head is not sent yet.
    pub fn is_open(&self) -> bool {
        self.is_open
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
    pub fn reserve_slice(&mut self) -> AllowanceSlice {
        let slice = self.rest.div_ceil(2);
        self.rest -= slice;
        AllowanceSlice(slice)
    }

    /// Takes back the unused rest of a slice. A larger figure than the slice comes from a faulty
    /// peer, which may have used the whole slice, and returns nothing. A closed ledger takes
    /// nothing back, since its rest was already reported.
    pub fn return_unused(&mut self, slice: AllowanceSlice, unused: u16) {
        let size = slice.into_size();
        if self.is_open && unused <= size {
            self.rest += unused;
        }
    }

    /// Closes the ledger and returns the unused rest for the response.
    pub fn close(&mut self) -> u16 {
        self.is_open = false;
        std::mem::take(&mut self.rest)
    }
}
