//! Checks that compare lines with each other.

use std::collections::{HashMap, HashSet};

use auburnbridge_types::ServiceName;

use crate::error::RuleError;
use crate::grammar::{ROUTE_LINE, SERVICE_LINE};
use crate::line::{LineText, ParsedLine};
use crate::model::{Service, TeamScope};
use crate::nearest::nearest;
use crate::rules::Rules;

/// Facts gathered over the lines of one file.
#[derive(Default)]
pub(crate) struct Checks<'a> {
    first_lines: HashMap<Vec<&'a str>, FirstLine<'a>>,
    /// Services whose own line is refused; their routes need no second error.
    refused_services: HashSet<&'a str>,
}

struct FirstLine<'a> {
    number: u32,
    words: Vec<&'a str>,
}

impl<'a> Checks<'a> {
    /// Notes a line that holds no rule or was refused.
    pub(crate) fn note_refused(&mut self, text: &'a str) {
        if let Some(line) = LineText::split(text)
            && line.words[0] == SERVICE_LINE.name
            && let Some(name) = line.words.get(1)
        {
            self.refused_services.insert(name);
        }
    }

    /// Whether the line is the first one with its key; adds an error otherwise.
    pub(crate) fn observe(
        &mut self,
        line: &ParsedLine<'a>,
        text: &'a str,
        errors: &mut Vec<RuleError>,
    ) -> bool {
        let words = LineText::split(text).map_or_else(Vec::new, |split| split.words);
        if let Some(first) = self.first_lines.get(&line.key) {
            errors.push(repeated(line, &words, first));
            return false;
        }
        let first = FirstLine {
            number: line.number,
            words,
        };
        self.first_lines.insert(line.key.clone(), first);
        true
    }

    /// Checks references between lines, after the last one was read.
    pub(crate) fn finish(&self, rules: &Rules, errors: &mut Vec<RuleError>) {
        for service in rules.services() {
            errors.extend(unreachable_floor(service));
        }
        let route_lines = rules.routes().map(|route| (&route.service, route.line));
        let team_lines = rules.teams().iter().filter_map(|team| match &team.scope {
            TeamScope::Service(name) => Some((name, team.line)),
            TeamScope::Everything => None,
        });
        for (name, line) in route_lines.chain(team_lines) {
            let known =
                rules.service(name).is_some() || self.refused_services.contains(name.as_str());
            if !known {
                errors.push(unknown_service(line, name, rules));
            }
        }
    }
}

fn repeated(line: &ParsedLine<'_>, words: &[&str], first: &FirstLine<'_>) -> RuleError {
    let key = line.key.join(" ");
    let number = first.number;
    if words == first.words {
        let problem = format!("the line repeats line {number}");
        return RuleError::new(line.number, &key, problem, "remove one of the two");
    }
    let problem = if line.spec.name == ROUTE_LINE.name {
        format!("the route conflicts with line {number}, which has the same method and path")
    } else {
        format!("the line conflicts with line {number}, which starts with the same words")
    };
    RuleError::new(line.number, &key, problem, "keep one of the two")
}

/// A floor above the slots of all expected targets together could never be met.
fn unreachable_floor(service: &Service) -> Option<RuleError> {
    let per_target = service.slots_per_target.0;
    let most = u64::from(service.most_targets) * u64::from(per_target);
    let floor = u64::from(service.slots_floor.0);
    (floor > most).then(|| {
        let problem = format!(
            "{} targets with {per_target} slots each announce at most {most} slots",
            service.most_targets
        );
        RuleError::new(
            service.line,
            &format!("slots-floor {floor}"),
            problem,
            format!(
                "lower the floor to {most} or less, or raise `most-targets` or `slots-per-target`"
            ),
        )
    })
}

fn unknown_service(line: u32, name: &ServiceName, rules: &Rules) -> RuleError {
    let names = rules.services().map(|service| service.name.as_str());
    let fix = match nearest(name.as_str(), names) {
        Some(known) => format!("did you mean `{known}`? Otherwise add a `service {name}` line"),
        None => format!("add a `service {name}` line"),
    };
    RuleError::new(line, name.as_str(), "no line declares this service", fix)
}
