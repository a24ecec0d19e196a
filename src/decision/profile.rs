//! Overload profiles: classes, routes, admission and retry settings that services select by name.

pub mod canonical_form;
pub mod profile_digest;
pub mod profile_error;
pub mod profile_limits;
pub mod profile_validation;
pub mod refusal_rule;
pub mod request_explanation;
pub mod route_rule;
pub mod service_profile;
