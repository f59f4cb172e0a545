//! Recognition of doubled messages.

use auburnbridge_types::{Millis, Timestamp};

use super::message::{OwnerTerm, SentNumber};

/// Number of latest messages of a sender that are told apart; older ones count as doubled.
const WINDOW: u64 = 128;
/// Time for which messages of a sender's former life are refused after the first one of a new life.
/// It is bounded, since the first message seen of a life may itself be a late one.
const FORMER_LIFE_TIME: Millis = Millis(10_000);

/// Numbers of the messages that were received from one gateway.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ReplayWindow {
    term: Option<OwnerTerm>,
    former: Option<(OwnerTerm, Timestamp)>,
    highest: u64,
    received: u128,
}

impl ReplayWindow {
    /// Whether a message is received for the first time.
    pub(super) fn accept(&mut self, now: Timestamp, term: OwnerTerm, number: SentNumber) -> bool {
        if self.term != Some(term) {
            return self.begin_life(now, term, number);
        }
        if number.0 > self.highest {
            let step = number.0 - self.highest;
            let shifted = u32::try_from(step)
                .ok()
                .and_then(|step| self.received.checked_shl(step));
            self.received = shifted.unwrap_or(0) | 1;
            self.highest = number.0;
            return true;
        }
        let age = self.highest - number.0;
        if age >= WINDOW || self.received & (1 << age) != 0 {
            return false;
        }
        self.received |= 1 << age;
        true
    }

    fn begin_life(&mut self, now: Timestamp, term: OwnerTerm, number: SentNumber) -> bool {
        let is_former = self
            .former
            .is_some_and(|(former, since)| former == term && now.since(since) < FORMER_LIFE_TIME);
        if is_former {
            return false;
        }
        *self = Self {
            term: Some(term),
            former: self.term.map(|former| (former, now)),
            highest: number.0,
            received: 1,
        };
        true
    }
}
