//! Lengths of the phases of a planned stop.

use auburnbridge_policy::balance::ExitBound;
use auburnbridge_types::{Millis, Timestamp};

/// How long a gateway takes requests after the signal to stop, and how long it then completes them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopTimes {
    /// Time for which the gateway takes requests, while its load balancer notices that it is not
    /// ready.
    pub balancer_lag: Millis,
    /// Time after `balancer_lag` in which requests are served. Those that are in flight at its end
    /// have a part of the time until the kill.
    pub shutdown_limit: Millis,
}

/// Part of the stop limit that is left after both phases.
const EXIT_TIME_DIVISOR: u64 = 12;

impl StopTimes {
    /// Fits the phases into the time until the process is killed.
    ///
    /// A request that is taken too late for an answer before the kill would be cut off while its
    /// target works on it.
    #[must_use]
    pub fn within(self, stop_limit: Millis) -> Self {
        let balancer_lag = self.balancer_lag.min(Millis(stop_limit.0 * 5 / 12));
        let exit_time = Millis(stop_limit.0 / EXIT_TIME_DIVISOR);
        Self {
            balancer_lag,
            shutdown_limit: Millis(stop_limit.0 - exit_time.0 - balancer_lag.0),
        }
    }
    /// Time from the end of both phases to the kill. If the kill has no limit of its own, it is assumed to
    /// follow as in [`StopTimes::within`].
    fn exit_time(self) -> Millis {
        Millis((self.balancer_lag.0 + self.shutdown_limit.0) / (EXIT_TIME_DIVISOR - 1))
    }

    /// The bound on all waits, of a gateway that is told to stop at `now`. Answers have two fifths of the
    /// exit time, so that those that take a little longer than the average are not cut off.
    pub fn exit_bound(self, now: Timestamp) -> ExitBound {
        let phases = now.after(self.balancer_lag).after(self.shutdown_limit);
        ExitBound {
            answer_by: phases.after(Millis(self.exit_time().0 * 2 / 5)),
            max_reserve: Millis(self.exit_time().0 * 3 / 10),
        }
    }

    /// Longest time from the end of `balancer_lag` to the end of the process. After the last answer
    /// is due, a fifth of the exit time is left to write it.
    pub fn exit_limit(self) -> Millis {
        Millis(self.shutdown_limit.0 + self.exit_time().0 * 3 / 5)
    }
}
