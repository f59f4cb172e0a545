//! The connection pool towards targets and single exchanges on it.
//!
//! [`Pool::exchange`] sends one request and says for certain whether any byte of it was written:
//! the ledger withdraws a grant only for [`ExchangeResult::NotSent`]. A byte counts as written
//! once the kernel has accepted it.
//!
//! A connection goes back to the pool only after a whole exchange with the verdict `Reuse`. In any
//! other case, and when the exchange is dropped, the connection is closed, which tells the target
//! that the request is cancelled and keeps a late answer away from the next request.
//!
//! Lock order: the table of targets, then the idle connections of one target. Neither lock is held
//! over an await.

mod connect;
mod crash;
mod exchange;
mod idle;
mod pool;

pub use crash::refuses_connections;
pub use exchange::{Exchange, ExchangeResult, NotSent, Unknown};
pub use pool::{Pool, PoolBuilder};
