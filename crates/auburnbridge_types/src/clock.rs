//! Clocks for production, and a manually advanced clock for tests.
//!
//! The timers of `async-std` can't be paused, so components that wait take a [`Clock`] as a trait
//! object. Tests pass a [`PausedClock`] and advance it instead of sleeping.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};
use parking_lot::Mutex;

use crate::{Millis, Timestamp};

/// A boxed future that can move between worker threads.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// A source of the current time and of timers.
pub trait Clock: Send + Sync {
    /// Returns the current time.
    fn now(&self) -> Timestamp;

    /// Completes after `duration` has passed on this clock.
    fn sleep(&self, duration: Millis) -> BoxFuture<'static, ()>;
}

/// The system's wall clock and the timers of `async-std`.
#[derive(Clone, Copy, Debug, Default)]
pub struct RuntimeClock;

impl Clock for RuntimeClock {
    fn now(&self) -> Timestamp {
        let elapsed = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Timestamp(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
    }

    fn sleep(&self, duration: Millis) -> BoxFuture<'static, ()> {
        Box::pin(async_std::task::sleep(Duration::from_millis(duration.0)))
    }
}

/// A clock that advances with the time since the system booted.
///
/// It starts at the wall-clock time and ignores later changes to the wall clock. Unlike the
/// monotonic clock it includes time spent suspended, so deadlines also pass during a suspend.
#[derive(Clone, Copy, Debug)]
pub struct BootClock {
    /// Wall-clock time of the system's boot, computed when the clock was created.
    boot_time: Timestamp,
}

impl BootClock {
    /// Creates a clock that starts at the current wall-clock time.
    pub fn new() -> Self {
        let since_boot = time_since_boot();
        Self {
            boot_time: Timestamp(RuntimeClock.now().0.saturating_sub(since_boot.0)),
        }
    }
}

impl Default for BootClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for BootClock {
    fn now(&self) -> Timestamp {
        self.boot_time.after(time_since_boot())
    }

    fn sleep(&self, duration: Millis) -> BoxFuture<'static, ()> {
        RuntimeClock.sleep(duration)
    }
}

fn time_since_boot() -> Millis {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME)
        .expect("CLOCK_BOOTTIME is available since Linux 2.6.39");
    Millis(u64::try_from(Duration::from(time).as_millis()).unwrap_or(u64::MAX))
}

/// A clock for tests that advances only through [`PausedClock::advance`].
#[derive(Clone, Debug)]
pub struct PausedClock {
    state: Arc<Mutex<PausedState>>,
}

#[derive(Debug)]
struct PausedState {
    now: Timestamp,
    wakers: Vec<Waker>,
}

impl PausedClock {
    /// Creates a clock that reads `now` until it is advanced.
    pub fn new(now: Timestamp) -> Self {
        Self {
            state: Arc::new(Mutex::new(PausedState {
                now,
                wakers: Vec::new(),
            })),
        }
    }

    /// Advances the clock by `duration` and wakes all sleeping tasks.
    pub fn advance(&self, duration: Millis) {
        let wakers = {
            let mut state = self.state.lock();
            state.now = state.now.after(duration);
            std::mem::take(&mut state.wakers)
        };
        for waker in wakers {
            waker.wake();
        }
    }
}

impl Clock for PausedClock {
    fn now(&self) -> Timestamp {
        self.state.lock().now
    }

    fn sleep(&self, duration: Millis) -> BoxFuture<'static, ()> {
        let wake_at = self.now().after(duration);
        Box::pin(PausedSleep {
            state: Arc::clone(&self.state),
            wake_at,
        })
    }
}

struct PausedSleep {
    state: Arc<Mutex<PausedState>>,
    wake_at: Timestamp,
}

impl Future for PausedSleep {
    type Output = ();

    fn poll(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        let mut state = self.state.lock();
        if state.now >= self.wake_at {
            return Poll::Ready(());
        }
        state.wakers.push(cx.waker().clone());
        Poll::Pending
    }
}
