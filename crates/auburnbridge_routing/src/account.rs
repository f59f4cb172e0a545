//! Client accounts of a published configuration, and the lookup of an account by its API key.
//!
//! Keys are kept as digests only, so that no log line, error or memory dump of a process shows one. The
//! lookup compares digests, whose bytes a caller can't choose, so its time reveals nothing of a key.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

use auburnbridge_types::{AccountId, Priority, RequestRate};
use sha2::{Digest, Sha256};

use crate::RouteSetError;

/// Most bytes that a key may have.
const MAX_KEY_BYTES: usize = 1024;

/// Digest of an API key.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct ApiKeyDigest([u8; 32]);

impl ApiKeyDigest {
    /// Computes the digest of a key; `None` if the key is empty or too long to be one.
    pub fn of(key: &[u8]) -> Option<Self> {
        let is_valid = !key.is_empty() && key.len() <= MAX_KEY_BYTES;
        is_valid.then(|| Self(Sha256::digest(key).into()))
    }
}

impl fmt::Debug for ApiKeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ApiKeyDigest(..)")
    }
}

/// Limit on the requests of an account over all gateways together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AccountLimit {
    /// Rate at which requests are allowed.
    pub rate: RequestRate,
    /// Requests that may come at once beyond the rate.
    pub burst: u64,
}

/// A client account of a published configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClientAccount {
    /// Name of the account.
    pub id: AccountId,
    /// Priority of its requests, which replaces the priority of the route.
    pub priority: Option<Priority>,
    /// Limit on its requests; `None` for an unlimited account.
    pub limit: Option<AccountLimit>,
}

/// The client accounts of a published configuration.
#[derive(Clone, Debug, Default)]
pub struct AccountSet {
    accounts: HashMap<AccountId, Arc<ClientAccount>>,
    by_key: HashMap<ApiKeyDigest, Arc<ClientAccount>>,
}

impl AccountSet {
    /// Adds an account with its keys. An account without keys exists, but no request belongs to it.
    ///
    /// # Errors
    ///
    /// Fails if the account has been added before, if a key is empty or too long, or if another
    /// account has one of the keys.
    pub fn add<'a>(
        &mut self,
        account: ClientAccount,
        keys: impl IntoIterator<Item = &'a str>,
    ) -> Result<(), RouteSetError> {
        if self.accounts.contains_key(&account.id) {
            return Err(RouteSetError::DuplicateAccount(account.id));
        }
        let account = Arc::new(account);
        for key in keys {
            let digest = ApiKeyDigest::of(key.as_bytes())
                .ok_or_else(|| RouteSetError::InvalidKey(account.id.clone()))?;
            let holder = self
                .by_key
                .entry(digest)
                .or_insert_with(|| Arc::clone(&account));
            if holder.id != account.id {
                return Err(RouteSetError::SharedKey {
                    first: holder.id.clone(),
                    second: account.id.clone(),
                });
            }
        }
        self.accounts.insert(account.id.clone(), account);
        Ok(())
    }

    /// The account that holds a key.
    pub fn find_by_key(&self, key: &[u8]) -> Option<&Arc<ClientAccount>> {
        self.by_key.get(&ApiKeyDigest::of(key)?)
    }

    /// The account with this name.
    pub fn get(&self, id: &AccountId) -> Option<&Arc<ClientAccount>> {
        self.accounts.get(id)
    }

    /// All accounts, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<ClientAccount>> {
        self.accounts.values()
    }

    /// Number of accounts.
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Whether there is no account.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }
}
