//! Reading of options with collection of all problems of a file.

use std::net::SocketAddr;

use auburnbridge_types::VmId;

use crate::declare::{Declaration, Presence};
use crate::document::Document;
use crate::error::Problem;
use crate::lists::PeerLocation;
use crate::value::Value;

/// Reads the options of a file and collects their problems.
pub struct Validator<'a> {
    document: Document<'a>,
    problems: Vec<Problem>,
}

impl<'a> Validator<'a> {
    /// Creates a validator and records the options that are unknown or repeated.
    pub(crate) fn new(document: Document<'a>, declarations: &[Declaration]) -> Self {
        let mut problems = Vec::new();
        let mut seen = Vec::new();
        for (name, option) in document.options() {
            if seen.contains(&name) {
                let fix = "keep one of them";
                problems.push(Problem::new(
                    option.line,
                    name,
                    "the option is given twice",
                    fix,
                ));
            } else if !declarations.iter().any(|known| known.name == name) {
                let names: Vec<_> = declarations.iter().map(|known| known.name).collect();
                let fix = format!("remove it or use one of {}", names.join(", "));
                problems.push(Problem::new(option.line, name, "unknown option", fix));
            }
            seen.push(name);
        }
        Self { document, problems }
    }

    /// Reads one option; returns `None` if a problem was recorded.
    pub fn read<T: Value>(&mut self, declaration: &Declaration) -> Option<T> {
        let name = declaration.name;
        let Some(option) = self.document.get(name) else {
            return self.resolve_absent(declaration);
        };
        let value = match T::from_json(option.json) {
            Ok(value) => value,
            Err(error) => {
                let line = option.line + error.line - 1;
                let line_text = || option.json.lines().nth(error.line - 1);
                let text = error.text.as_deref().or_else(line_text);
                let reason = format!("`{name}`: {}", error.reason);
                let fix = format!("write it like {}", T::EXAMPLE);
                self.add(line, text.unwrap_or(option.json), reason, fix);
                return None;
            }
        };
        if let Some(range) = declaration.range
            && !value.is_within(range.min, range.max)
        {
            let reason = format!("`{name}` is out of range");
            let fix = format!("choose {}{}", range, T::RANGE_UNIT);
            self.add(option.line, option.json, reason, fix);
            return None;
        }
        Some(value)
    }

    fn resolve_absent<T: Value>(&mut self, declaration: &Declaration) -> Option<T> {
        match declaration.presence {
            Presence::Default(text) => {
                Some(T::from_text(text).expect("declared defaults are valid"))
            }
            Presence::Optional => T::absent(),
            Presence::Required => {
                let reason = format!("`{}` is missing", declaration.name);
                let fix = format!("add \"{}\": {}", declaration.name, T::EXAMPLE);
                self.add(self.document.last_line, "}", reason, fix);
                None
            }
        }
    }

    /// Records a problem with the value of an option that was read.
    ///
    /// For an option that is not in the file and has its default, the problem refers to the last
    /// line.
    pub fn report(&mut self, name: &str, reason: &str, fix: &str) {
        match self.document.get(name) {
            Some(option) => self.add(option.line, option.json, reason, fix),
            None => self.add(self.document.last_line, name, reason, fix),
        }
    }

    fn add(&mut self, line: usize, text: &str, reason: impl Into<String>, fix: impl Into<String>) {
        self.problems.push(Problem::new(line, text, reason, fix));
    }

    /// Whether no problem was recorded.
    pub fn is_clean(&self) -> bool {
        self.problems.is_empty()
    }

    /// Returns the problems in the order of their lines.
    pub(crate) fn into_problems(mut self) -> Vec<Problem> {
        self.problems.sort_by_key(|problem| problem.line);
        self.problems
    }
}

impl Validator<'_> {
    /// Reports listeners that share an address.
    pub(crate) fn check_distinct_addresses(&mut self, listeners: &[(&str, SocketAddr)]) {
        for (number, (name, address)) in listeners.iter().enumerate() {
            let Some((other, _)) = listeners[..number].iter().find(|(_, used)| used == address)
            else {
                continue;
            };
            let reason = format!("`{name}` is the same as `{other}`");
            self.report(name, &reason, "give each its own port");
        }
    }

    /// Reports a list of other processes that contains this VM.
    pub(crate) fn check_excludes_self(&mut self, name: &str, own: &VmId, others: &[PeerLocation]) {
        if others.iter().any(|other| other.vm == *own) {
            let reason = format!("`{name}` contains this VM itself, `{own}`");
            self.report(name, &reason, "list other VMs only");
        }
    }
}
