//! Named overload profiles.

pub mod refusal_rule;
pub mod route_rule;
pub mod service_profile;
