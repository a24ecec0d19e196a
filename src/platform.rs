//! Names and formats of the platform's interfaces, translated into the types of this project.
//!
//! This module makes no decisions. Names of the platform's interfaces are used only here.

pub mod config_document;
pub mod context_names;
mod document_time;
pub mod entry_document;
pub mod store_format;
pub mod tenant_document;
