//! Edits of single lines.

use serde::{Deserialize, Serialize};

use crate::digest::TextDigest;
use crate::error::RuleError;
use crate::line::file_lines;

/// One edit; the edits of a list apply one after the other, and lines are counted from 1.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LineEdit {
    /// Puts another text in place of a line.
    Replace {
        /// Number of the line.
        line: u32,
        /// The new text, without a line feed.
        text: String,
    },
    /// Adds a line, which gets this number; the line that had it and those after it move down.
    Insert {
        /// Number of the new line, at most one more than there are lines.
        line: u32,
        /// The text, without a line feed.
        text: String,
    },
    /// Removes a line.
    Remove {
        /// Number of the line.
        line: u32,
    },
}

impl LineEdit {
    /// Number of the line that the edit concerns.
    pub fn line(&self) -> u32 {
        match self {
            Self::Replace { line, .. } | Self::Insert { line, .. } | Self::Remove { line } => *line,
        }
    }
}

/// Lines that a list of edits took out of a file and put into it.
#[derive(Debug, Default)]
pub(crate) struct Replaced<'a> {
    pub(crate) removed: Vec<&'a str>,
    pub(crate) added: Vec<&'a str>,
}

impl<'a> Replaced<'a> {
    /// The digest of the edited text, from that of the text before.
    pub(crate) fn update(&self, digest: TextDigest) -> TextDigest {
        let kept = self
            .removed
            .iter()
            .fold(digest, |digest, line| digest.without(line));
        self.added
            .iter()
            .fold(kept, |digest, line| digest.with(line))
    }

    fn add(&mut self, line: &'a str) {
        self.added.push(line);
    }

    /// Notes a line that was taken out; a line of an earlier edit of the list is in no table yet.
    fn remove(&mut self, line: &'a str) {
        match self.added.iter().position(|added| *added == line) {
            Some(position) => {
                self.added.swap_remove(position);
            }
            None => self.removed.push(line),
        }
    }
}

/// The edited text, which ends in a line feed, and the lines in which it differs.
pub(crate) fn apply<'a>(
    text: &'a str,
    edits: &'a [LineEdit],
) -> Result<(String, Replaced<'a>), RuleError> {
    let mut lines: Vec<&str> = file_lines(text).collect();
    let mut replaced = Replaced::default();
    for edit in edits {
        let index = index(edit, lines.len())?;
        match edit {
            LineEdit::Replace { text, .. } => {
                replaced.remove(std::mem::replace(&mut lines[index], checked(edit, text)?));
                replaced.add(text);
            }
            LineEdit::Insert { text, .. } => {
                lines.insert(index, checked(edit, text)?);
                replaced.add(text);
            }
            LineEdit::Remove { .. } => replaced.remove(lines.remove(index)),
        }
    }
    let mut edited = String::with_capacity(text.len() + edits.len() * 128);
    for line in lines {
        edited.push_str(line);
        edited.push('\n');
    }
    Ok((edited, replaced))
}

fn index(edit: &LineEdit, count: usize) -> Result<usize, RuleError> {
    let end = match edit {
        LineEdit::Insert { .. } => count + 1,
        LineEdit::Replace { .. } | LineEdit::Remove { .. } => count,
    };
    usize::try_from(edit.line())
        .ok()
        .filter(|line| (1..=end).contains(line))
        .map(|line| line - 1)
        .ok_or_else(|| {
            RuleError::new(
                edit.line(),
                &edit.line().to_string(),
                format!("the number of the last line is {count}"),
                "name a line of the file",
            )
        })
}

/// Refuses a text that would become several lines.
fn checked<'a>(edit: &LineEdit, text: &'a str) -> Result<&'a str, RuleError> {
    if text.contains('\n') {
        let fix = "send one line, without a line feed";
        let quoted = text.escape_debug().to_string();
        return Err(RuleError::new(
            edit.line(),
            &quoted,
            "the text holds several lines",
            fix,
        ));
    }
    Ok(text)
}
