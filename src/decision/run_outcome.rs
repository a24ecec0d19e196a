//! What is known about the execution of a request.

use crate::common::*;

/// States whether a backend server ran a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Hash)]
pub enum RunOutcome {
    /// The backend server ran the request and its answer is known.
    Ran,
    /// No byte of the request can have reached the backend server, or it refused the request.
    NotRun,
    /// The backend server may or may not have run the request.
    Unknown,
}

/// A `skylark-outcome` header has an unknown value.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("The outcome is none of `ran`, `not-run` and `unknown`.")]
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
