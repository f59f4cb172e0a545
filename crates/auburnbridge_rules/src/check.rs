//! Checks across lines: duplicate keys, unknown services and unreachable floors.

use std::cell::OnceCell;
use std::collections::{HashMap, HashSet};

use auburnbridge_types::ServiceName;

use crate::error::RuleError;
use crate::grammar::{ROUTE_LINE, SERVICE_LINE};
use crate::line::{SplitLine, file_lines, parse_line};
use crate::model::Service;
use crate::nearest::nearest;
use crate::rule::Rule;
use crate::rule_line::{LineKey, rule_lines};
use crate::rules::Rules;

/// Limit on "did you mean" suggestions. Each one compares a name with every service, which would
/// take minutes for a large file whose routes all name unknown services.
const MAX_SUGGESTIONS: usize = 100;

/// State of the checks of one file.
pub(crate) struct Checks<'a> {
    text: &'a str,
    /// Services whose own line is refused; references to them get no second error.
    refused_services: HashSet<&'a str>,
    line_index: OnceCell<LineIndex<'a>>,
}

/// Index of the lines by number and by key; built only if the file has an error.
struct LineIndex<'a> {
    lines: Vec<&'a str>,
    first_with_key: HashMap<LineKey, u32>,
}

impl<'a> Checks<'a> {
    pub(crate) fn new(text: &'a str) -> Self {
        Self {
            text,
            refused_services: HashSet::new(),
            line_index: OnceCell::new(),
        }
    }

    /// Records a line that holds no rule or was refused.
    pub(crate) fn record_refused(&mut self, text: &'a str) {
        if let Some(line) = SplitLine::parse(text)
            && line.words[0] == SERVICE_LINE.name
            && let Some(name) = line.words.get(1)
        {
            self.refused_services.insert(name);
        }
    }

    /// Error for a line whose key an earlier line already has.
    pub(crate) fn duplicate_error(&self, number: u32, text: &str) -> RuleError {
        let key = text.parse::<LineKey>();
        let key = key.expect("an accepted line has a key");
        let first = self.line_index().first_with_key[&key];
        let words = |text| SplitLine::parse(text).map(|line| line.words);
        let problem = if words(self.line_index().line(first)) == words(text) {
            format!("the line repeats line {first}")
        } else if key.as_str().starts_with(ROUTE_LINE.name) {
            format!("the route conflicts with line {first}, which has the same method and path")
        } else {
            format!("the line conflicts with line {first}, which starts with the same words")
        };
        RuleError::new(number, key.as_str(), problem, "keep one of the two")
    }

    /// Checks floors and references to services, after the last line.
    pub(crate) fn finish(&self, rules: &Rules, errors: &mut Vec<RuleError>) {
        for service in rules.services() {
            if !floor_is_reachable(service) {
                errors.push(self.unreachable_floor(service));
            }
        }
        let known = |name: &ServiceName| {
            rules.service(name).is_some() || self.refused_services.contains(name.as_str())
        };
        if !rules.referenced_services().all(known) {
            errors.extend(self.unknown_services(rules, known));
        }
    }

    fn unknown_services(
        &self,
        rules: &Rules,
        known: impl Fn(&ServiceName) -> bool,
    ) -> Vec<RuleError> {
        let mut errors = Vec::new();
        // The errors of refused lines are already in the caller's list.
        let mut ignored = Vec::new();
        for (number, text) in (1..).zip(file_lines(self.text)) {
            let rule = parse_line(number, text, &mut ignored).map(|line| Rule::from(&line));
            if let Some(name) = rule.as_ref().and_then(Rule::referenced_service)
                && !known(name)
            {
                let names = rules.services().map(|service| service.name.as_str());
                let suggestion = (errors.len() < MAX_SUGGESTIONS)
                    .then(|| nearest(name.as_str(), names))
                    .flatten();
                errors.push(unknown_service(number, name, suggestion));
            }
        }
        errors
    }

    fn unreachable_floor(&self, service: &Service) -> RuleError {
        let key = format!("{} {}", SERVICE_LINE.name, service.name).parse();
        let key: LineKey = key.expect("the words of a service line's key");
        let max_slots = max_slots(service);
        RuleError::new(
            self.line_index().first_with_key[&key],
            &format!("slots-floor {}", service.slots_floor),
            format!(
                "{} targets with {} slots each announce at most {max_slots} slots",
                service.most_targets, service.slots_per_target
            ),
            format!(
                "lower the floor to {max_slots} or less, or raise `most-targets` or `slots-per-target`"
            ),
        )
    }

    fn line_index(&self) -> &LineIndex<'a> {
        self.line_index.get_or_init(|| {
            let mut first_with_key = HashMap::new();
            for line in rule_lines(self.text) {
                first_with_key.entry(line.key).or_insert(line.number);
            }
            LineIndex {
                lines: file_lines(self.text).collect(),
                first_with_key,
            }
        })
    }
}

impl<'a> LineIndex<'a> {
    fn line(&self, number: u32) -> &'a str {
        let index = usize::try_from(number).unwrap_or(usize::MAX);
        self.lines[index - 1]
    }
}

/// Whether the expected targets can together announce as many slots as the floor requires.
pub(crate) fn floor_is_reachable(service: &Service) -> bool {
    u64::from(service.slots_floor.0) <= max_slots(service)
}

fn max_slots(service: &Service) -> u64 {
    u64::from(service.most_targets) * u64::from(service.slots_per_target.0)
}

fn unknown_service(line: u32, name: &ServiceName, suggestion: Option<&str>) -> RuleError {
    let fix = match suggestion {
        Some(known) => format!("did you mean `{known}`? Otherwise add a `service {name}` line"),
        None => format!("add a `service {name}` line"),
    };
    RuleError::new(line, name.as_str(), "no line declares this service", fix)
}
