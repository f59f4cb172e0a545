//! Reports about targets that gateways send each other.

use std::fmt;
use std::str::FromStr;

use auburnbridge_types::{Incarnation, ParseError, TargetId};
use serde::{Deserialize, Serialize};

use super::Finding;

/// Hash that identifies an incarnation of a target in reports, which are frequent and kept small.
///
/// Among a few thousand incarnations two collide with a probability of about one in a thousand. On
/// a collision one of them appears busier or less healthy than it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TargetHash(pub u32);

impl TargetHash {
    /// Hashes an incarnation of a target; the result is the same in every process.
    pub fn of(target: &TargetId, incarnation: Incarnation) -> Self {
        // FNV-1a, whose result is the same in every build.
        const OFFSET: u32 = 0x811c_9dc5;
        const PRIME: u32 = 0x0100_0193;
        let bytes = target.as_str().bytes().chain(incarnation.0.to_le_bytes());
        Self(bytes.fold(OFFSET, |hash, byte| {
            (hash ^ u32::from(byte)).wrapping_mul(PRIME)
        }))
    }
}

impl fmt::Display for TargetHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}

impl FromStr for TargetHash {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        u32::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| ParseError::new("eight hexadecimal digits", text))
    }
}

/// A finding reported to the other gateways.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedFinding {
    /// The target's incarnation.
    pub target: TargetHash,
    /// What the exchange showed.
    pub finding: Finding,
}

/// Requests that a gateway has in flight on one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetLoad {
    /// The target's incarnation.
    pub target: TargetHash,
    /// Number of requests.
    pub in_flight: u8,
    /// Time since the start of the latest request that proved that the target works, in steps of
    /// 8 ms; 255 if it is unknown or longer ago.
    pub proof_age: u8,
}

/// Requests that a gateway has in flight; targets without requests are omitted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// One element for each target with requests.
    pub in_flight: Vec<TargetLoad>,
}
