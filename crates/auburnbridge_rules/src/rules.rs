//! A whole rules file.

use std::collections::HashMap;
use std::sync::Arc;

use auburnbridge_types::{AccountId, ByteSize, Millis, RatePerSecond, ServiceName, Slots};
use indexmap::IndexMap;

use crate::check::Checks;
use crate::error::RuleError;
use crate::grammar;
use crate::line::{ParsedLine, parse_line};
use crate::model::{
    Account, Class, EjectionDial, Method, Percent, Route, Service, Team, TeamScope,
};
use crate::path::PathPattern;
use crate::route_table::RouteTable;

/// Longest rules file, in bytes: 86,000 routes take about 9 MiB.
pub const MAX_TEXT_BYTES: usize = 32 << 20;

/// An accepted rules file.
#[derive(Clone, Debug)]
pub struct Rules {
    text: Arc<str>,
    services: IndexMap<ServiceName, Service>,
    routes: RouteTable,
    accounts: HashMap<AccountId, Account>,
    default_account: Account,
    key_retention: Millis,
    teams: Vec<Team>,
}

impl PartialEq for Rules {
    /// The text determines everything else.
    fn eq(&self, other: &Self) -> bool {
        self.text == other.text
    }
}

impl Eq for Rules {}

impl Default for Rules {
    fn default() -> Self {
        Self::empty("")
    }
}

impl Rules {
    /// Parses a file; a refused file gives every error, in the order of its lines.
    pub fn parse(text: &str) -> Result<Self, Vec<RuleError>> {
        if text.len() > MAX_TEXT_BYTES {
            return Err(vec![RuleError::new(
                1,
                &format!("{} bytes", text.len()),
                format!("the file is longer than {MAX_TEXT_BYTES} bytes"),
                "remove lines that are no longer needed",
            )]);
        }
        let mut errors = Vec::new();
        let mut checks = Checks::default();
        let mut rules = Self::empty(text);
        for (number, line_text) in (1..).zip(text.lines()) {
            let Some(line) = parse_line(number, line_text, &mut errors) else {
                checks.note_refused(line_text);
                continue;
            };
            if checks.observe(&line, line_text, &mut errors) {
                rules.add(&line);
            }
        }
        checks.finish(&rules, &mut errors);
        if errors.is_empty() {
            rules.routes.shrink_to_fit();
            Ok(rules)
        } else {
            errors.sort_by_key(|error| error.line);
            Err(errors)
        }
    }

    /// The text from which the rules were parsed.
    pub fn text(&self) -> &Arc<str> {
        &self.text
    }

    /// The route of a request; `path` is the request's path without its query.
    ///
    /// An exact path wins over a wildcard and a longer wildcard over a shorter one. A path that
    /// can't be normalized has no route.
    pub fn route(&self, method: Method, path: &str) -> Option<&Route> {
        self.routes.find(method, path)
    }

    /// Every route, in the order of the file.
    pub fn routes(&self) -> impl ExactSizeIterator<Item = &Route> {
        self.routes.iter()
    }

    /// The service of this name.
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.services.get(name)
    }

    /// Every service, in the order of the file.
    pub fn services(&self) -> impl ExactSizeIterator<Item = &Service> {
        self.services.values()
    }

    /// Limits of an account: those of its line, or the default ones.
    pub fn account(&self, account: &AccountId) -> Account {
        *self.accounts.get(account).unwrap_or(&self.default_account)
    }

    /// How long after its creation an idempotency key is remembered.
    pub fn key_retention(&self) -> Millis {
        self.key_retention
    }

    /// Every `team` line, in the order of the file.
    pub fn teams(&self) -> &[Team] {
        &self.teams
    }

    /// Rules without any line.
    fn empty(text: &str) -> Self {
        Self {
            text: text.into(),
            services: IndexMap::new(),
            routes: RouteTable::default(),
            accounts: HashMap::new(),
            default_account: Account {
                limit: grammar::DEFAULT_ACCOUNT_LIMIT,
                burst: grammar::DEFAULT_ACCOUNT_BURST,
            },
            key_retention: grammar::DEFAULT_KEY_RETENTION,
            teams: Vec::new(),
        }
    }

    fn add(&mut self, line: &ParsedLine<'_>) {
        match line.spec.name {
            name if name == grammar::SERVICE_LINE.name => self.add_service(line),
            name if name == grammar::ROUTE_LINE.name => self.add_route(line),
            name if name == grammar::ACCOUNT_LINE.name => self.add_account(line),
            name if name == grammar::KEYS_LINE.name => {
                self.key_retention = Millis(line.argument(0));
            }
            name if name == grammar::TEAM_LINE.name => self.add_team(line),
            name => unreachable!("`{name}` lines are declared and not read"),
        }
    }

    fn add_service(&mut self, line: &ParsedLine<'_>) {
        let name: ServiceName = valid(line.word(0));
        let dial = u8::try_from(line.option(&grammar::EJECTION));
        let service = Service {
            name: name.clone(),
            slots_floor: Slots(line.option_u32(&grammar::SLOTS_FLOOR)),
            slots_per_target: Slots(line.option_u32(&grammar::SLOTS_PER_TARGET)),
            most_targets: line.option_u32(&grammar::MOST_TARGETS),
            ejection: EjectionDial(dial.expect("the grammar bounds the dial to 100")),
            retry_percent: Percent(line.option_u32(&grammar::RETRY_PERCENT)),
            retry_rate: RatePerSecond(line.option_u32(&grammar::RETRY_RATE)),
            queue: line.option_u32(&grammar::QUEUE),
            lookup_share: Percent(line.option_u32(&grammar::LOOKUP_SHARE)),
            line: line.number,
        };
        self.services.insert(name, service);
    }

    fn add_route(&mut self, line: &ParsedLine<'_>) {
        let name: ServiceName = valid(line.word(2));
        let class: Class = valid(line.word(3));
        let path = PathPattern::parse(line.word(1));
        self.routes.insert(Route {
            method: valid(line.word(0)),
            path: path.expect("the grammar checked the path"),
            // Shares the allocation of the service's name when its line stands before the route.
            service: match self.services.get_key_value(&name) {
                Some((shared, _)) => shared.clone(),
                None => name,
            },
            class,
            timeout: Millis(line.option(&grammar::TIMEOUT)),
            largest_answer: ByteSize(line.option(&grammar::LARGEST_ANSWER)),
            line: line.number,
        });
    }

    fn add_account(&mut self, line: &ParsedLine<'_>) {
        let account = Account {
            limit: RatePerSecond(line.option_u32(&grammar::LIMIT)),
            burst: line.option_u32(&grammar::BURST),
        };
        if line.word(0) == grammar::DEFAULT_ACCOUNT {
            self.default_account = account;
        } else {
            self.accounts.insert(valid(line.word(0)), account);
        }
    }

    fn add_team(&mut self, line: &ParsedLine<'_>) {
        self.teams.push(Team {
            name: valid(line.word(0)),
            scope: match line.word(1) {
                "*" => TeamScope::Everything,
                service => TeamScope::Service(valid(service)),
            },
            line: line.number,
        });
    }
}

/// Converts a word that the grammar has checked.
fn valid<T: std::str::FromStr>(word: &str) -> T {
    word.parse()
        .ok()
        .expect("the grammar checked the word with the same parser")
}
