//! Edits of single lines.

use serde::{Deserialize, Serialize};

use crate::digest::TextDigest;
use crate::error::RuleError;
use crate::line::file_lines;

/// An edit of one line. Edits of a list apply in order; line numbers start at 1.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LineEdit {
    /// Replaces the text of a line.
    Replace {
        /// Number of the line.
        line: u32,
        /// The new text, without a line feed.
        text: String,
    },
    /// Inserts a line before the line that has this number.
    Insert {
        /// Number of the new line, at most one more than the number of lines.
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
    /// Number of the edited line.
    pub fn line(&self) -> u32 {
        match self {
            Self::Replace { line, .. } | Self::Insert { line, .. } | Self::Remove { line } => *line,
        }
    }
}

/// Lines that a list of edits removes from a file and adds to it.
#[derive(Debug, Default)]
pub(crate) struct LineDelta<'a> {
    pub(crate) removed: Vec<&'a str>,
    pub(crate) added: Vec<&'a str>,
}

impl<'a> LineDelta<'a> {
    /// Computes the digest of the edited text from `digest`, that of the text before the edits.
    pub(crate) fn updated_digest(&self, digest: TextDigest) -> TextDigest {
        let kept = self
            .removed
            .iter()
            .fold(digest, |digest, line| digest.without_line(line));
        self.added
            .iter()
            .fold(kept, |digest, line| digest.with_line(line))
    }

    fn add(&mut self, line: &'a str) {
        self.added.push(line);
    }

    /// Records a removed line. A line that an earlier edit of the list added is dropped from
    /// `added` instead, since the tables don't hold it yet.
    fn remove(&mut self, line: &'a str) {
        match self.added.iter().position(|added| *added == line) {
            Some(position) => {
                self.added.swap_remove(position);
            }
            None => self.removed.push(line),
        }
    }
}

/// Applies the edits and returns the edited text, whose lines all end in a line feed, with the
/// lines that changed.
pub(crate) fn apply<'a>(
    text: &'a str,
    edits: &'a [LineEdit],
) -> Result<(String, LineDelta<'a>), RuleError> {
    let mut lines: Vec<&str> = file_lines(text).collect();
    let mut delta = LineDelta::default();
    for edit in edits {
        let index = line_index(edit, lines.len())?;
        match edit {
            LineEdit::Replace { text, .. } => {
                delta.remove(std::mem::replace(
                    &mut lines[index],
                    single_line(edit, text)?,
                ));
                delta.add(text);
            }
            LineEdit::Insert { text, .. } => {
                lines.insert(index, single_line(edit, text)?);
                delta.add(text);
            }
            LineEdit::Remove { .. } => delta.remove(lines.remove(index)),
        }
    }
    let mut edited = String::with_capacity(text.len() + edits.len() * 128);
    for line in lines {
        edited.push_str(line);
        edited.push('\n');
    }
    Ok((edited, delta))
}

fn line_index(edit: &LineEdit, line_count: usize) -> Result<usize, RuleError> {
    let end = match edit {
        LineEdit::Insert { .. } => line_count + 1,
        LineEdit::Replace { .. } | LineEdit::Remove { .. } => line_count,
    };
    usize::try_from(edit.line())
        .ok()
        .filter(|line| (1..=end).contains(line))
        .map(|line| line - 1)
        .ok_or_else(|| {
            RuleError::new(
                edit.line(),
                &edit.line().to_string(),
                format!("the number of the last line is {line_count}"),
                "name a line of the file",
            )
        })
}

/// Refuses a text of several lines.
fn single_line<'a>(edit: &LineEdit, text: &'a str) -> Result<&'a str, RuleError> {
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
