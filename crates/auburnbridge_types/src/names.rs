//! Names of VMs, data centres, services, targets and accounts.
//!
//! A name has 1 to 64 characters from `a-z A-Z 0-9 . _ : -`. The length limit bounds the size of
//! messages, and the character set keeps names free of quoting in log lines. Clones share one
//! allocation.

use std::fmt;
use std::net::IpAddr;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::ParseError;

const MAX_NAME_BYTES: usize = 64;

fn is_valid_name(text: &str) -> bool {
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
            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $type {
            type Err = ParseError;

            fn from_str(text: &str) -> Result<Self, ParseError> {
                if is_valid_name(text) {
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
    /// Name of a VM that runs Auburnbridge, as given in its settings.
    VmId
);
impl VmId {
    /// Returns the IP address if the VM is named by its IP address.
    pub fn ip(&self) -> Option<IpAddr> {
        self.as_str().parse().ok()
    }
}

impl From<IpAddr> for VmId {
    /// Names a VM by its IP address.
    fn from(ip: IpAddr) -> Self {
        // The text of an IP address is always a valid name.
        Self(ip.to_string().into())
    }
}

name!(
    /// Name of a data centre.
    DataCentre
);
name!(
    /// Name of a service that targets provide.
    ServiceName
);
name!(
    /// Id under which a target announces itself.
    TargetId
);
name!(
    /// Name of a client account.
    AccountId
);
