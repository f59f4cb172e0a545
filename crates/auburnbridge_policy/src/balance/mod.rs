//! Choice of targets by load and evidence that all gateways share.
//!
//! One gateway sees a target every few seconds at most, so on its own it would find out about a
//! failing target by failing requests of its callers, and so would each of the others. The gateways
//! therefore tell each other at once what speaks against a target, and several times a second how
//! many requests they have in flight on which target. A [`Balancer`] decides on the sum, and a
//! [`Dispatcher`] adds the requests that wait.
//!
//! Failures to connect are kept apart: they may be due to the path from this VM, and are neither
//! told to others nor forgiven by their successes.

mod answer_times;
mod balancer;
mod choice;
mod dispatcher;
mod evidence;
mod homes;
mod report;
mod send_budget;
mod target;
mod waiting;

pub use answer_times::AnswerTimes;
pub use balancer::{Balancer, BalancerOptions, Pick, TargetSummary};
pub use dispatcher::{Dispatcher, DispatcherOptions, Need, Placement};
pub use evidence::{Finding, Origin};
pub use homes::{GatewayPlace, home_targets};
pub use report::{LoadReport, ReportedFinding, TargetHash, TargetLoad};
pub use send_budget::{SendBudget, SendBudgetOptions};
pub use target::{BalancedKey, BalancedMember};
pub use waiting::{Capacity, Offer, Refusal, WaitQueue, WaitingKey};
