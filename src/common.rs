//! Imports that most modules share.

pub(crate) use std::{
    fmt::{self, Display, Formatter},
    net::SocketAddr,
    str::FromStr,
    sync::Arc,
    time::{Duration, Instant},
};

pub(crate) use indexmap::IndexMap;
pub(crate) use parking_lot::Mutex;
pub(crate) use serde::{Deserialize, Serialize};
pub(crate) use smol_str::SmolStr;
pub(crate) use thiserror::Error;
