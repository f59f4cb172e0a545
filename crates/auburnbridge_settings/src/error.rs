//! Errors of a settings file.

use std::path::PathBuf;

/// Longest part of the offending text that an error shows.
const SHOWN_CHARACTERS: usize = 60;

/// Reason why settings can't be loaded.
#[derive(Debug)]
pub enum SettingsError {
    /// The file can't be read.
    Read(PathBuf, std::io::Error),
    /// The content is not valid; each problem is listed.
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
    /// Line, from 1.
    pub line: usize,
    /// The offending text, shortened.
    pub text: String,
    /// What is wrong.
    pub reason: String,
    /// What to write instead.
    pub fix: String,
}

impl Problem {
    /// Describes a problem with `text` at `line`.
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

/// Joins the words of a text that may span lines, and cuts it.
fn shorten(text: &str) -> String {
    let text = text.split_whitespace().collect::<Vec<_>>().join(" ");
    match text.char_indices().nth(SHOWN_CHARACTERS) {
        Some((end, _)) => format!("{}…", &text[..end]),
        None => text,
    }
}
