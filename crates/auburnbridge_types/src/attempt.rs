//! Identifier of one attempt to run a request.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::{ParseError, VmId};

/// Unique id of one attempt by an entry to run a request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// The entry that makes the attempt.
    pub vm: VmId,
    /// Random number that identifies the entry process; an entry has no disk to count restarts on.
    pub boot: u64,
    /// Sequence number of the attempt within the process.
    pub sequence: u64,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{:016x}/{}", self.vm, self.boot, self.sequence)
    }
}

impl FromStr for AttemptId {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let invalid = || ParseError::new("an attempt as `vm/boot/sequence`", text);
        let mut parts = text.split('/');
        let (Some(vm), Some(boot), Some(sequence), None) =
            (parts.next(), parts.next(), parts.next(), parts.next())
        else {
            return Err(invalid());
        };
        Ok(Self {
            vm: vm.parse()?,
            boot: u64::from_str_radix(boot, 16).map_err(|_| invalid())?,
            sequence: sequence.parse().map_err(|_| invalid())?,
        })
    }
}
