//! A complete, validated rules file.

use std::sync::Arc;

use auburnbridge_types::{AccountId, Millis, ServiceName};
use indexmap::{IndexMap, IndexSet};

use crate::check::{Checks, floor_is_reachable};
use crate::digest::TextDigest;
use crate::edit::{self, LineEdit};
use crate::error::RuleError;
use crate::grammar;
use crate::line::{file_lines, parse_line};
use crate::model::{Account, Method, Route, Service, Team};
use crate::route_table::RouteTable;
use crate::rule::Rule;

/// Largest rules file, in bytes; 86,000 routes take about 9 MiB.
pub const MAX_TEXT_BYTES: usize = 32 << 20;

/// An accepted rules file.
#[derive(Clone, Debug)]
pub struct Rules {
    text: Arc<str>,
    digest: TextDigest,
    services: IndexMap<ServiceName, Service>,
    routes: RouteTable,
    accounts: IndexMap<AccountId, Account>,
    default_account: AccountId,
    key_retention: Option<Millis>,
    teams: IndexSet<Team>,
}

impl PartialEq for Rules {
    /// The text determines everything else.
    fn eq(&self, other: &Self) -> bool {
        self.text == other.text
    }
}

impl Eq for Rules {}

impl Default for Rules {
    /// The rules of an empty file.
    fn default() -> Self {
        Self::empty("".into())
    }
}

impl Rules {
    /// Parses a file. The error lists every problem of the file, in the order of its lines.
    pub fn parse(text: &str) -> Result<Self, Vec<RuleError>> {
        check_size(text).map_err(|error| vec![error])?;
        let mut errors = Vec::new();
        let mut checks = Checks::new(text);
        let mut rules = Self::empty(text.into());
        for (number, line_text) in (1..).zip(file_lines(text)) {
            let Some(line) = parse_line(number, line_text, &mut errors) else {
                checks.record_refused(line_text);
                continue;
            };
            if !rules.add(Rule::from(&line)) {
                errors.push(checks.duplicate_error(number, line_text));
            }
        }
        checks.finish(&rules, &mut errors);
        if errors.is_empty() {
            rules.routes.shrink_to_fit();
            rules.digest = TextDigest::of(text);
            Ok(rules)
        } else {
            errors.sort_by_key(|error| error.line);
            Err(errors)
        }
    }

    /// Applies a few line edits, at a fraction of the cost of parsing the edited file.
    ///
    /// The result is the same as that of [`Self::parse`] for the edited text.
    pub fn edited(&self, edits: &[LineEdit]) -> Result<Self, Vec<RuleError>> {
        let (text, delta) = edit::apply(&self.text, edits).map_err(|error| vec![error])?;
        match self.edited_incrementally(&text, &delta) {
            Some(rules) => Ok(rules),
            // A parse of the whole text reports every error with its line.
            None => Self::parse(&text),
        }
    }

    /// The text from which the rules were parsed.
    pub fn text(&self) -> &Arc<str> {
        &self.text
    }

    /// Digest of the text.
    pub fn digest(&self) -> TextDigest {
        self.digest
    }

    /// The route of a request; `path` excludes the query.
    ///
    /// An exact path wins over a wildcard and a longer wildcard over a shorter one. A path that
    /// can't be normalized has no route.
    pub fn route(&self, method: Method, path: &str) -> Option<&Route> {
        self.routes.find(method, path)
    }

    /// Every route, in no particular order.
    pub fn routes(&self) -> impl ExactSizeIterator<Item = &Route> {
        self.routes.iter()
    }

    /// The service with this name.
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.services.get(name)
    }

    /// Every service, in no particular order.
    pub fn services(&self) -> impl ExactSizeIterator<Item = &Service> {
        self.services.values()
    }

    /// Limits of an account from its own line, else from `account default`, else the built-in ones.
    pub fn account(&self, account: &AccountId) -> Account {
        self.accounts
            .get(account)
            .or_else(|| self.accounts.get(&self.default_account))
            .copied()
            .unwrap_or(Account {
                limit: grammar::DEFAULT_ACCOUNT_LIMIT,
                burst: grammar::DEFAULT_ACCOUNT_BURST,
            })
    }

    /// How long after its creation an idempotency key is remembered.
    pub fn key_retention(&self) -> Millis {
        self.key_retention.unwrap_or(grammar::DEFAULT_KEY_RETENTION)
    }

    /// Every `team` line, in no particular order.
    pub fn teams(&self) -> impl ExactSizeIterator<Item = &Team> {
        self.teams.iter()
    }

    fn empty(text: Arc<str>) -> Self {
        let default_account = grammar::DEFAULT_ACCOUNT.parse();
        Self {
            text,
            digest: TextDigest::default(),
            services: IndexMap::new(),
            routes: RouteTable::default(),
            accounts: IndexMap::new(),
            default_account: default_account.expect("the name of the default account is valid"),
            key_retention: None,
            teams: IndexSet::new(),
        }
    }

    /// Applies edits to a copy of the tables; returns `None` if the result is not valid.
    fn edited_incrementally(&self, text: &str, delta: &edit::LineDelta<'_>) -> Option<Self> {
        check_size(text).ok()?;
        let mut rules = self.clone();
        rules.text = text.into();
        rules.digest = delta.updated_digest(self.digest);
        let mut errors = Vec::new();
        let mut parse = |line| parse_line(1, line, &mut errors).map(|line| Rule::from(&line));
        let mut service_removed = false;
        for rule in delta.removed.iter().filter_map(|line| parse(line)) {
            service_removed |= matches!(rule, Rule::Service(_));
            rules.remove(&rule);
        }
        let mut references = Vec::new();
        for rule in delta.added.iter().filter_map(|line| parse(line)) {
            references.extend(rule.referenced_service().cloned());
            if matches!(&rule, Rule::Service(service) if !floor_is_reachable(service)) {
                return None;
            }
            if !rules.add(rule) {
                return None;
            }
        }
        let known = |name: &ServiceName| rules.services.contains_key(name);
        let valid = errors.is_empty()
            && references.iter().all(known)
            && (!service_removed || rules.referenced_services().all(known));
        valid.then_some(rules)
    }

    /// The services that `route` and `team` lines name.
    pub(crate) fn referenced_services(&self) -> impl Iterator<Item = &ServiceName> {
        let routes = self.routes().map(|route| &route.service);
        let teams = self.teams().filter_map(Team::service);
        routes.chain(teams)
    }

    /// Adds a rule; returns `false` if there was one with the same key.
    fn add(&mut self, rule: Rule) -> bool {
        match rule {
            Rule::Service(service) => {
                let name = service.name.clone();
                self.services.insert(name, service).is_none()
            }
            Rule::Route(mut route) => {
                // All routes of a service share one allocation of its name.
                if let Some((shared, _)) = self.services.get_key_value(&route.service) {
                    route.service = shared.clone();
                }
                self.routes.insert(route)
            }
            Rule::Account(name, account) => self.accounts.insert(name, account).is_none(),
            Rule::KeyRetention(retention) => self.key_retention.replace(retention).is_none(),
            Rule::Team(team) => self.teams.insert(team),
        }
    }

    fn remove(&mut self, rule: &Rule) {
        match rule {
            Rule::Service(service) => {
                self.services.swap_remove(&service.name);
            }
            Rule::Route(route) => self.routes.remove(route.method, &route.path),
            Rule::Account(name, _) => {
                self.accounts.swap_remove(name);
            }
            Rule::KeyRetention(_) => self.key_retention = None,
            Rule::Team(team) => {
                self.teams.swap_remove(team);
            }
        }
    }
}

fn check_size(text: &str) -> Result<(), RuleError> {
    if text.len() <= MAX_TEXT_BYTES {
        return Ok(());
    }
    Err(RuleError::new(
        1,
        &format!("{} bytes", text.len()),
        format!("the file is longer than {MAX_TEXT_BYTES} bytes"),
        "remove lines that are no longer needed",
    ))
}
