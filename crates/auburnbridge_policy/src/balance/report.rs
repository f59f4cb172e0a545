//! What gateways tell each other about targets.

use std::fmt;
use std::str::FromStr;

use auburnbridge_types::{Incarnation, ParseError, TargetId};
use serde::{Deserialize, Serialize};

use super::Finding;

/// Short name of a target's life in reports, which are sent often.
///
/// Two of a few thousand lives share one with a probability of about one in a thousand; the
/// consequence is that one is taken for busier or less healthy than it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TargetHash(pub u32);

impl TargetHash {
    /// The name of the life `incarnation` of `target`, the same in every process.
    pub fn of(target: &TargetId, incarnation: Incarnation) -> Self {
        // FNV-1a, whose result doesn't depend on the build.
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

/// One finding for the other gateways.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedFinding {
    /// The target's life.
    pub target: TargetHash,
    /// What was found.
    pub finding: Finding,
}

/// What a gateway has in flight on one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetLoad {
    /// The target's life.
    pub target: TargetHash,
    /// Number of requests.
    pub in_flight: u8,
    /// Time since the target last began to work on a request, in steps of 8 ms; 255 if that is
    /// unknown or long ago.
    pub proof_age: u8,
}

/// What a gateway has in flight; targets without a request are left out.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Each target with a request.
    pub in_flight: Vec<TargetLoad>,
}
