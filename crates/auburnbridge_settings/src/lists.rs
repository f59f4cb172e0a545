//! Options that hold lists of objects.

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

/// Where another process of the fleet is found.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerLocation {
    /// Its VM, as its certificate names it.
    pub vm: VmId,
    /// Its `peer_address`.
    pub address: SocketAddr,
}

/// A key that an operator presents to the administration API.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorKey {
    /// Name under which the log records the operator's edits.
    pub name: String,
    /// Digest of the key; the key itself is in no file of ours.
    pub sha256: KeyDigest,
    /// Services whose rules the operator may change.
    pub services: ServiceScope,
}

/// SHA-256 digest, spelled as 64 hexadecimal digits.
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
    /// All services, and the rules that belong to none.
    All,
    /// These services.
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
        refuse_repeated(&items, "VM", |location| &location.vm)?;
        refuse_repeated(&items, "address", |location| location.address)?;
        Ok(values(items))
    }

    fn is_within(&self, first: &str, last: &str) -> bool {
        is_between(&self.len(), first, last, |text| text.parse().ok())
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
        refuse_repeated(&items, "address", |address| *address)?;
        Ok(values(items))
    }

    fn is_within(&self, first: &str, last: &str) -> bool {
        is_between(&self.len(), first, last, |text| text.parse().ok())
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
        refuse_repeated(&items, "name", |key| &key.name)?;
        refuse_repeated(&items, "digest", |key| key.sha256)?;
        Ok(values(items))
    }

    fn is_within(&self, first: &str, last: &str) -> bool {
        is_between(&self.len(), first, last, |text| text.parse().ok())
    }
}

/// One item of a list, with its position in the value.
struct Item<'a, T> {
    value: T,
    json: &'a str,
    line: usize,
}

/// Reads the items one by one, so that an error has the position of its item.
fn items_from_json<'a, T: DeserializeOwned>(
    json: &'a str,
    kind: &str,
) -> Result<Vec<Item<'a, T>>, ValueError> {
    let items: Vec<&'a RawValue> =
        serde_json::from_str(json).map_err(|_| ValueError::not_a(kind))?;
    items
        .into_iter()
        .map(|item| {
            let line = line_of(json, item.get());
            let value = serde_json::from_str(item.get()).map_err(|error| {
                // The position at the end of the message is relative to the item.
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

fn refuse_repeated<'a, T, K: Eq + Hash>(
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

fn values<T>(items: Vec<Item<'_, T>>) -> Vec<T> {
    items.into_iter().map(|item| item.value).collect()
}
