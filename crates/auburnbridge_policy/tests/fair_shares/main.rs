//! Tests of fair shares between client accounts while a service is short of room.
//!
//! The bounds follow from what the accounts are promised: none is served less than a quarter as often
//! as all, and an account at its usual rate is served at least 0.9 times as often as without the others'
//! excess.

#![allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "counts and times of the simulation are small"
)]

mod dispatch;
mod load;
#[allow(
    dead_code,
    reason = "the simulation of the balance_load tests has more to report than is read here"
)]
#[path = "../balance_load/rules.rs"]
mod rules;
#[allow(
    dead_code,
    reason = "the simulation of the balance_load tests has more to report than is read here"
)]
#[path = "../balance_load/simulation.rs"]
mod simulation;
