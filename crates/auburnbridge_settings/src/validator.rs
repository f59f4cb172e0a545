//! Collection of the problems of one file.

use std::net::SocketAddr;

use auburnbridge_types::VmId;

use crate::declare::{Declaration, Presence};
use crate::document::Document;
use crate::error::Problem;
use crate::lists::PeerLocation;
use crate::value::Value;

/// Reads options and collects what is wrong with them.
pub struct Checks<'a> {
    document: Document<'a>,
    problems: Vec<Problem>,
}

impl<'a> Checks<'a> {
    /// Starts with the names of the options, which must be declared and unique.
    pub(crate) fn new(document: Document<'a>, declarations: &[Declaration]) -> Self {
        let mut problems = Vec::new();
        let mut seen = Vec::new();
        for (name, option) in document.options() {
            if seen.contains(&name) {
                let fix = "keep one of them";
                problems.push(Problem::new(
                    option.line,
                    name,
                    "the option stands twice",
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

    /// Reads one option; `None` means that a problem was recorded.
    pub fn read<T: Value>(&mut self, declaration: &Declaration) -> Option<T> {
        let name = declaration.name;
        let Some(option) = self.document.get(name) else {
            return self.read_absent(declaration);
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
            && !value.is_within(range.first, range.last)
        {
            let reason = format!("`{name}` is out of range");
            let fix = format!("choose {}{}", range, T::RANGE_UNIT);
            self.add(option.line, option.json, reason, fix);
            return None;
        }
        Some(value)
    }

    fn read_absent<T: Value>(&mut self, declaration: &Declaration) -> Option<T> {
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
    /// An option that is not in the file is named at the last line, with its default in force.
    pub fn refuse(&mut self, name: &str, reason: &str, fix: &str) {
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

    /// The problems in the order of their lines.
    pub(crate) fn into_problems(mut self) -> Vec<Problem> {
        self.problems.sort_by_key(|problem| problem.line);
        self.problems
    }
}

impl Checks<'_> {
    /// Refuses two listeners on one address.
    pub(crate) fn refuse_shared_addresses(&mut self, listeners: &[(&str, SocketAddr)]) {
        for (number, (name, address)) in listeners.iter().enumerate() {
            let Some((other, _)) = listeners[..number].iter().find(|(_, used)| used == address)
            else {
                continue;
            };
            let reason = format!("`{name}` is the same as `{other}`");
            self.refuse(name, &reason, "give each its own port");
        }
    }

    /// Refuses a list of other processes that holds this one.
    pub(crate) fn refuse_own_name(&mut self, name: &str, own: &VmId, others: &[PeerLocation]) {
        if others.iter().any(|other| other.vm == *own) {
            let reason = format!("`{name}` holds this VM itself, `{own}`");
            self.refuse(name, &reason, "list other VMs only");
        }
    }
}
