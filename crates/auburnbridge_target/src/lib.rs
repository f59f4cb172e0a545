//! The connection pool for targets, and request-response exchanges on its connections.
//!
//! [`Pool::exchange`] sends one request and reports reliably whether any byte of it was written:
//! the ledger withdraws a grant only for [`ExchangeResult::NotSent`]. A byte counts as written
//! once the kernel has accepted it.
//!
//! A connection returns to the pool only after a complete exchange with `KeepAlive::Reuse`. In any
//! other case, and when the exchange is dropped, the connection is closed, which cancels the
//! request at the target and prevents a late answer from being read as the next one.
//!
//! Lock order: the table of targets, then the idle connections of one target. Neither lock is held
//! across an await.

mod connect;
mod crash;
mod exchange;
mod idle;
mod pool;

pub use crash::refuses_connections;
pub use exchange::{Exchange, ExchangeResult, NotSentReason, UnknownReason};
pub use pool::{Pool, PoolBuilder};
