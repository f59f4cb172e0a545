//! Tests of parsing and route lookup.

use auburnbridge_rules::{Method, RouteClass, Rules};
use auburnbridge_types::{ByteSize, Millis, Slots};

const VALID_FILE: &str = "\
# Stock
service stock slots-floor 24 most-targets 25 ejection careful # asked by Meera, ward office

route GET /bins/a/* to stock idempotent timeout 1s largest-answer 2MiB # asked by Meera
route GET /bins/* to stock idempotent timeout 250ms # asked by Meera
route GET /bins/a/7 to stock idempotent # asked by Meera
route POST /reservations to stock once timeout 5s # asked by Meera
account default limit 50/s burst 100 # asked by Jonas
keys remember 48h # asked by Jonas
team warehouse may change stock # asked by Jonas
";

/// Guards against a valid file that is refused or parsed incorrectly.
#[test]
fn valid_file_is_parsed() {
    let rules = Rules::parse(VALID_FILE).unwrap();
    let stock = rules.service(&"stock".parse().unwrap()).unwrap();
    assert_eq!(stock.slots_floor, Slots(24));
    assert_eq!(stock.slots_per_target, Slots(3));
    assert_eq!(rules.key_retention(), Millis(48 * 3_600_000));
    assert_eq!(rules.account(&"anyone".parse().unwrap()).burst, 100);
    let route = rules.route(Method::Get, "/bins/a/x").unwrap();
    assert_eq!(route.largest_answer, ByteSize(2 << 20));
    let route = rules.route(Method::Post, "/reservations").unwrap();
    assert_eq!(route.class, RouteClass::Once);
}

/// Guards against a lookup that returns another route than the longest match, or a route for a path
/// that can't be normalized.
#[test]
fn longest_match_wins() {
    let rules = Rules::parse(VALID_FILE).unwrap();
    for (path, line) in [
        ("/bins/7", Some("/bins/*")),
        ("/bins/", Some("/bins/*")),
        ("/bins", None),
        ("/bins/a", Some("/bins/*")),
        ("/bins/a/", Some("/bins/a/*")),
        ("/bins/a/7/8/9", Some("/bins/a/*")),
        ("/bins/a/7", Some("/bins/a/7")),
        ("/bins/%61/7", Some("/bins/a/7")),
        ("/reservations", None),
        ("/", None),
        ("", None),
        ("/bins/a/../7", None),
        ("/bins/a/%2e%2E/7", None),
        ("/bins/a%2f7", None),
        ("/bins//7", None),
        ("/bins/%", None),
    ] {
        let found = rules
            .route(Method::Get, path)
            .map(|route| route.path.to_string());
        let line = line.map(str::to_owned);
        assert_eq!(found, line, "{path}");
    }
}
