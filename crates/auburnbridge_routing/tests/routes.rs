//! Guards route lookup, the checks of a configuration and the division among destinations.

use auburnbridge_policy::RequestClass;
use auburnbridge_routing::{
    CallerLimits, Destination, PublishedRoute, PublishedService, RouteSet, RouteSetBuilder,
    RouteSetError, SplitState, Splits,
};
use auburnbridge_types::{ByteSize, ConfigVersion, Millis, Priority, Weight};
use proptest::prelude::*;

const LIMITS: CallerLimits = CallerLimits {
    head: ByteSize(16_384),
    body: ByteSize(1 << 20),
    head_timeout: Millis(3_000),
    idle_timeout: Millis(15_000),
};

fn to(service: &str, weight: u32) -> Destination {
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
        objective: Millis(800),
        timeout: Millis(1_500),
        attempts: 2,
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

/// Guards against a shorter prefix that wins over a longer one, and against a prefix that matches in
/// the middle of a segment.
#[test]
fn longest_prefix_of_the_host_wins() {
    let mut builder = builder();
    for (name, prefix) in [("short", "/a/"), ("long", "/a/b/"), ("other", "/c/")] {
        let destinations = vec![to("stock", 1)];
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

/// Guards against configurations that contradict themselves.
#[test]
fn contradictions_are_refused() {
    let unknown = builder().route("h", route("r", "/a/", vec![to("stock", 1), to("none", 0)]));
    assert!(matches!(unknown, Err(RouteSetError::UnknownService { .. })));
    let weightless = builder().route("h", route("r", "/a/", vec![to("stock", 0)]));
    assert_eq!(weightless, Err(RouteSetError::NoWeight("r".to_owned())));
    let slow = PublishedRoute {
        timeout: Millis(600_001),
        ..route("r", "/a/", vec![to("stock", 1)])
    };
    let slow = builder().route("h", slow);
    assert_eq!(slow, Err(RouteSetError::Timeout("r".to_owned())));
    let open = builder().route("h", route("r", "/a", vec![to("stock", 1)]));
    assert_eq!(open, Err(RouteSetError::Prefix("r".to_owned())));
}

/// Guards against a removed part that still gets requests after the weights changed.
#[test]
fn changed_weights_take_effect_at_once() {
    let mut splits = Splits::default();
    let before = route("r", "/a/", vec![to("stock", 9), to("dispatch", 1)]);
    for _ in 0..7 {
        splits.next(&before, || 3).unwrap();
    }
    let after = route("r", "/a/", vec![to("stock", 0), to("dispatch", 1)]);
    for _ in 0..20 {
        let next = splits.next(&after, || 3).unwrap();
        assert_eq!(next.service.as_str(), "dispatch");
    }
}

/// Guards against a start that takes one step for each unit of the weights, which may be large, and
/// against a sum of weights that overflows.
#[test]
fn large_weights_start_soon() {
    let most = u32::MAX;
    for (weights, first) in [
        ([most, most], 0),
        ([most - 1, 1], 0),
        ([most / 3, most / 3 * 2], 1),
    ] {
        let destinations = weights.map(|weight| to("stock", weight));
        let mut state = SplitState::starting_at(&destinations, most - 1);
        assert!(state.next(&destinations).is_some(), "{weights:?}");
        let mut state = SplitState::starting_at(&destinations, 0);
        let next = state.next(&destinations).unwrap();
        assert_eq!(next.weight.0, weights[first], "{weights:?}");
    }
}

/// Guards against memory that grows with every route that was ever published.
#[test]
fn removed_routes_are_forgotten() {
    let parts = || vec![to("stock", 1), to("dispatch", 1)];
    let (kept, removed) = (
        route("kept", "/a/", parts()),
        route("removed", "/b/", parts()),
    );
    let mut splits = Splits::default();
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
    /// Guards against shares that drift from the weights in any run of requests.
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
            .map(|(number, weight)| to(&format!("s-{number}"), *weight))
            .collect();
        let mut state = SplitState::starting_at(&destinations, offset);
        let mut counts = vec![0.0; weights.len()];
        for _ in 0..count {
            let next = state.next(&destinations).unwrap();
            let at = destinations.iter().position(|to| to == next).unwrap();
            counts[at] += 1.0;
        }
        let total: u32 = weights.iter().sum();
        for (weight, given) in weights.iter().zip(&counts) {
            let share = f64::from(*weight) / f64::from(total) * f64::from(count);
            // One request each at the begin and the end of the run, for each of the others.
            let parts = f64::from(u32::try_from(weights.len()).unwrap());
            prop_assert!((given - share).abs() <= parts, "{given} of {share}");
        }
    }
}
