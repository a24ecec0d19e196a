//! Named overload profiles.

pub mod route_rule;
pub mod service_profile;
