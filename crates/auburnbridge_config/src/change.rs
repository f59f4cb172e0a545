//! Changes to the rules and their application to a text.

use auburnbridge_rules::{LineEdit, LineKey, RuleError, Rules, file_lines};
use serde::{Deserialize, Serialize};

use crate::edit::EditReply;
use crate::line_diff::diff_lines;

/// What an edit changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Replaces the whole file.
    ReplaceAll(String),
    /// Sets one line.
    SetLine {
        /// The line to replace; if `None`, the line with the same key is replaced, or the new line
        /// is appended if there is none.
        replaces: Option<LineSelector>,
        /// The new line, without a line feed.
        text: String,
    },
    /// Removes one line.
    RemoveLine {
        /// The line to remove.
        line: LineSelector,
    },
}

/// Selects a line of the rules text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LineSelector {
    /// By its leading words, regardless of the rest of the line.
    Key(LineKey),
    /// By its whole text, ignoring leading and trailing white space.
    Text(String),
}

impl LineSelector {
    /// Number of the first matching line, counted from 1.
    fn find(&self, text: &str) -> Option<u32> {
        match self {
            Self::Key(key) => key.find(text),
            Self::Text(wanted) => (1..)
                .zip(file_lines(text))
                .find(|(_, line)| line.trim() == wanted.trim())
                .map(|(number, _)| number),
        }
    }
}

/// Result of a change.
#[derive(Clone, Debug)]
pub struct ChangedRules {
    /// The new rules.
    pub rules: Rules,
    /// The line edits that turn the old text into the new one; `None` if there are too many for a
    /// delta.
    pub line_edits: Option<Vec<LineEdit>>,
}

/// Reason why a change can't be applied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeError {
    /// The resulting rules would be invalid.
    Invalid(Vec<RuleError>),
    /// No line matches.
    NoSuchLine,
}

impl From<ChangeError> for EditReply {
    fn from(error: ChangeError) -> Self {
        match error {
            ChangeError::Invalid(errors) => Self::invalid(errors),
            ChangeError::NoSuchLine => Self::NoSuchLine,
        }
    }
}

impl Change {
    /// Returns the rules that result from applying the change to `rules`.
    pub fn apply_to(&self, rules: &Rules) -> Result<ChangedRules, ChangeError> {
        let line_edits = match self {
            Self::ReplaceAll(text) => return replace_all(rules, text),
            Self::SetLine { replaces, text } => vec![set_line(rules, replaces.as_ref(), text)?],
            Self::RemoveLine { line } => {
                let line = line.find(rules.text()).ok_or(ChangeError::NoSuchLine)?;
                vec![LineEdit::Remove { line }]
            }
        };
        let edited = rules.edited(&line_edits).map_err(ChangeError::Invalid)?;
        Ok(ChangedRules {
            rules: edited,
            line_edits: Some(line_edits),
        })
    }

    /// Summary of the change in one line, for the history.
    pub(crate) fn summary(&self, changed: &ChangedRules) -> String {
        match self {
            Self::ReplaceAll(_) => replacement_summary(changed),
            Self::SetLine { text, .. } => match text.parse::<LineKey>() {
                Ok(key) => format!("set `{key}`"),
                Err(_) => "set a line without a rule".to_owned(),
            },
            Self::RemoveLine { line } => match line {
                LineSelector::Key(key) => format!("removed `{key}`"),
                LineSelector::Text(text) => match text.parse::<LineKey>() {
                    Ok(key) => format!("removed `{key}`"),
                    Err(_) => "removed a line without a rule".to_owned(),
                },
            },
        }
    }
}

/// Replaces the whole text; adds a missing final line feed, as line edits do.
fn replace_all(rules: &Rules, text: &str) -> Result<ChangedRules, ChangeError> {
    let mut text = text.to_owned();
    if !text.is_empty() && !text.ends_with('\n') {
        text.push('\n');
    }
    let line_edits = diff_lines(rules.text(), &text);
    // Operators who send the whole file have usually changed only a few lines, and applying those
    // is cheaper than parsing the file.
    let rules = match &line_edits {
        Some(line_edits) => rules.edited(line_edits),
        None => Rules::parse(&text),
    };
    let rules = rules.map_err(ChangeError::Invalid)?;
    Ok(ChangedRules { rules, line_edits })
}

fn set_line(
    rules: &Rules,
    replaces: Option<&LineSelector>,
    text: &str,
) -> Result<LineEdit, ChangeError> {
    let found = match replaces {
        Some(selector) => Some(selector.find(rules.text()).ok_or(ChangeError::NoSuchLine)?),
        None => text
            .parse::<LineKey>()
            .ok()
            .and_then(|key| key.find(rules.text())),
    };
    let text = text.to_owned();
    Ok(match found {
        Some(line) => LineEdit::Replace { line, text },
        None => LineEdit::Insert {
            line: after_last_line(rules.text()),
            text,
        },
    })
}

fn after_last_line(text: &str) -> u32 {
    let lines = u32::try_from(file_lines(text).count());
    lines.expect("the maximum file size keeps the line count within u32") + 1
}

fn replacement_summary(changed: &ChangedRules) -> String {
    let Some(line_edits) = &changed.line_edits else {
        let lines = file_lines(changed.rules.text()).count();
        return format!("replaced the file by one of {lines} lines");
    };
    let (mut replaced, mut added, mut removed) = (0, 0, 0);
    for edit in line_edits {
        match edit {
            LineEdit::Replace { .. } => replaced += 1,
            LineEdit::Insert { .. } => added += 1,
            LineEdit::Remove { .. } => removed += 1,
        }
    }
    format!("edited the file: {replaced} lines replaced, {added} added, {removed} removed")
}
