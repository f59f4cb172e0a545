//! Tests of error messages: each names the line, the offending text and the fix.

use auburnbridge_rules::{MAX_LINE_BYTES, Rules};

fn errors_of(text: &str) -> String {
    let errors = Rules::parse(text).expect_err("the file holds errors");
    let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

/// Guards against mistakes that are accepted, errors that are not reported and errors without a
/// fix.
#[test]
fn every_error_is_reported_with_its_fix() {
    insta::assert_snapshot!(errors_of(
        "\
service stock slots-floor 24 # asked by Meera
servce dispatch slots-floor 24 # asked by Meera
service dispatch slots-flor 24 ejection hasty # asked by Meera
service dispatch slots-floor 24 queue 7 queue 8 # asked by
service small slots-floor 25 most-targets 8 # asked by Meera
service ramp slots-floor 1 retry-rate 3 lookup-share 95% ejection # asked by Meera
service stock slots-floor 24 # asked by Meera
service stock slots-floor 25 # asked by Meera
route GET /bins/* to stok idempotent # asked by Meera
route GET /ramp to ramp idempotent # asked by Meera
route GET /a stock idempotent # asked by Meera
route get /a to stock idempotent # asked by Meera
route GET a/*/b to stock twice timeout 2 # asked by Meera
route GET /%61 to stock idempotent timeout 2days # asked by Meera
route GET /a/../b to stock idempotent largest-answer 1GiB # asked by Meera
route POST /b to stock once # asked by Meera
route POST /b to small idempotent # asked by Meera
route POST
account a limit 50/s # asked by Meera
keys remember 24h # asked by Jonas
keys remember 48h # asked by Jonas
team a may change all-of-it # asked by Jonas
team a can change stock # asked by Jonas
keys remember +24h\r # asked by Jonas
"
    ));
}

/// Guards against lines of unlimited length, which would inflate messages and log lines.
#[test]
fn long_lines_are_refused() {
    let text = format!(
        "keys remember 24h # asked by {}",
        "x".repeat(MAX_LINE_BYTES)
    );
    assert!(errors_of(&text).contains("longer than 1024 bytes"));
}
