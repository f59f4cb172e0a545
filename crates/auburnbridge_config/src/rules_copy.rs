//! A copy of the rules that is updated by deltas.

use std::fmt;
use std::sync::Arc;

use auburnbridge_rules::{LineEdit, RuleError, Rules, TextDigest};
use auburnbridge_types::Revision;

use crate::delta::{Delta, DeltaLog};

/// The rules at one revision, with the most recent steps up to it.
///
/// The revision never decreases. A copy can serve deltas itself, so that entries can fetch rules
/// from each other while the keepers are unavailable.
#[derive(Clone, Debug)]
pub struct RulesCopy {
    revision: Revision,
    rules: Arc<Rules>,
    deltas: DeltaLog,
}

/// Reason why a delta is refused; the copy is left unchanged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DeltaError {
    /// The revision of the delta is lower than that of the copy.
    Lower {
        /// The copy's revision.
        current: Revision,
        /// The delta's revision.
        offered: Revision,
    },
    /// The delta is based on a different revision or a different text.
    BaseMismatch {
        /// The copy's revision.
        current: Revision,
        /// The revision on which the delta is based.
        base: Revision,
    },
    /// The digest of the text is not the one that the delta states for this revision.
    DigestMismatch {
        /// The delta's revision.
        revision: Revision,
    },
    /// The resulting rules are invalid for this version of the program.
    Invalid(Vec<RuleError>),
}

impl fmt::Display for DeltaError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Lower { current, offered } => {
                write!(f, "revision {offered} is below revision {current} in force")
            }
            Self::BaseMismatch { current, base } => write!(
                f,
                "the delta starts from another text of revision {base}; revision {current} is in force"
            ),
            Self::DigestMismatch { revision } => {
                write!(
                    f,
                    "the text of revision {revision} does not match its digest"
                )
            }
            Self::Invalid(errors) => {
                write!(f, "the delta leads to rules that are not valid")?;
                errors
                    .first()
                    .map_or(Ok(()), |error| write!(f, ": {error}"))
            }
        }
    }
}

impl std::error::Error for DeltaError {}

impl Default for RulesCopy {
    /// The empty rules of revision 0, the initial state of every installation.
    fn default() -> Self {
        Self {
            revision: Revision(0),
            rules: Arc::default(),
            deltas: DeltaLog::default(),
        }
    }
}

impl RulesCopy {
    /// The current revision.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Digest of the current text.
    pub fn digest(&self) -> TextDigest {
        self.rules.digest()
    }

    /// The current rules.
    pub fn rules(&self) -> &Arc<Rules> {
        &self.rules
    }

    /// The delta that updates a copy from `revision` to the revision of this one;
    /// [`Delta::Current`] if `revision` is not lower.
    pub fn delta_since(&self, revision: Revision) -> Delta {
        if revision >= self.revision {
            return Delta::Current {
                revision: self.revision,
            };
        }
        match self.deltas.since(revision) {
            Some((base_digest, line_edits)) => Delta::Lines {
                base: revision,
                base_digest,
                revision: self.revision,
                digest: self.digest(),
                line_edits,
            },
            None => self.whole(),
        }
    }

    /// A delta with the whole text, for a copy whose text does not match.
    pub fn whole(&self) -> Delta {
        Delta::Whole {
            revision: self.revision,
            digest: self.digest(),
            text: Arc::clone(self.rules.text()),
        }
    }

    /// Applies a delta and returns whether the revision changed.
    pub fn apply_delta(&mut self, delta: &Delta) -> Result<bool, DeltaError> {
        let offered = delta.revision();
        match delta {
            Delta::Current { .. } => Ok(false),
            _ if offered < self.revision => Err(DeltaError::Lower {
                current: self.revision,
                offered,
            }),
            Delta::Lines { digest, .. } | Delta::Whole { digest, .. }
                if offered == self.revision =>
            {
                self.check_digest(*digest)
            }
            Delta::Lines {
                base,
                base_digest,
                revision,
                digest,
                line_edits,
            } => {
                if *base != self.revision || *base_digest != self.digest() {
                    return Err(DeltaError::BaseMismatch {
                        current: self.revision,
                        base: *base,
                    });
                }
                let rules = self.rules.edited(line_edits).map_err(DeltaError::Invalid)?;
                self.advance(*revision, *digest, rules, Some(line_edits.clone()))
            }
            Delta::Whole {
                revision,
                digest,
                text,
            } => {
                let rules = Rules::parse(text).map_err(DeltaError::Invalid)?;
                self.advance(*revision, *digest, rules, None)
            }
        }
    }

    /// Moves to the next revision after an accepted edit.
    pub(crate) fn accept(&mut self, rules: Rules, line_edits: Option<Vec<LineEdit>>) -> Revision {
        self.install(self.revision.next(), rules, line_edits);
        self.revision
    }

    pub(crate) fn from_parts(revision: Revision, rules: Rules, deltas: DeltaLog) -> Self {
        Self {
            revision,
            rules: Arc::new(rules),
            deltas,
        }
    }

    pub(crate) fn deltas(&self) -> &DeltaLog {
        &self.deltas
    }

    fn advance(
        &mut self,
        revision: Revision,
        digest: TextDigest,
        rules: Rules,
        line_edits: Option<Vec<LineEdit>>,
    ) -> Result<bool, DeltaError> {
        if rules.digest() != digest {
            return Err(DeltaError::DigestMismatch { revision });
        }
        self.install(revision, rules, line_edits);
        Ok(true)
    }

    fn install(&mut self, revision: Revision, rules: Rules, line_edits: Option<Vec<LineEdit>>) {
        self.deltas.push(self.revision, self.digest(), line_edits);
        self.revision = revision;
        self.rules = Arc::new(rules);
    }

    /// Compares `digest`, which a delta states for the current revision, with that of the current
    /// text. Returns `Ok(false)`, since the revision does not change, if they are equal. Different
    /// texts for one revision mean that log order was violated.
    fn check_digest(&self, digest: TextDigest) -> Result<bool, DeltaError> {
        if digest == self.digest() {
            Ok(false)
        } else {
            Err(DeltaError::DigestMismatch {
                revision: self.revision,
            })
        }
    }
}
