//! Conversion of parsed lines into typed rules.

use std::str::FromStr;

use auburnbridge_types::{AccountId, ByteSize, Millis, RatePerSecond, ServiceName, Slots};

use crate::grammar;
use crate::line::ParsedLine;
use crate::model::{Account, EjectionSensitivity, Percent, Route, Service, Team, TeamScope};
use crate::path::PathPattern;

/// The rule that a line states.
pub(crate) enum Rule {
    Service(Service),
    Route(Route),
    Account(AccountId, Account),
    KeyRetention(Millis),
    Team(Team),
}

impl Rule {
    /// The service that a `route` or `team` line names.
    pub(crate) fn referenced_service(&self) -> Option<&ServiceName> {
        match self {
            Self::Route(route) => Some(&route.service),
            Self::Team(team) => team.service(),
            Self::Service(_) | Self::Account(..) | Self::KeyRetention(_) => None,
        }
    }
}

impl From<&ParsedLine<'_>> for Rule {
    fn from(line: &ParsedLine<'_>) -> Self {
        match line.spec.name {
            name if name == grammar::SERVICE_LINE.name => Self::Service(service(line)),
            name if name == grammar::ROUTE_LINE.name => Self::Route(route(line)),
            name if name == grammar::ACCOUNT_LINE.name => {
                Self::Account(parse_checked(line.word(0)), account(line))
            }
            name if name == grammar::KEYS_LINE.name => Self::KeyRetention(Millis(line.argument(0))),
            name if name == grammar::TEAM_LINE.name => Self::Team(team(line)),
            name => unreachable!("`{name}` lines are declared but not converted"),
        }
    }
}

fn service(line: &ParsedLine<'_>) -> Service {
    let sensitivity = u8::try_from(line.option(&grammar::EJECTION));
    Service {
        name: parse_checked(line.word(0)),
        slots_floor: Slots(line.option_u32(&grammar::SLOTS_FLOOR)),
        slots_per_target: Slots(line.option_u32(&grammar::SLOTS_PER_TARGET)),
        most_targets: line.option_u32(&grammar::MOST_TARGETS),
        ejection: EjectionSensitivity(
            sensitivity.expect("the grammar bounds the sensitivity to 100"),
        ),
        retry_percent: Percent(line.option_u32(&grammar::RETRY_PERCENT)),
        retry_rate: RatePerSecond(line.option_u32(&grammar::RETRY_RATE)),
        queue: line.option_u32(&grammar::QUEUE),
        lookup_share: Percent(line.option_u32(&grammar::LOOKUP_SHARE)),
    }
}

fn route(line: &ParsedLine<'_>) -> Route {
    Route {
        method: parse_checked(line.word(0)),
        path: PathPattern::from_checked(line.word(1)),
        service: parse_checked::<ServiceName>(line.word(2)),
        class: parse_checked(line.word(3)),
        timeout: Millis(line.option(&grammar::TIMEOUT)),
        largest_answer: ByteSize(line.option(&grammar::LARGEST_ANSWER)),
    }
}

fn account(line: &ParsedLine<'_>) -> Account {
    Account {
        limit: RatePerSecond(line.option_u32(&grammar::LIMIT)),
        burst: line.option_u32(&grammar::BURST),
    }
}

fn team(line: &ParsedLine<'_>) -> Team {
    Team {
        name: parse_checked(line.word(0)),
        scope: match line.word(1) {
            "*" => TeamScope::All,
            service => TeamScope::Service(parse_checked(service)),
        },
    }
}

/// Parses a word that the grammar has already checked.
fn parse_checked<T: FromStr>(word: &str) -> T {
    word.parse()
        .ok()
        .expect("the grammar checked the word with the same parser")
}
