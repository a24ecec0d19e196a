//! Errors of the profile format.

use super::profile_validation::{MAX_CLASSES, MAX_REFUSALS, MAX_ROUTES};
use crate::{common::*, decision::request_priority::LOWEST_CLASS, toml_location::KeyLocation};

/// Largest profile, in bytes; the platform stores no larger values.
pub const MAX_PROFILE_BYTES: usize = 1 << 20;

/// Reason why a profile is invalid.
#[derive(Clone, Debug, Eq, PartialEq, Error)]
pub enum ProfileError {
    /// The text is too large.
    #[error("The profile has {0} bytes; at most {MAX_PROFILE_BYTES} are allowed.")]
    TooLarge(usize),
    /// The bytes are not valid UTF-8.
    #[error("At line {line}: The text is not valid UTF-8.")]
    Encoding {
        /// Line of the first invalid byte, from 1.
        line: usize,
    },
    /// The text is not valid TOML, or a key is unknown, missing or of the wrong type.
    #[error("At {location}: {message}.")]
    Syntax {
        /// Location of the error.
        location: KeyLocation,
        /// Message from the TOML library.
        message: String,
    },
    /// A value violates a rule of the format.
    #[error("At {location}: {violation}")]
    Rule {
        /// Location of the value.
        location: KeyLocation,
        /// Rule that is violated.
        violation: RuleViolation,
    },
}

/// Rule of the profile format that a value violates.
#[derive(Clone, Debug, Eq, PartialEq, Error)]
pub enum RuleViolation {
    /// A name is malformed.
    #[error(
        "A name has 1 to 64 letters, digits, `-`, `_` or `.` and starts with a letter or digit."
    )]
    Name,
    /// No class is declared.
    #[error("At least one class is needed.")]
    NoClass,
    /// The profile declares too many classes.
    #[error("At most {MAX_CLASSES} classes are allowed.")]
    TooManyClasses,
    /// The profile has too many routes.
    #[error("At most {MAX_ROUTES} routes are allowed.")]
    TooManyRoutes,
    /// The profile has too many refusal rules.
    #[error("At most {MAX_REFUSALS} refusals are allowed.")]
    TooManyRefusals,
    /// A key refers to a class that is not declared.
    #[error("The class `{0}` is not declared in `classes`.")]
    UnknownClass(SmolStr),
    /// A class level is out of range.
    #[error("The level of class `{0}` is above {LOWEST_CLASS}.")]
    ClassLevel(SmolStr),
    /// A number is out of range.
    #[error("The value {value} is not between {min} and {max}.")]
    Range {
        /// Value in the profile.
        value: u32,
        /// Lowest value.
        min: u32,
        /// Highest value.
        max: u32,
    },
    /// The concurrency bounds are not in ascending order.
    #[error("The concurrency bounds need min <= initial <= max.")]
    ConcurrencyOrder,
    /// A path is malformed.
    #[error(
        "A path starts with `/` and has at most 512 visible ASCII characters without `?`, `#`, `\"` and `\\`."
    )]
    Path,
    /// A method is malformed.
    #[error("A method has 1 to 16 capital letters.")]
    Method,
    /// An earlier route matches every request of this one.
    #[error("The route is never used, since `routes[{earlier}]` matches all its requests.")]
    Unreachable {
        /// Index of the earlier route.
        earlier: usize,
    },
    /// A header name is malformed.
    #[error(
        "A header name has 1 to 64 lower-case letters, digits or `-` and no `skylark-` prefix."
    )]
    HeaderName,
    /// A header value is malformed.
    #[error("A header value has 1 to 128 visible ASCII characters without `\"` and `\\`.")]
    HeaderValue,
}
