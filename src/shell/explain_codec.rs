//! Query string of an `/explain` request.

use crate::{common::*, decision::profile::request_explanation::ExplainQuery};
use percent_encoding::{NON_ALPHANUMERIC, percent_decode_str, utf8_percent_encode};

/// Reason why a query string is not valid.
#[derive(Clone, Debug, Eq, PartialEq, Error)]
pub enum ExplainQueryError {
    /// A parameter is unknown.
    #[error("The query has an unknown parameter.")]
    Unknown,
    /// A parameter is missing.
    #[error("The query has no parameter `{0}`.")]
    Missing(&'static str),
    /// A parameter is given twice.
    #[error("The parameter `{0}` is given twice.")]
    Duplicate(&'static str),
    /// The value of a parameter is not valid.
    #[error("The value of the parameter `{0}` is not valid.")]
    Invalid(&'static str),
}

/// Names of all parameters.
const PARAMETERS: [&str; 6] = ["method", "path", "class", "rank", "ticket", "retry"];

/// Encodes a query as a query string.
pub fn encode(query: &ExplainQuery) -> String {
    let escape = |value: &str| utf8_percent_encode(value, NON_ALPHANUMERIC).to_string();
    let mut parts = vec![
        format!("method={}", escape(&query.method)),
        format!("path={}", escape(&query.path)),
    ];
    parts.extend(
        query
            .class
            .as_deref()
            .map(|class| format!("class={}", escape(class))),
    );
    parts.extend(query.rank.map(|rank| format!("rank={rank}")));
    parts.extend(query.ticket.then(|| "ticket=1".to_owned()));
    parts.extend(query.retry.then(|| "retry=1".to_owned()));
    parts.join("&")
}

/// Decodes a query string.
pub fn decode(text: &str) -> Result<ExplainQuery, ExplainQueryError> {
    let mut values: [Option<SmolStr>; PARAMETERS.len()] = Default::default();
    for part in text.split('&').filter(|part| !part.is_empty()) {
        let (name, value) = part.split_once('=').unwrap_or((part, ""));
        let index = PARAMETERS
            .iter()
            .position(|known| *known == name)
            .ok_or(ExplainQueryError::Unknown)?;
        let value = percent_decode_str(value)
            .decode_utf8()
            .map_err(|_| ExplainQueryError::Invalid(PARAMETERS[index]))?;
        if values[index].replace(value.into()).is_some() {
            return Err(ExplainQueryError::Duplicate(PARAMETERS[index]));
        }
    }
    let [method, path, class, rank, ticket, retry] = values;
    Ok(ExplainQuery {
        method: method.ok_or(ExplainQueryError::Missing("method"))?,
        path: path.ok_or(ExplainQueryError::Missing("path"))?,
        class,
        rank: rank
            .map(|rank| rank.parse().map_err(|_| ExplainQueryError::Invalid("rank")))
            .transpose()?,
        ticket: parse_flag("ticket", ticket.as_deref())?,
        retry: parse_flag("retry", retry.as_deref())?,
    })
}

fn parse_flag(name: &'static str, value: Option<&str>) -> Result<bool, ExplainQueryError> {
    match value {
        None | Some("0") => Ok(false),
        Some("1") => Ok(true),
        Some(_) => Err(ExplainQueryError::Invalid(name)),
    }
}
