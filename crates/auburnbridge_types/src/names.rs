//! Names of VMs, data centres, services, targets and accounts.
//!
//! A name holds 1 to 64 characters of `a-z A-Z 0-9 . _ : -`, which bounds its share of every
//! message and keeps log lines free of quoting. Clones share one allocation.

use std::fmt;
use std::net::IpAddr;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::ParseError;

const MAX_NAME_BYTES: usize = 64;

fn is_name(text: &str) -> bool {
    !text.is_empty()
        && text.len() <= MAX_NAME_BYTES
        && text
            .bytes()
            .all(|byte| byte.is_ascii_alphanumeric() || b"._:-".contains(&byte))
}

macro_rules! name {
    ($(#[$doc:meta])* $type:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $type(Arc<str>);

        impl $type {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $type {
            type Err = ParseError;

            fn from_str(text: &str) -> Result<Self, ParseError> {
                if is_name(text) {
                    Ok(Self(text.into()))
                } else {
                    Err(ParseError::new(
                        "a name of 1 to 64 characters from `a-z A-Z 0-9 . _ : -`",
                        text,
                    ))
                }
            }
        }

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}({})", stringify!($type), self.0)
            }
        }

        impl Serialize for $type {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.serialize_str(&self.0)
            }
        }

        impl<'de> Deserialize<'de> for $type {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                String::deserialize(deserializer)?
                    .parse()
                    .map_err(serde::de::Error::custom)
            }
        }
    };
}

name!(
    /// One of our own VMs, as its settings name it.
    VmId
);
impl VmId {
    /// The address of a VM that is named by its IP address.
    pub fn ip(&self) -> Option<IpAddr> {
        self.as_str().parse().ok()
    }
}

impl From<IpAddr> for VmId {
    /// Names a VM by its IP address.
    fn from(ip: IpAddr) -> Self {
        // The text of an address has only characters that a name may have.
        Self(ip.to_string().into())
    }
}

name!(
    /// A data centre.
    DataCentre
);
name!(
    /// A service that targets provide.
    ServiceName
);
name!(
    /// A target, as it announces itself.
    TargetId
);
name!(
    /// A caller's account.
    AccountId
);
