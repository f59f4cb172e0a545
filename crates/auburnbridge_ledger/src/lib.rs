//! The ledger of permissions to dispatch non-idempotent requests.
