//! Tests that the phases of a planned stop end before the process is killed.

use auburnbridge_gateway::StopTimes;
use auburnbridge_types::Millis;

/// Guards against requests that are taken too late to be answered before the kill, and against requests
/// that are cut off although there was time left for them.
#[test]
fn phases_of_a_stop_fit_into_the_time_until_the_kill() {
    let default = StopTimes {
        balancer_lag: Millis(2_500),
        shutdown_limit: Millis(3_000),
    };
    for (stop_limit, balancer_lag, shutdown_limit) in [
        (6_000, 2_500, 3_000),
        (10_000, 2_500, 6_667),
        (3_000, 1_250, 1_500),
        (12, 5, 6),
        (0, 0, 0),
    ] {
        let expected = StopTimes {
            balancer_lag: Millis(balancer_lag),
            shutdown_limit: Millis(shutdown_limit),
        };
        assert_eq!(
            default.within(Millis(stop_limit)),
            expected,
            "{stop_limit} ms"
        );
    }
}
