//! Whether a request was run.

use crate::common::*;

/// Whether a backend server ran a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Hash)]
pub enum RunOutcome {
    /// The backend server ran the request and its response is known.
    Ran,
    /// No part of the request reached the backend server, or the backend server refused it.
    NotRun,
    /// The backend server may or may not have run the request.
    Unknown,
}

/// Error from parsing a `skylark-outcome` header.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("The outcome must be `ran`, `not-run` or `unknown`.")]
pub struct ParseOutcomeError;

impl RunOutcome {
    /// Returns the value of the `skylark-outcome` header.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Ran => "ran",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

impl Display for RunOutcome {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for RunOutcome {
    type Err = ParseOutcomeError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "ran" => Ok(Self::Ran),
            "not-run" => Ok(Self::NotRun),
            "unknown" => Ok(Self::Unknown),
            _ => Err(ParseOutcomeError),
        }
    }
}
