//! Request targets and response formats of the platform's store.

use crate::{
    common::*,
    decision::mesh::{
        fleet_view::BackendEntry, route_table::RouteTable, store_position::StorePosition,
    },
    http1::header_list::HeaderList,
    mesh::store_interface::{StoreChanges, StoreFormat, StoreFormatError, StoreItem, StorePage},
    platform::{config_document, entry_document},
};
use base64::{Engine, engine::general_purpose::STANDARD};
use bytes::Bytes;
use percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode};

/// Key of the route configuration.
const CONFIG_KEY: &str = "op/config";
/// Prefix of all keys. Each call is billed, so one call reads the configuration and the entries.
const ALL_KEYS: &str = "";
/// Prefix of the entries of backend servers.
const ENTRY_PREFIX: &str = "servers/";

/// Header of all responses that counts how often the store came back from a copy.
const ERA_HEADER: &str = "Store-Era";

/// Format of the platform's store.
#[derive(Clone, Copy, Debug)]
pub struct PlatformStore;

#[derive(Deserialize)]
struct ItemDocument {
    key: SmolStr,
    revision: u64,
    #[serde(default)]
    value: Option<String>,
    #[serde(default)]
    tombstone: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct RangeDocument {
    items: Vec<ItemDocument>,
    has_more: bool,
    // Revision of the store at the time of the response.
    as_of: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct WatchDocument {
    events: Vec<ItemDocument>,
    as_of: u64,
}

impl StoreFormat for PlatformStore {
    fn range_target(&self, after: Option<&str>) -> String {
        match after {
            None => format!("/kv-range?prefix={ALL_KEYS}"),
            Some(key) => {
                let key = utf8_percent_encode(key, NON_ALPHANUMERIC);
                format!("/kv-range?prefix={ALL_KEYS}&after={key}")
            }
        }
    }

    fn watch_target(&self, after: StorePosition, wait: Duration) -> String {
        let (after, wait) = (after.revision, wait.as_millis());
        format!("/kv-watch?prefix={ALL_KEYS}&after={after}&wait-ms={wait}")
    }

    fn decode_era(&self, headers: &HeaderList) -> Result<u64, StoreFormatError> {
        let mut values = headers.all(ERA_HEADER);
        let Some(value) = values.next() else {
            return Ok(0);
        };
        let text = std::str::from_utf8(value).unwrap_or_default().trim();
        // The parser also accepts a sign.
        let is_number = text.bytes().all(|byte| byte.is_ascii_digit());
        let era = text.parse().ok().filter(|_| is_number);
        era.filter(|_| values.next().is_none()).ok_or_else(|| {
            format_error(format_args!(
                "The era `{}` is invalid.",
                value.escape_ascii()
            ))
        })
    }

    fn decode_page(&self, era: u64, bytes: &[u8]) -> Result<StorePage, StoreFormatError> {
        let document: RangeDocument = serde_json::from_slice(bytes).map_err(format_error)?;
        let items = document.items.into_iter();
        let last_key = items.as_slice().last().map(|item| item.key.clone());
        Ok(StorePage {
            last_key,
            items: items.map(|item| decode_item(era, item)).collect(),
            has_more: document.has_more,
            position: StorePosition {
                era,
                revision: document.as_of,
            },
        })
    }

    fn decode_watch(&self, era: u64, bytes: &[u8]) -> Result<StoreChanges, StoreFormatError> {
        let document: WatchDocument = serde_json::from_slice(bytes).map_err(format_error)?;
        let events = document.events.into_iter();
        Ok(StoreChanges {
            items: events.map(|item| decode_item(era, item)).collect(),
            position: StorePosition {
                era,
                revision: document.as_of,
            },
        })
    }

    fn decode_config(&self, bytes: &[u8]) -> Result<RouteTable, StoreFormatError> {
        config_document::decode(bytes).map_err(format_error)
    }

    fn decode_entry(&self, bytes: &[u8]) -> Result<BackendEntry, StoreFormatError> {
        entry_document::decode(bytes).map_err(format_error)
    }
}

fn format_error(error: impl Display) -> StoreFormatError {
    StoreFormatError(error.to_string().into())
}

fn decode_item(era: u64, item: ItemDocument) -> StoreItem {
    let value = item.value.filter(|_| !item.tombstone).map(|text| {
        // Invalid base64 becomes an empty value, which the decoder of the value rejects as well.
        let bytes = STANDARD.decode(&text).unwrap_or_default();
        Bytes::from(bytes)
    });
    let instance = item.key.strip_prefix(ENTRY_PREFIX).map(SmolStr::new);
    StoreItem {
        is_config: item.key == CONFIG_KEY,
        instance,
        position: StorePosition {
            era,
            revision: item.revision,
        },
        value,
    }
}
