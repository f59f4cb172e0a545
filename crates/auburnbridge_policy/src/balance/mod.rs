//! Load balancing over the targets of a service, by load and failure evidence shared by all
//! gateways.
//!
//! A single gateway sends requests to a given target at most every few seconds, so on its own it
//! would detect a failing target only by losing requests of its callers, as would every other
//! gateway. The gateways therefore report evidence against a target to each other immediately, and
//! their requests in flight per target several times a second. A [`Balancer`] selects targets by
//! the combined data; a [`Dispatcher`] adds the queue of waiting requests.
//!
//! Connection failures are evidence about the path from this VM and are kept separate: they are not
//! reported to other gateways, and successes of other gateways don't offset them.

mod account_shares;
mod answer_times;
mod balancer;
mod cells;
mod dispatcher;
mod even;
mod evidence;
mod exit_bound;
mod explain;
mod relay;
mod report;
mod resend_budget;
mod selection;
mod subset;
mod target;
mod wait_queue;
mod work_time;

pub use account_shares::AccountKey;
pub use answer_times::AnswerTimes;
pub use balancer::{Balancer, BalancerOptions, Pick, TargetSummary};
pub use cells::{CellPlace, CellSwitch, Cells, Proximity, ReportBudget, mesh_bytes_per_second};
pub use dispatcher::{Dispatcher, DispatcherOptions, Placement, PlacementRequest};
pub use even::LoadEstimate;
pub use evidence::{Finding, Origin};
pub use exit_bound::ExitBound;
pub use explain::{ForecastOutcome, PlacementForecast, TargetForecast};
pub use relay::{RelayBatch, RelayQueue};
pub use report::{LoadReport, ReportedFinding, TargetHash, TargetLoad};
pub use resend_budget::{Requester, ResendBudget, ResendBudgetOptions};
pub use subset::{GatewayHost, cell_subset, gateway_subset};
pub use target::{BalancedKey, BalancedMember};
pub use wait_queue::{Capacity, Refusal, WaitQueue, WaitRequest, WaitingKey};
pub use work_time::WorkTime;
