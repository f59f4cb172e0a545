//! What a dispatcher would decide about a request now, without deciding it.
//!
//! The decisions are those of the dispatcher itself, made on copies of its state, so an explanation
//! can't differ from what would happen. Since a target is drawn at random among equals, several draws
//! show how likely each target is.

use std::net::SocketAddr;

use auburnbridge_types::{DataCentre, Millis, TargetId, Timestamp};

use super::balancer::Balancer;
use super::dispatcher::{Dispatcher, Placement, PlacementRequest};
use super::target::BalancedKey;
use crate::RequestClass;

/// Number of draws.
const DRAWS: u32 = 64;

/// What would happen to a request.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementForecast {
    /// Whether the request would start, wait or be refused.
    pub outcome: ForecastOutcome,
    /// The targets, the most likely ones first, then by their tier.
    pub targets: Vec<TargetForecast>,
}

/// The decision about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForecastOutcome {
    /// It would start on one of the targets.
    Start,
    /// It would wait for a slot, at most for this time.
    Wait(Millis),
    /// It would be refused, with this `Retry-After`.
    Refuse(Millis),
}

/// The state of a target with respect to a request.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetForecast {
    /// Id of the target.
    pub target: TargetId,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Share of the draws in which the request would start there.
    pub likelihood: f64,
    /// Preference for the target, such as `subset-free` or `busy`.
    pub tier: &'static str,
    /// Requests in flight on it from all gateways, as far as they are known.
    pub in_flight: u32,
    /// Requests that it is sent at a time.
    pub capacity: u32,
    /// Evidence against it, in nats.
    pub suspicion: f64,
    /// Time since it last proved that it works.
    pub proof_age: Millis,
    /// Time for which it asked to be left alone.
    pub pause_left: Millis,
}

impl<T: Clone> Dispatcher<T> {
    /// What [`Dispatcher::place`] would decide about a request now. Nothing changes.
    pub fn forecast(
        &self,
        now: Timestamp,
        request: &PlacementRequest<'_>,
        item: &T,
    ) -> PlacementForecast {
        let mut outcome = None;
        let mut starts: Vec<BalancedKey> = Vec::new();
        let mut rng = self.rng.clone();
        for _ in 0..DRAWS {
            let mut copy = self.clone();
            copy.rng = rng;
            let decision = match copy.place(now, request, || item.clone()) {
                Placement::Start(pick) => {
                    starts.push(pick.key);
                    ForecastOutcome::Start
                }
                Placement::Wait { max_wait, .. } => ForecastOutcome::Wait(max_wait),
                Placement::Refuse(refusal) => ForecastOutcome::Refuse(refusal.retry_after),
            };
            rng = copy.rng;
            outcome.get_or_insert(decision);
            if starts.is_empty() {
                // Only the draw of a target is random.
                break;
            }
        }
        PlacementForecast {
            outcome: outcome.unwrap_or(ForecastOutcome::Refuse(Millis(0))),
            targets: self
                .balancer
                .forecast_targets(now, request.selection_class(), &starts),
        }
    }
}

impl Balancer {
    fn forecast_targets(
        &self,
        now: Timestamp,
        class: RequestClass,
        starts: &[BalancedKey],
    ) -> Vec<TargetForecast> {
        let floor_limit = self.floor_limit(now);
        let mut targets: Vec<_> = self
            .targets
            .iter()
            .map(|(key, target)| {
                let tier = self.tier(now, class, target, floor_limit);
                let count = starts.iter().filter(|start| **start == key).count();
                let forecast = TargetForecast {
                    target: target.member.id.clone(),
                    address: target.member.address,
                    data_centre: target.member.data_centre.clone(),
                    likelihood: share(count, starts.len()),
                    tier: tier.into(),
                    in_flight: target.in_flight(now),
                    capacity: target.capacity(now),
                    suspicion: target.suspicion(now),
                    proof_age: target.proof_age(now),
                    pause_left: target.paused_until.since(now),
                };
                (
                    std::cmp::Reverse(count),
                    target.is_paused(now),
                    tier,
                    forecast,
                )
            })
            .collect();
        targets.sort_by(|a, b| (a.0, a.1, a.2, &a.3.target).cmp(&(b.0, b.1, b.2, &b.3.target)));
        targets.into_iter().map(|(.., forecast)| forecast).collect()
    }
}

fn share(count: usize, total: usize) -> f64 {
    let as_f64 = |value: usize| f64::from(u32::try_from(value).unwrap_or(u32::MAX));
    as_f64(count) / as_f64(total.max(1))
}
