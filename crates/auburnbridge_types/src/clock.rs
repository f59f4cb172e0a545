//! The clock of the runtime, and a paused one for tests.
//!
//! The timers of `async-std` can't be paused, so components that wait take a [`Clock`] as a trait
//! object. Tests pass a [`PausedClock`] and advance it; nothing sleeps for real.

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

/// Source of time and of waiting.
pub trait Clock: Send + Sync {
    /// The current time.
    fn now(&self) -> Timestamp;

    /// Completes after `duration` has passed on this clock.
    fn sleep(&self, duration: Millis) -> BoxFuture<'static, ()>;
}

/// The clock of the machine and the timers of `async-std`.
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

/// A clock whose readings advance with the time since the boot of the machine.
///
/// It starts at the time of day and is not affected when that is set. Unlike the monotonic clock it
/// counts the time for which the machine was suspended, so that a deadline passes meanwhile.
#[derive(Clone, Copy, Debug)]
pub struct BootClock {
    /// Time of day at the boot of the machine, as seen when the clock was created.
    booted: Timestamp,
}

impl BootClock {
    /// Reads both clocks of the machine once.
    pub fn new() -> Self {
        let since_boot = time_since_boot();
        Self {
            booted: Timestamp(RuntimeClock.now().0.saturating_sub(since_boot.0)),
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
        self.booted.after(time_since_boot())
    }

    fn sleep(&self, duration: Millis) -> BoxFuture<'static, ()> {
        RuntimeClock.sleep(duration)
    }
}

fn time_since_boot() -> Millis {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME)
        .expect("Linux has had a boot-time clock since version 2.6.39");
    Millis(u64::try_from(Duration::from(time).as_millis()).unwrap_or(u64::MAX))
}

/// A clock that moves only when a test advances it.
#[derive(Clone, Debug)]
pub struct PausedClock {
    state: Arc<Mutex<PausedState>>,
}

#[derive(Debug)]
struct PausedState {
    now: Timestamp,
    sleepers: Vec<Waker>,
}

impl PausedClock {
    /// Creates a clock that stands at `now`.
    pub fn new(now: Timestamp) -> Self {
        Self {
            state: Arc::new(Mutex::new(PausedState {
                now,
                sleepers: Vec::new(),
            })),
        }
    }

    /// Moves the clock ahead and wakes the sleepers.
    pub fn advance(&self, duration: Millis) {
        let sleepers = {
            let mut state = self.state.lock();
            state.now = state.now.after(duration);
            std::mem::take(&mut state.sleepers)
        };
        for waker in sleepers {
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
        state.sleepers.push(cx.waker().clone());
        Poll::Pending
    }
}
