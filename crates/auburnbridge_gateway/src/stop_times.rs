//! Lengths of the phases of a planned stop.

use auburnbridge_types::Millis;

/// How long a gateway takes requests after the signal to stop, and how long it then completes them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopTimes {
    /// Time for which the gateway takes requests, while its load balancer notices that it is not
    /// ready.
    pub balancer_lag: Millis,
    /// Longest time that in-flight requests get to complete after `balancer_lag`.
    pub shutdown_limit: Millis,
}

impl StopTimes {
    /// Fits the phases into the time until the process is killed.
    ///
    /// A request that is taken too late for an answer before the kill would be cut off while its
    /// target works on it.
    #[must_use]
    pub fn within(self, stop_limit: Millis) -> Self {
        let balancer_lag = self.balancer_lag.min(Millis(stop_limit.0 * 5 / 12));
        let exit_time = Millis(stop_limit.0 / 12);
        Self {
            balancer_lag,
            shutdown_limit: Millis(stop_limit.0 - exit_time.0 - balancer_lag.0),
        }
    }
}
