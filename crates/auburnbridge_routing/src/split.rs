//! Division of a route's requests among its destinations.
//!
//! Smooth weighted round robin: in any run of requests each destination gets its share to within
//! one request, which a random draw reaches only in the long run.

use std::collections::{HashMap, HashSet};

use crate::{Destination, PublishedRoute, RouteSet};

/// Steps up to the latest start. Longer sequences come from weights with many digits, and a start
/// within the first ones keeps entries apart as well.
const MOST_FIRST_STEPS: u64 = 10_000;

/// Position in the sequence of one route.
#[derive(Clone, Debug, Default)]
pub struct SplitState {
    credits: Vec<i64>,
}

impl SplitState {
    /// Starts at a random point, so that entries don't all begin with the same destination.
    pub fn starting_at(destinations: &[Destination], offset: u32) -> Self {
        let mut state = Self::default();
        let length = sequence_length(destinations).clamp(1, MOST_FIRST_STEPS);
        for _ in 0..u64::from(offset) % length {
            state.next(destinations);
        }
        state
    }

    /// The destination of the next request.
    pub fn next<'a>(&mut self, destinations: &'a [Destination]) -> Option<&'a Destination> {
        self.credits.resize(destinations.len(), 0);
        let total: i64 = destinations.iter().map(|to| i64::from(to.weight.0)).sum();
        for (credit, to) in self.credits.iter_mut().zip(destinations) {
            *credit += i64::from(to.weight.0);
        }
        let at = (0..destinations.len())
            .filter(|at| destinations[*at].weight.0 > 0)
            .max_by_key(|at| self.credits[*at])?;
        self.credits[at] -= total;
        Some(&destinations[at])
    }
}

/// Requests after which the sequence begins again.
fn sequence_length(destinations: &[Destination]) -> u64 {
    let weights = || destinations.iter().map(|to| u64::from(to.weight.0));
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

/// Positions of the routes that have several destinations.
#[derive(Clone, Debug, Default)]
pub struct Splits {
    states: HashMap<String, (Vec<Destination>, SplitState)>,
}

impl Splits {
    /// The destination of the next request of `route`; `offset` is drawn once per route.
    ///
    /// A change of the weights starts the route's sequence anew.
    pub fn next<'a>(
        &mut self,
        route: &'a PublishedRoute,
        offset: impl FnOnce() -> u32,
    ) -> Option<&'a Destination> {
        if let [only] = route.destinations.as_slice() {
            return Some(only);
        }
        let known = self.states.get(&route.name);
        if known.is_none_or(|(destinations, _)| *destinations != route.destinations) {
            let state = SplitState::starting_at(&route.destinations, offset());
            self.states
                .insert(route.name.clone(), (route.destinations.clone(), state));
        }
        let (_, state) = self.states.get_mut(&route.name)?;
        state.next(&route.destinations)
    }

    /// Forgets the routes that are not in `routes`.
    pub fn retain(&mut self, routes: &RouteSet) {
        let names: HashSet<&str> = routes.names().collect();
        self.states.retain(|name, _| names.contains(name.as_str()));
    }
}
