//! Errors of a settings file.

use std::path::PathBuf;

/// Longest offending text that an error quotes.
const MAX_QUOTED_CHARS: usize = 60;

/// Reason why settings can't be loaded.
#[derive(Debug)]
pub enum SettingsError {
    /// The file can't be read.
    Read(PathBuf, std::io::Error),
    /// The content is not valid; every problem is listed.
    Invalid(PathBuf, Vec<Problem>),
}

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Read(path, error) => write!(
                f,
                "{}: can't be read: {error}; name an existing file with --settings",
                path.display()
            ),
            Self::Invalid(path, problems) => {
                for (number, problem) in problems.iter().enumerate() {
                    if number > 0 {
                        writeln!(f)?;
                    }
                    write!(f, "{}:{problem}", path.display())?;
                }
                Ok(())
            }
        }
    }
}

impl std::error::Error for SettingsError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Read(_, error) => Some(error),
            Self::Invalid(..) => None,
        }
    }
}

/// One error in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Line number, counted from 1.
    pub line: usize,
    /// The offending text, truncated if it is long.
    pub text: String,
    /// What is wrong.
    pub reason: String,
    /// How to fix it.
    pub fix: String,
}

impl Problem {
    /// Creates a problem about `text` on `line`.
    pub fn new(line: usize, text: &str, reason: impl Into<String>, fix: impl Into<String>) -> Self {
        Self {
            line,
            text: shorten(text),
            reason: reason.into(),
            fix: fix.into(),
        }
    }
}

impl std::fmt::Display for Problem {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self {
            line,
            text,
            reason,
            fix,
        } = self;
        write!(f, "{line}: `{text}`: {reason}; {fix}")
    }
}

/// Collapses white space, including line breaks, and truncates the text.
fn shorten(text: &str) -> String {
    let text = text.split_whitespace().collect::<Vec<_>>().join(" ");
    match text.char_indices().nth(MAX_QUOTED_CHARS) {
        Some((end, _)) => format!("{}…", &text[..end]),
        None => text,
    }
}
