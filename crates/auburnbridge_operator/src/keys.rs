//! Operator keys and their permissions.

use std::hint::black_box;

use auburnbridge_config::Author;
use auburnbridge_rules::{Rules, TeamScope};
use auburnbridge_types::{AccountId, ServiceName};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// SHA-256 digest of a key's secret. The secret is random text with at least 128 bits of entropy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyDigest(pub [u8; 32]);

impl KeyDigest {
    /// Computes the digest of a secret.
    pub fn of(secret: &str) -> Self {
        Self(Sha256::digest(secret.as_bytes()).into())
    }

    /// Compares two digests in constant time.
    fn matches(&self, other: &Self) -> bool {
        let pairs = self.0.iter().zip(&other.0);
        let difference = pairs.fold(0, |difference, (a, b)| black_box(difference | (a ^ b)));
        black_box(difference) == 0
    }
}

/// Key of one operator. The secret itself is not stored.
#[derive(Clone, Debug)]
pub struct OperatorKey {
    /// Digest of the secret.
    pub digest: KeyDigest,
    /// Name of the operator in the edit history.
    pub author: Author,
    /// Team of the operator; the `team` lines of the rules for this team apply to the key.
    pub team: Option<AccountId>,
    /// What the key may change in addition to the scopes of its team.
    pub scopes: Vec<TeamScope>,
}

impl OperatorKey {
    /// Whether the key may change the lines of `service`, or every line if `service` is `None`.
    pub(crate) fn may_change(&self, service: Option<&ServiceName>, rules: &Rules) -> bool {
        let by_team = rules
            .teams()
            .filter(|line| Some(&line.name) == self.team.as_ref())
            .map(|line| &line.scope);
        self.scopes.iter().chain(by_team).any(|scope| match scope {
            TeamScope::All => true,
            TeamScope::Service(name) => Some(name) == service,
        })
    }
}

/// Operator keys that a process accepts.
#[derive(Clone, Debug, Default)]
pub struct OperatorKeys(Vec<OperatorKey>);

impl OperatorKeys {
    /// Creates a set of keys.
    pub fn new(keys: Vec<OperatorKey>) -> Self {
        Self(keys)
    }

    /// Finds the key with this secret. Every key is compared, so that the time taken reveals nothing.
    pub(crate) fn find(&self, secret: &str) -> Option<&OperatorKey> {
        let digest = KeyDigest::of(secret);
        self.0.iter().fold(None, |found, key| {
            if key.digest.matches(&digest) {
                Some(key)
            } else {
                found
            }
        })
    }
}
