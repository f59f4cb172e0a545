//! Errors of the rules file.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Longest offending text that an error quotes.
const MAX_QUOTED_CHARS: usize = 120;

/// An error in a rules file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RuleError {
    /// Line number, counted from 1.
    pub line: u32,
    /// The offending text, truncated if it is long.
    pub text: String,
    /// What is wrong with it.
    pub problem: String,
    /// How to fix it.
    pub fix: String,
}

impl RuleError {
    /// Creates an error about `text` on `line`.
    pub fn new(line: u32, text: &str, problem: impl Into<String>, fix: impl Into<String>) -> Self {
        Self {
            line,
            text: truncated(text),
            problem: problem.into(),
            fix: fix.into(),
        }
    }
}

impl fmt::Display for RuleError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "line {}: `{}`: {}; {}",
            self.line, self.text, self.problem, self.fix
        )
    }
}

impl std::error::Error for RuleError {}

fn truncated(text: &str) -> String {
    match text.char_indices().nth(MAX_QUOTED_CHARS) {
        Some((end, _)) => format!("{}...", &text[..end]),
        None => text.to_owned(),
    }
}
