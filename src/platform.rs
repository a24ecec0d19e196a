//! Names, formats and calls of the users' platform, translated into the product's own types.
//!
//! Nothing here decides. No name of the platform's interface stands outside this module.

pub mod config_document;
pub mod context_names;
pub mod entry_document;
pub mod store_calls;
