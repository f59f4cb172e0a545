//! The state of one key.

use auburnbridge_types::{AttemptId, BodyDigest, Timestamp, VmId};
use serde::{Deserialize, Serialize};

use crate::{MAX_WITHDRAWN_PROCESSES, Reply, StoredAnswer};

/// The state of one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Record {
    pub(crate) body_digest: BodyDigest,
    pub(crate) state: State,
    withdrawn: Vec<WithdrawnProcess>,
    /// The latest send of the caller whose attempt withdrew, by its number of previous attempts.
    withdrawn_send: Option<u32>,
}

/// Who holds a key, or how it ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum State {
    /// Every earlier holder withdrew.
    Free,
    /// The attempt may dispatch.
    Held {
        attempt: AttemptId,
        deadline: Timestamp,
        previous_attempts: Option<u32>,
    },
    /// The attempt ran the request.
    Answered {
        attempt: AttemptId,
        answer: StoredAnswer,
    },
    /// The attempt lost track of the outcome.
    Abandoned { attempt: AttemptId },
}

/// The highest withdrawn sequence of one entry process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct WithdrawnProcess {
    vm: VmId,
    boot: u64,
    sequence: u64,
}

impl WithdrawnProcess {
    fn is_process_of(&self, attempt: &AttemptId) -> bool {
        self.boot == attempt.boot && self.vm == attempt.vm
    }
}

impl Record {
    /// The record of a key that no attempt has held.
    pub(crate) fn new(body_digest: BodyDigest) -> Self {
        Self {
            body_digest,
            state: State::Free,
            withdrawn: Vec::new(),
            withdrawn_send: None,
        }
    }

    pub(crate) fn stored_bytes(&self) -> u64 {
        match &self.state {
            State::Answered { answer, .. } => answer.stored_bytes(),
            State::Free | State::Held { .. } | State::Abandoned { .. } => 0,
        }
    }

    /// Whether the attempt withdrew, or a later one of the same process did.
    fn has_withdrawn(&self, attempt: &AttemptId) -> bool {
        self.withdrawn
            .iter()
            .any(|process| process.is_process_of(attempt) && attempt.sequence <= process.sequence)
    }

    /// Whether an attempt of a later send withdrew.
    fn has_withdrawn_after(&self, previous_attempts: Option<u32>) -> bool {
        previous_attempts.is_some_and(|send| Some(send) < self.withdrawn_send)
    }

    /// Whether a withdrawal by the attempt would fit.
    fn can_remember(&self, attempt: &AttemptId) -> bool {
        self.withdrawn.len() < MAX_WITHDRAWN_PROCESSES
            || self
                .withdrawn
                .iter()
                .any(|process| process.is_process_of(attempt))
    }

    fn remember_withdrawn(&mut self, attempt: AttemptId) {
        let known = self
            .withdrawn
            .iter_mut()
            .find(|process| process.is_process_of(&attempt));
        match known {
            Some(process) => process.sequence = process.sequence.max(attempt.sequence),
            None => self.withdrawn.push(WithdrawnProcess {
                vm: attempt.vm,
                boot: attempt.boot,
                sequence: attempt.sequence,
            }),
        }
    }

    pub(crate) fn grant(
        &mut self,
        now: Timestamp,
        body_digest: BodyDigest,
        attempt: AttemptId,
        deadline: Timestamp,
        previous_attempts: Option<u32>,
    ) -> Reply {
        if body_digest != self.body_digest {
            return Reply::BodyMismatch;
        }
        match &self.state {
            State::Answered { answer, .. } => Reply::Answered(answer.clone()),
            State::Abandoned { .. } => Reply::Unknown,
            State::Held { deadline, .. } if now >= *deadline => Reply::Unknown,
            State::Held {
                attempt: holder, ..
            } if *holder == attempt => Reply::Granted,
            State::Held { .. } => Reply::InProgress,
            State::Free if self.has_withdrawn(&attempt) || now >= deadline => Reply::NotHolder,
            State::Free if self.has_withdrawn_after(previous_attempts) => Reply::NotHolder,
            State::Free if !self.can_remember(&attempt) => Reply::Full,
            State::Free => {
                self.state = State::Held {
                    attempt,
                    deadline,
                    previous_attempts,
                };
                Reply::Granted
            }
        }
    }

    /// Frees the key, unless the grant's deadline has passed: a resend may have read `Unknown`
    /// since then, which must stay true.
    pub(crate) fn withdraw(&mut self, now: Timestamp, attempt: AttemptId) -> Reply {
        if self.has_withdrawn(&attempt) {
            return Reply::Done;
        }
        match &self.state {
            State::Held {
                attempt: holder,
                deadline,
                previous_attempts,
            } if *holder == attempt => {
                if now >= *deadline {
                    return Reply::Unknown;
                }
                self.withdrawn_send = self.withdrawn_send.max(*previous_attempts);
                self.state = State::Free;
                self.remember_withdrawn(attempt);
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

    /// Stores the holder's answer, also after the deadline.
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
