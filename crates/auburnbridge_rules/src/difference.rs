//! Differences between two accepted files.

use std::collections::HashMap;
use std::fmt;

use auburnbridge_types::ServiceName;

use crate::rule_line::{LineKey, RuleLine, rule_lines, same_content};
use crate::rules::Rules;

/// One rule that differs between two files.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RuleChange {
    /// The leading words that identify the line.
    pub key: LineKey,
    /// The line in the old file; `None` for an added rule.
    pub before: Option<ChangedLine>,
    /// The line in the new file; `None` for a removed rule.
    pub after: Option<ChangedLine>,
}

/// The old or the new line of a changed rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangedLine {
    /// Number of the line, counted from 1.
    pub number: u32,
    /// The line without surrounding white space.
    pub text: String,
    /// The service to which the line belongs; `None` for lines that apply to every service.
    pub service: Option<ServiceName>,
}

impl ChangedLine {
    fn new(line: &RuleLine<'_>) -> Self {
        Self {
            number: line.number,
            text: line.text.trim().to_owned(),
            service: line.service.and_then(|name| name.parse().ok()),
        }
    }
}

impl fmt::Display for RuleChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (&self.before, &self.after) {
            (Some(before), Some(after)) => write!(f, "- {}\n+ {}", before.text, after.text),
            (Some(before), None) => write!(f, "- {}", before.text),
            (None, Some(after)) => write!(f, "+ {}", after.text),
            (None, None) => Ok(()),
        }
    }
}

/// Lists the changed and added rules in the order of the new file, then the removed rules in the
/// order of the old file.
///
/// The order of lines, their spacing and lines without a rule are ignored.
pub fn difference(old: &Rules, new: &Rules) -> Vec<RuleChange> {
    let mut before: HashMap<LineKey, RuleLine<'_>> = rule_lines(old.text())
        .map(|line| (line.key.clone(), line))
        .collect();
    let mut changes = Vec::new();
    for line in rule_lines(new.text()) {
        let earlier = before.remove(&line.key);
        if earlier
            .as_ref()
            .is_some_and(|earlier| same_content(earlier.text, line.text))
        {
            continue;
        }
        changes.push(RuleChange {
            before: earlier.as_ref().map(ChangedLine::new),
            after: Some(ChangedLine::new(&line)),
            key: line.key,
        });
    }
    let mut removed: Vec<RuleLine<'_>> = before.into_values().collect();
    removed.sort_by_key(|line| line.number);
    changes.extend(removed.into_iter().map(|line| RuleChange {
        before: Some(ChangedLine::new(&line)),
        after: None,
        key: line.key,
    }));
    changes
}
