//! Tests route lookup, the validation of configurations, and the traffic split among destinations.

use auburnbridge_policy::RequestClass;
use auburnbridge_routing::{
    CallerLimits, Destination, PublishedRoute, PublishedService, RouteSet, RouteSetBuilder,
    RouteSetError, TrafficSplits, WeightedRoundRobin,
};
use auburnbridge_types::{ByteSize, ConfigVersion, Millis, Priority, Weight};
use proptest::prelude::*;

const LIMITS: CallerLimits = CallerLimits {
    head: ByteSize(16_384),
    body: ByteSize(1 << 20),
    head_timeout: Millis(3_000),
    idle_timeout: Millis(15_000),
};

fn destination(service: &str, weight: u32) -> Destination {
    Destination {
        service: service.parse().unwrap(),
        weight: Weight(weight),
    }
}

fn route(name: &str, prefix: &str, destinations: Vec<Destination>) -> PublishedRoute {
    PublishedRoute {
        name: name.to_owned(),
        prefix: prefix.to_owned(),
        class: RequestClass::Idempotent,
        priority: Priority(2),
        is_public: false,
        latency_objective: Millis(800),
        timeout: Millis(1_500),
        max_attempts: 2,
        destinations,
    }
}

fn builder() -> RouteSetBuilder {
    let mut builder = RouteSet::builder(ConfigVersion(7), LIMITS);
    for name in ["stock", "dispatch"] {
        let service = PublishedService {
            name: name.parse().unwrap(),
            health_path: "/health".to_owned(),
            connection_limit: 360,
        };
        builder.service(service).unwrap();
    }
    builder
}

/// Guards against a shorter prefix that takes precedence over a longer one, and against a prefix that
/// matches in the middle of a path segment.
#[test]
fn longest_prefix_of_the_host_wins() {
    let mut builder = builder();
    for (name, prefix) in [("short", "/a/"), ("long", "/a/b/"), ("other", "/c/")] {
        let destinations = vec![destination("stock", 1)];
        builder
            .route("Shop.example", route(name, prefix, destinations))
            .unwrap();
    }
    let routes = builder.build();
    let find = |host: &str, path: &str| routes.find(host, path).map(|route| route.name.clone());
    for (host, path, expected) in [
        ("shop.example", "/a/x", Some("short")),
        ("SHOP.example:8080", "/a/b/x?q=/c/", Some("long")),
        ("shop.example", "/a/b/", Some("long")),
        ("shop.example", "/a/b", Some("short")),
        ("shop.example", "/ab/x", None),
        ("shop.example", "/", None),
        ("other.example", "/a/x", None),
        ("", "/a/x", None),
    ] {
        assert_eq!(find(host, path).as_deref(), expected, "{host} {path}");
    }
}

/// Guards against accepting configurations with unknown services, unusable weights, timeouts or
/// prefixes.
#[test]
fn inconsistent_configurations_are_refused() {
    let unknown = builder().route(
        "h",
        route(
            "r",
            "/a/",
            vec![destination("stock", 1), destination("none", 0)],
        ),
    );
    assert!(matches!(unknown, Err(RouteSetError::UnknownService { .. })));
    let zero_weight = builder().route("h", route("r", "/a/", vec![destination("stock", 0)]));
    assert_eq!(zero_weight, Err(RouteSetError::ZeroWeight("r".to_owned())));
    let long_timeout = PublishedRoute {
        timeout: Millis(600_001),
        ..route("r", "/a/", vec![destination("stock", 1)])
    };
    let long_timeout = builder().route("h", long_timeout);
    assert_eq!(
        long_timeout,
        Err(RouteSetError::InvalidTimeout("r".to_owned()))
    );
    let unterminated = builder().route("h", route("r", "/a", vec![destination("stock", 1)]));
    assert_eq!(
        unterminated,
        Err(RouteSetError::InvalidPrefix("r".to_owned()))
    );
}

/// Guards against a destination that still receives requests after its weight was set to zero.
#[test]
fn changed_weights_take_effect_at_once() {
    let mut splits = TrafficSplits::default();
    let before = route(
        "r",
        "/a/",
        vec![destination("stock", 9), destination("dispatch", 1)],
    );
    for _ in 0..7 {
        splits.next(&before, || 3).unwrap();
    }
    let after = route(
        "r",
        "/a/",
        vec![destination("stock", 0), destination("dispatch", 1)],
    );
    for _ in 0..20 {
        let next = splits.next(&after, || 3).unwrap();
        assert_eq!(next.service.as_str(), "dispatch");
    }
}

/// Guards against a start offset that takes one step per unit of weight, since weights may be large,
/// and against an overflow of the sum of the weights.
#[test]
fn large_weights_start_quickly() {
    let max = u32::MAX;
    for (weights, first) in [
        ([max, max], 0),
        ([max - 1, 1], 0),
        ([max / 3, max / 3 * 2], 1),
    ] {
        let destinations = weights.map(|weight| destination("stock", weight));
        let mut state = WeightedRoundRobin::with_offset(&destinations, max - 1);
        assert!(state.next(&destinations).is_some(), "{weights:?}");
        let mut state = WeightedRoundRobin::with_offset(&destinations, 0);
        let next = state.next(&destinations).unwrap();
        assert_eq!(next.weight.0, weights[first], "{weights:?}");
    }
}

/// Guards against memory use that grows with every route that was ever published.
#[test]
fn removed_routes_are_forgotten() {
    let destinations = || vec![destination("stock", 1), destination("dispatch", 1)];
    let (kept, removed) = (
        route("kept", "/a/", destinations()),
        route("removed", "/b/", destinations()),
    );
    let mut splits = TrafficSplits::default();
    splits.next(&kept, || 0).unwrap();
    splits.next(&removed, || 0).unwrap();
    let mut builder = builder();
    builder.route("h", kept.clone()).unwrap();
    splits.retain(&builder.build());
    let mut has_started = |route| {
        let mut has_started = false;
        let mut offset = || {
            has_started = true;
            0
        };
        splits.next(route, &mut offset).unwrap();
        has_started
    };
    assert!(!has_started(&kept));
    assert!(has_started(&removed));
}

proptest! {
    /// Guards against shares that deviate from the weights in any run of consecutive requests.
    #[test]
    fn each_destination_gets_its_share(
        weights in prop::collection::vec(0_u32..1_000, 1..6),
        offset in any::<u32>(),
        count in 1_u32..500,
    ) {
        prop_assume!(weights.iter().sum::<u32>() > 0);
        let destinations: Vec<Destination> = weights
            .iter()
            .enumerate()
            .map(|(number, weight)| destination(&format!("s-{number}"), *weight))
            .collect();
        let mut state = WeightedRoundRobin::with_offset(&destinations, offset);
        let mut counts = vec![0.0; weights.len()];
        for _ in 0..count {
            let next = state.next(&destinations).unwrap();
            let index = destinations.iter().position(|destination| destination == next).unwrap();
            counts[index] += 1.0;
        }
        let total: u32 = weights.iter().sum();
        for (weight, actual) in weights.iter().zip(&counts) {
            let expected = f64::from(*weight) / f64::from(total) * f64::from(count);
            // A run may deviate by one request at its start and one at its end for each of the other
            // destinations.
            let tolerance = f64::from(u32::try_from(weights.len()).unwrap());
            prop_assert!((actual - expected).abs() <= tolerance, "{actual} of {expected}");
        }
    }
}
