//! Tests of the limits of accounts over several gateways, without a network.

#![allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "figures of a schedule are far below the limits of their types"
)]

mod fleet;
mod input;
mod invariant;
mod liveness;
