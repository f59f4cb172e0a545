//! Traffic split of a route's requests among its destinations.
//!
//! Uses smooth weighted round robin: in any run of requests each destination gets its share to within
//! one request, which random selection achieves only in the long run.

use std::collections::{HashMap, HashSet};

use crate::{Destination, PublishedRoute, RouteSet};

/// Upper bound of the start offset, in steps. Longer sequences result only from weights with many
/// digits, and an offset within the first steps spreads the gateways as well.
const MAX_OFFSET_STEPS: u64 = 10_000;

/// Position of one route in its weighted round-robin sequence.
#[derive(Clone, Debug, Default)]
pub struct WeightedRoundRobin {
    current_weights: Vec<i64>,
}

impl WeightedRoundRobin {
    /// Starts `offset` steps into the sequence. With a random offset, gateways don't all begin with the
    /// same destination.
    pub fn with_offset(destinations: &[Destination], offset: u32) -> Self {
        let mut state = Self::default();
        let length = sequence_length(destinations).clamp(1, MAX_OFFSET_STEPS);
        for _ in 0..u64::from(offset) % length {
            state.next(destinations);
        }
        state
    }

    /// Selects the destination of the next request; `None` if no weight is above zero.
    pub fn next<'a>(&mut self, destinations: &'a [Destination]) -> Option<&'a Destination> {
        self.current_weights.resize(destinations.len(), 0);
        let total: i64 = destinations
            .iter()
            .map(|destination| i64::from(destination.weight.0))
            .sum();
        for (current_weight, destination) in self.current_weights.iter_mut().zip(destinations) {
            *current_weight += i64::from(destination.weight.0);
        }
        let index = (0..destinations.len())
            .filter(|index| destinations[*index].weight.0 > 0)
            .max_by_key(|index| self.current_weights[*index])?;
        self.current_weights[index] -= total;
        Some(&destinations[index])
    }
}

/// Number of requests after which the sequence repeats.
fn sequence_length(destinations: &[Destination]) -> u64 {
    let weights = || {
        destinations
            .iter()
            .map(|destination| u64::from(destination.weight.0))
    };
    let divisor = weights().fold(0, greatest_common_divisor);
    weights().sum::<u64>() / divisor.max(1)
}

fn greatest_common_divisor(a: u64, b: u64) -> u64 {
    if b == 0 {
        a
    } else {
        greatest_common_divisor(b, a % b)
    }
}

/// Round-robin state of the routes that have several destinations.
#[derive(Clone, Debug, Default)]
pub struct TrafficSplits {
    states: HashMap<String, (Vec<Destination>, WeightedRoundRobin)>,
}

impl TrafficSplits {
    /// Selects the destination of the next request of `route`; `offset` is called when the route's
    /// sequence starts.
    ///
    /// A change of the weights restarts the sequence of the route.
    pub fn next<'a>(
        &mut self,
        route: &'a PublishedRoute,
        offset: impl FnOnce() -> u32,
    ) -> Option<&'a Destination> {
        if let [only] = route.destinations.as_slice() {
            return Some(only);
        }
        let existing = self.states.get(&route.name);
        if existing.is_none_or(|(destinations, _)| *destinations != route.destinations) {
            let state = WeightedRoundRobin::with_offset(&route.destinations, offset());
            self.states
                .insert(route.name.clone(), (route.destinations.clone(), state));
        }
        let (_, state) = self.states.get_mut(&route.name)?;
        state.next(&route.destinations)
    }

    /// Drops the state of routes that are not in `routes`.
    pub fn retain(&mut self, routes: &RouteSet) {
        let names: HashSet<&str> = routes.route_names().collect();
        self.states.retain(|name, _| names.contains(name.as_str()));
    }
}
