//! Option values that are lists.

use std::collections::HashSet;
use std::hash::Hash;
use std::net::SocketAddr;
use std::str::FromStr;

use auburnbridge_types::{ParseError, ServiceName, VmId, parse_digest};
use serde::de::{DeserializeOwned, Error};
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;

use crate::document::line_of;
use crate::value::{Value, ValueError, is_between};

/// Address of another process of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerLocation {
    /// Name of its VM, as in its certificate.
    pub vm: VmId,
    /// Its `peer_address` setting.
    pub address: SocketAddr,
}

/// A key with which an operator authenticates to the administration API.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorKey {
    /// Name under which the log records the operator's edits.
    pub name: String,
    /// Digest of the key; the key itself is not stored.
    pub sha256: KeyDigest,
    /// Services whose rules the operator may change.
    pub services: ServiceScope,
}

/// SHA-256 digest, written as 64 hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct KeyDigest(pub [u8; 32]);

impl FromStr for KeyDigest {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        parse_digest(text).map(Self)
    }
}

impl<'de> Deserialize<'de> for KeyDigest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        String::deserialize(deserializer)?
            .parse()
            .map_err(Error::custom)
    }
}

/// Services that an operator may change: a list of names, or `["*"]` for all.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServiceScope {
    /// All services, and the rules that belong to no service.
    All,
    /// Only these services.
    Listed(Vec<ServiceName>),
}

impl ServiceScope {
    /// Whether `service` belongs to the scope.
    pub fn includes(&self, service: &ServiceName) -> bool {
        match self {
            Self::All => true,
            Self::Listed(services) => services.contains(service),
        }
    }
}

impl<'de> Deserialize<'de> for ServiceScope {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let names = Vec::<String>::deserialize(deserializer)?;
        if names == ["*"] {
            return Ok(Self::All);
        }
        if names.is_empty() {
            return Err(Error::custom(
                "`services` is empty; list names or write [\"*\"]",
            ));
        }
        names
            .iter()
            .map(|name| name.parse())
            .collect::<Result<_, ParseError>>()
            .map(Self::Listed)
            .map_err(Error::custom)
    }
}

impl Value for Vec<PeerLocation> {
    const KIND: &'static str = "a list of processes, each with `vm` and `address`";
    const EXAMPLE: &'static str = r#"[{"vm": "keeper-1", "address": "10.0.0.1:7400"}]"#;
    const RANGE_UNIT: &'static str = " items";

    fn from_text(text: &str) -> Option<Self> {
        Self::from_json(text).ok()
    }

    fn from_json(json: &str) -> Result<Self, ValueError> {
        let items = items_from_json::<PeerLocation>(json, Self::KIND)?;
        check_unique(&items, "VM", |location| &location.vm)?;
        check_unique(&items, "address", |location| location.address)?;
        Ok(into_values(items))
    }

    fn is_within(&self, min: &str, max: &str) -> bool {
        is_between(&self.len(), min, max, |text| text.parse().ok())
    }
}

impl Value for Vec<SocketAddr> {
    const KIND: &'static str = "a list of addresses, each an IP address and a port";
    const EXAMPLE: &'static str = r#"["10.0.0.1:7400"]"#;
    const RANGE_UNIT: &'static str = " items";

    fn from_text(text: &str) -> Option<Self> {
        Self::from_json(text).ok()
    }

    fn from_json(json: &str) -> Result<Self, ValueError> {
        let items = items_from_json::<SocketAddr>(json, Self::KIND)?;
        check_unique(&items, "address", |address| *address)?;
        Ok(into_values(items))
    }

    fn is_within(&self, min: &str, max: &str) -> bool {
        is_between(&self.len(), min, max, |text| text.parse().ok())
    }
}

impl Value for Vec<OperatorKey> {
    const KIND: &'static str = "a list of keys, each with `name`, `sha256` and `services`";
    const EXAMPLE: &'static str =
        r#"[{"name": "ana", "sha256": "(64 digits)", "services": ["stock"]}]"#;
    const RANGE_UNIT: &'static str = " items";

    fn from_text(text: &str) -> Option<Self> {
        Self::from_json(text).ok()
    }

    fn from_json(json: &str) -> Result<Self, ValueError> {
        let items = items_from_json::<OperatorKey>(json, Self::KIND)?;
        check_unique(&items, "name", |key| &key.name)?;
        check_unique(&items, "digest", |key| key.sha256)?;
        Ok(into_values(items))
    }

    fn is_within(&self, min: &str, max: &str) -> bool {
        is_between(&self.len(), min, max, |text| text.parse().ok())
    }
}

/// An item of a list, with its line within the value.
struct Item<'a, T> {
    value: T,
    json: &'a str,
    line: usize,
}

/// Parses the items one by one, so that an error has the line of its item.
fn items_from_json<'a, T: DeserializeOwned>(
    json: &'a str,
    kind: &str,
) -> Result<Vec<Item<'a, T>>, ValueError> {
    let items: Vec<&'a RawValue> =
        serde_json::from_str(json).map_err(|_| ValueError::expected(kind))?;
    items
        .into_iter()
        .map(|item| {
            let line = line_of(json, item.get());
            let value = serde_json::from_str(item.get()).map_err(|error| {
                // Drops the position at the end of the message, which is relative to the item.
                let message = error.to_string();
                let detail = message.split(" at line ").next().unwrap_or_default();
                ValueError {
                    line: line + error.line().max(1) - 1,
                    text: None,
                    reason: format!("expected {kind}: {detail}"),
                }
            })?;
            let json = item.get();
            Ok(Item { value, json, line })
        })
        .collect()
}

fn check_unique<'a, T, K: Eq + Hash>(
    items: &'a [Item<'_, T>],
    part: &str,
    key: impl Fn(&'a T) -> K,
) -> Result<(), ValueError> {
    let mut seen = HashSet::new();
    let Some(repeated) = items.iter().find(|item| !seen.insert(key(&item.value))) else {
        return Ok(());
    };
    Err(ValueError {
        line: repeated.line,
        text: Some(repeated.json.to_owned()),
        reason: format!("an earlier item has the same {part}"),
    })
}

fn into_values<T>(items: Vec<Item<'_, T>>) -> Vec<T> {
    items.into_iter().map(|item| item.value).collect()
}
