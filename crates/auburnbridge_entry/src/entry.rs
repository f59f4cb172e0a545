//! State shared by all requests of an entry, and the path of one request.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use arc_swap::ArcSwapOption;
use auburnbridge_caller::{Disconnect, Problem, Service, TaskTracker};
use auburnbridge_http::{Limits, Request, Response};
use auburnbridge_ledger::Command;
use auburnbridge_messages::ServiceEvidence;
use auburnbridge_metrics::{Counter, Metrics, Timer};
use auburnbridge_policy::{AccountLimit, AccountLimiter, CrashReport, PoisonTable};
use auburnbridge_rules::{Class, Rules};
use auburnbridge_types::{
    AttemptId, BodyDigest, BoxFuture, Clock, DataCentre, ErrorKind, Millis, Revision, Timestamp,
    VmId,
};
use log::info;
use parking_lot::Mutex;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::fleets::Fleets;
use crate::ledger_client::{LedgerClient, MeasuredLedger};
use crate::request::CallerRequest;
use crate::target_port::TargetPort;
use crate::{idempotent, keyed};

/// Rules that are in force on this entry.
#[derive(Debug)]
pub struct RulesInForce {
    /// Their revision.
    pub revision: Revision,
    /// The rules.
    pub rules: Arc<Rules>,
}

/// Tells the other entries of a crashed target before the request goes on.
pub trait CrashReporter: Send + Sync {
    /// Sends the report and waits for acknowledgements, at most 100 ms.
    fn report(&self, report: CrashReport) -> BoxFuture<'_, ()>;
}

/// Runs work that outlives the request which started it.
pub trait Tasks: Send + Sync {
    /// Starts `task` and returns at once.
    fn spawn(&self, task: BoxFuture<'static, ()>);
}

/// Runs tasks on the runtime of `async-std`.
#[derive(Clone, Copy, Debug, Default)]
pub struct RuntimeTasks;

impl Tasks for RuntimeTasks {
    fn spawn(&self, task: BoxFuture<'static, ()>) {
        async_std::task::spawn(task);
    }
}

/// Connections of an [`Entry`] to the rest of the system.
pub struct Ports {
    /// Source of time.
    pub clock: Arc<dyn Clock>,
    /// The ledger on the keepers.
    pub ledger: Arc<dyn LedgerClient>,
    /// The targets.
    pub targets: Arc<dyn TargetPort>,
    /// The other entries.
    pub crashes: Arc<dyn CrashReporter>,
    /// Work that outlives its request.
    pub tasks: Arc<dyn Tasks>,
    /// Counters and timers.
    pub metrics: Arc<Metrics>,
    /// Seed of the entry's random choices, which tests repeat.
    pub seed: u64,
}

/// Where an entry runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Location {
    /// Its VM.
    pub vm: VmId,
    /// Its data centre.
    pub data_centre: DataCentre,
}

/// An entry's state.
///
/// Lock order: `rules_change`, then the fleets' locks. `accounts`, `poison` and `random` are
/// never held with another lock.
pub struct Entry {
    pub(crate) ports: Ports,
    pub(crate) fleets: Fleets,
    pub(crate) ledger: MeasuredLedger,
    settlements: TaskTracker,
    rules: ArcSwapOption<RulesInForce>,
    /// Held while rules are put in force, so that the fleets and `rules` change in the same order.
    rules_change: Mutex<()>,
    accounts: Mutex<AccountLimiter>,
    poison: Mutex<PoisonTable>,
    pub(crate) answer_limits: Limits,
    vm: VmId,
    boot: u64,
    attempts: AtomicU64,
    random: Mutex<StdRng>,
}

impl Entry {
    /// Creates an entry without rules.
    pub fn new(location: Location, answer_limits: Limits, ports: Ports) -> Self {
        let mut random = StdRng::seed_from_u64(ports.seed);
        Self {
            fleets: Fleets::new(
                location.data_centre,
                Arc::clone(&ports.clock),
                Arc::clone(&ports.metrics),
                ports.seed,
            ),
            ledger: MeasuredLedger {
                client: Arc::clone(&ports.ledger),
                clock: Arc::clone(&ports.clock),
                metrics: Arc::clone(&ports.metrics),
            },
            settlements: TaskTracker::default(),
            ports,
            rules: ArcSwapOption::empty(),
            rules_change: Mutex::default(),
            accounts: Mutex::default(),
            poison: Mutex::default(),
            answer_limits,
            vm: location.vm,
            boot: random.random(),
            attempts: AtomicU64::new(0),
            random: Mutex::new(random),
        }
    }

    /// The targets of all services.
    pub fn fleets(&self) -> &Fleets {
        &self.fleets
    }

    /// The rules in force.
    pub fn rules(&self) -> Option<Arc<RulesInForce>> {
        self.rules.load_full()
    }

    /// The revision in force; zero without rules.
    pub fn revision(&self) -> Revision {
        self.rules().map_or(Revision(0), |rules| rules.revision)
    }

    /// Puts rules in force unless the ones in force are as new; a revision never reverts.
    pub fn put_in_force(&self, now: Timestamp, new: RulesInForce) -> bool {
        let _changing = self.rules_change.lock();
        let revision = new.revision;
        if self.rules().is_some_and(|rules| rules.revision >= revision) {
            return false;
        }
        // The fleets come first, so that no request meets a route without its service.
        self.fleets.apply_rules(now, &new.rules);
        self.rules.store(Some(Arc::new(new)));
        info!("rules revision={revision} in_force=true");
        true
    }

    /// Takes over what another entry saw of suspected targets.
    pub fn merge_evidence(&self, from: &VmId, evidence: &[ServiceEvidence]) {
        let now = self.ports.clock.now();
        self.fleets.merge_evidence(now, from, evidence);
    }

    /// Takes over a crash report of another entry.
    pub fn record_crash(&self, report: CrashReport) {
        let now = self.ports.clock.now();
        self.poison.lock().record(now, report);
    }

    pub(crate) fn is_poisoned(&self, digest: &BodyDigest) -> bool {
        let now = self.ports.clock.now();
        self.poison.lock().is_poisoned(now, digest)
    }

    pub(crate) fn random_in(&self, range: RangeInclusive<u64>) -> u64 {
        self.random.lock().random_range(range)
    }

    pub(crate) fn next_attempt(&self) -> AttemptId {
        AttemptId {
            vm: self.vm.clone(),
            boot: self.boot,
            sequence: self.attempts.fetch_add(1, Ordering::Relaxed),
        }
    }

    async fn handle(&self, message: Request, disconnect: Disconnect) -> Response {
        let now = self.ports.clock.now();
        let Some(rules) = self.rules() else {
            return Problem::new(ErrorKind::RulesUnavailable, "no rules have arrived yet")
                .for_possible_resend()
                .to_response();
        };
        let req = match CallerRequest::read(message, &rules.rules, now) {
            Ok(req) => req,
            Err(problem) => {
                info!(
                    "request refused kind={} detail={:?}",
                    problem.kind, problem.detail
                );
                return problem.to_response();
            }
        };
        if let Err(problem) = self.admit(&req, &rules.rules) {
            return self.refuse(&req, &req.refuse_unread(problem));
        }
        let served = match req.route.class {
            Class::Idempotent => idempotent::serve(self, &req, &disconnect).await,
            Class::Once => keyed::serve(self, &req).await,
        };
        self.conclude(&req, served)
    }

    /// The response to the caller, counted.
    fn conclude(&self, req: &CallerRequest, served: Result<Response, Problem>) -> Response {
        let tags = [
            ("service", req.route.service.as_str()),
            ("class", req.route.class.into()),
        ];
        let time = self.ports.clock.now().since(req.arrived);
        self.ports.metrics.time(Timer::RequestTime, time, &tags);
        match served {
            Ok(response) => {
                self.ports.metrics.count(Counter::RequestAnswered, &tags);
                response
            }
            Err(problem) => self.refuse(req, &problem),
        }
    }

    fn admit(&self, req: &CallerRequest, rules: &Rules) -> Result<(), Problem> {
        let account = rules.account(&req.account);
        let limit = AccountLimit {
            rate: account.limit,
            burst: account.burst,
        };
        let admitted = self.accounts.lock().admit(req.arrived, &req.account, limit);
        admitted.map_err(|wait| {
            let detail = format!("the limit of {} is {}", req.account, account.limit);
            let seconds = u32::try_from(wait.0.div_ceil(1000)).unwrap_or(u32::MAX);
            Problem::new(ErrorKind::AccountLimited, detail).with_retry_after(seconds)
        })
    }

    /// Logs and counts a rejection and gives its response.
    fn refuse(&self, req: &CallerRequest, problem: &Problem) -> Response {
        let waited = self.ports.clock.now().since(req.arrived);
        info!(
            "request refused service={} account={} method={} path={} kind={} outcome={} after={waited} detail={:?}",
            req.route.service,
            req.account,
            req.message.method,
            req.message.path,
            problem.kind,
            problem.outcome(),
            problem.detail
        );
        let tags = [
            ("service", req.route.service.as_str()),
            ("kind", problem.kind.into()),
            ("outcome", problem.outcome().into()),
        ];
        self.ports.metrics.count(Counter::RequestRefused, &tags);
        problem.to_response()
    }

    /// Tells the ledger how an attempt ended while the caller already gets its answer.
    ///
    /// A resend waits until the answer is stored. If this process dies first, the resend hears
    /// `unknown`, and the request doesn't run again.
    pub(crate) fn settle_later(&self, command: Command) {
        let ledger = self.ledger.clone();
        let guard = self.settlements.begin();
        self.ports.tasks.spawn(Box::pin(async move {
            ledger.settle(command).await;
            drop(guard);
        }));
    }

    /// Waits until the ledger knows how all requests ended, at most for `limit`.
    pub async fn wait_settled(&self, limit: Millis) -> usize {
        self.settlements.close();
        self.settlements
            .wait(self.ports.clock.as_ref(), limit)
            .await
    }

    /// Records the crash of a target and tells the other entries.
    pub(crate) async fn report_crash(&self, report: CrashReport) {
        info!(
            "crash target={} incarnation={} request={}",
            report.target, report.incarnation, report.request
        );
        self.ports.metrics.count(Counter::Crash, &[]);
        self.record_crash(report.clone());
        self.ports.crashes.report(report).await;
    }
}

impl Service for Entry {
    fn respond(
        &self,
        req: Request,
        _caller: SocketAddr,
        disconnect: Disconnect,
    ) -> BoxFuture<'_, Response> {
        Box::pin(self.handle(req, disconnect))
    }
}
