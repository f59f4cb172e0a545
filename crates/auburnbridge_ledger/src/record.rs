//! The record of one key and its state transitions.

use auburnbridge_types::{AttemptId, RequestDigest, Timestamp, VmId};
use serde::{Deserialize, Serialize};

use crate::{MAX_WITHDRAWING_PROCESSES, Reply, StoredAnswer};

/// The state of one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Record {
    pub(crate) request_digest: RequestDigest,
    pub(crate) state: State,
    withdrawn: Vec<WithdrawnAttempts>,
    /// The caller's latest send with a withdrawn attempt, identified by its number of earlier
    /// sends.
    latest_withdrawn_send: Option<u32>,
}

/// The holder of a key, or the final outcome.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum State {
    /// No attempt holds the key; all earlier holders withdrew.
    Free,
    /// The attempt may dispatch the request.
    Held {
        attempt: AttemptId,
        /// Log time at which the grant ends, as stated by the Grant.
        grant_deadline: Timestamp,
        previous_sends: Option<u32>,
    },
    /// The attempt ran the request.
    Answered {
        attempt: AttemptId,
        answer: StoredAnswer,
    },
    /// The attempt lost track of the outcome.
    Abandoned { attempt: AttemptId },
}

/// Withdrawals of one entry process; all its attempts up to `max_sequence` count as withdrawn.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct WithdrawnAttempts {
    vm: VmId,
    boot: u64,
    max_sequence: u64,
}

impl WithdrawnAttempts {
    fn is_same_process(&self, attempt: &AttemptId) -> bool {
        self.boot == attempt.boot && self.vm == attempt.vm
    }
}

impl Record {
    /// Creates the record of a key that no attempt has held.
    pub(crate) fn new(request_digest: RequestDigest) -> Self {
        Self {
            request_digest,
            state: State::Free,
            withdrawn: Vec::new(),
            latest_withdrawn_send: None,
        }
    }

    pub(crate) fn stored_bytes(&self) -> u64 {
        match &self.state {
            State::Answered { answer, .. } => answer.stored_bytes(),
            State::Free | State::Held { .. } | State::Abandoned { .. } => 0,
        }
    }

    /// Whether the attempt, or a later one of the same process, has withdrawn.
    fn has_withdrawn(&self, attempt: &AttemptId) -> bool {
        self.withdrawn
            .iter()
            .any(|known| known.is_same_process(attempt) && attempt.sequence <= known.max_sequence)
    }

    /// Whether an attempt of a later send has withdrawn.
    fn has_later_send_withdrawn(&self, previous_sends: Option<u32>) -> bool {
        previous_sends.is_some_and(|send| Some(send) < self.latest_withdrawn_send)
    }

    /// Whether there is room to record a withdrawal of the attempt.
    fn can_record_withdrawal(&self, attempt: &AttemptId) -> bool {
        self.withdrawn.len() < MAX_WITHDRAWING_PROCESSES
            || self
                .withdrawn
                .iter()
                .any(|known| known.is_same_process(attempt))
    }

    fn record_withdrawal(&mut self, attempt: AttemptId) {
        let known = self
            .withdrawn
            .iter_mut()
            .find(|known| known.is_same_process(&attempt));
        match known {
            Some(known) => known.max_sequence = known.max_sequence.max(attempt.sequence),
            None => self.withdrawn.push(WithdrawnAttempts {
                vm: attempt.vm,
                boot: attempt.boot,
                max_sequence: attempt.sequence,
            }),
        }
    }

    pub(crate) fn grant(
        &mut self,
        now: Timestamp,
        request_digest: RequestDigest,
        attempt: AttemptId,
        grant_deadline: Timestamp,
        previous_sends: Option<u32>,
    ) -> Reply {
        if request_digest != self.request_digest {
            return Reply::BodyMismatch;
        }
        match &self.state {
            State::Answered { answer, .. } => Reply::Answered(answer.clone()),
            State::Abandoned { .. } => Reply::Unknown,
            State::Held { grant_deadline, .. } if now >= *grant_deadline => Reply::Unknown,
            State::Held {
                attempt: holder, ..
            } if *holder == attempt => Reply::Granted,
            State::Held { .. } => Reply::InProgress,
            State::Free if self.has_withdrawn(&attempt) || now >= grant_deadline => {
                Reply::NotHolder
            }
            State::Free if self.has_later_send_withdrawn(previous_sends) => Reply::NotHolder,
            State::Free if !self.can_record_withdrawal(&attempt) => Reply::Full,
            State::Free => {
                self.state = State::Held {
                    attempt,
                    grant_deadline,
                    previous_sends,
                };
                Reply::Granted
            }
        }
    }

    /// Frees the key unless the grant's deadline has passed: a resend may since have got the reply
    /// `Unknown`, which must stay true.
    pub(crate) fn withdraw(&mut self, now: Timestamp, attempt: AttemptId) -> Reply {
        if self.has_withdrawn(&attempt) {
            return Reply::Done;
        }
        match &self.state {
            State::Held {
                attempt: holder,
                grant_deadline,
                previous_sends,
            } if *holder == attempt => {
                if now >= *grant_deadline {
                    return Reply::Unknown;
                }
                self.latest_withdrawn_send = self.latest_withdrawn_send.max(*previous_sends);
                self.state = State::Free;
                self.record_withdrawal(attempt);
                Reply::Done
            }
            State::Answered {
                attempt: holder,
                answer,
            } if *holder == attempt => Reply::Answered(answer.clone()),
            State::Abandoned { attempt: holder } if *holder == attempt => Reply::Unknown,
            State::Free | State::Held { .. } | State::Answered { .. } | State::Abandoned { .. } => {
                Reply::NotHolder
            }
        }
    }

    /// Stores the holder's answer, even after the grant's deadline.
    pub(crate) fn conclude(&mut self, attempt: AttemptId, answer: StoredAnswer) -> Reply {
        match &self.state {
            State::Held {
                attempt: holder, ..
            } if *holder == attempt => {
                self.state = State::Answered { attempt, answer };
                Reply::Done
            }
            State::Answered {
                attempt: holder, ..
            } if *holder == attempt => Reply::Done,
            State::Abandoned { attempt: holder } if *holder == attempt => Reply::Unknown,
            State::Free | State::Held { .. } | State::Answered { .. } | State::Abandoned { .. } => {
                Reply::NotHolder
            }
        }
    }

    pub(crate) fn abandon(&mut self, attempt: AttemptId) -> Reply {
        match &self.state {
            State::Held {
                attempt: holder, ..
            } if *holder == attempt => {
                self.state = State::Abandoned { attempt };
                Reply::Done
            }
            State::Abandoned { attempt: holder } if *holder == attempt => Reply::Done,
            State::Answered {
                attempt: holder,
                answer,
            } if *holder == attempt => Reply::Answered(answer.clone()),
            State::Free | State::Held { .. } | State::Answered { .. } | State::Abandoned { .. } => {
                Reply::NotHolder
            }
        }
    }
}
