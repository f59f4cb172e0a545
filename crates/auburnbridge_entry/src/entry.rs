//! State shared by all requests of an entry, and the handling of one request.

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
use auburnbridge_policy::poison::{CrashReport, PoisonTable, RunHistory, SuspectReport, Verdict};
use auburnbridge_policy::{AccountLimit, AccountLimiter};
use auburnbridge_rules::{RouteClass, Rules};
use auburnbridge_types::{
    AttemptId, BoxFuture, Clock, DataCentre, ErrorKind, Millis, RequestDigest, Revision, Timestamp,
    VmId,
};
use log::info;
use parking_lot::Mutex;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::fleets::Fleets;
use crate::ledger_client::{InstrumentedLedger, LedgerClient};
use crate::request::CallerRequest;
use crate::target_client::TargetClient;
use crate::{idempotent, keyed};

/// Rules that are in force on this entry.
#[derive(Debug)]
pub struct RulesInForce {
    /// Revision of the rules.
    pub revision: Revision,
    /// Parsed rules.
    pub rules: Arc<Rules>,
}

/// Reports what an entry learned of a request that crashes targets to the other entries, a crash before
/// its request is retried or answered.
pub trait CrashReporter: Send + Sync {
    /// Sends the report and waits up to 100 ms for acknowledgements.
    fn report(&self, report: SuspectReport) -> BoxFuture<'_, ()>;
}

/// Spawns tasks that outlive the request that started them.
pub trait TaskSpawner: Send + Sync {
    /// Spawns `task` without waiting for it.
    fn spawn(&self, task: BoxFuture<'static, ()>);
}

/// Spawns tasks on the `async-std` runtime.
#[derive(Clone, Copy, Debug, Default)]
pub struct RuntimeTaskSpawner;

impl TaskSpawner for RuntimeTaskSpawner {
    fn spawn(&self, task: BoxFuture<'static, ()>) {
        async_std::task::spawn(task);
    }
}

/// External dependencies of an [`Entry`]; tests replace them with fakes.
pub struct Dependencies {
    /// Clock for deadlines, waits and measurements.
    pub clock: Arc<dyn Clock>,
    /// Client of the ledger that the keepers replicate.
    pub ledger: Arc<dyn LedgerClient>,
    /// Client for exchanges with targets.
    pub targets: Arc<dyn TargetClient>,
    /// Reporter of crashes to the other entries.
    pub crashes: Arc<dyn CrashReporter>,
    /// Spawner of tasks that outlive their request.
    pub tasks: Arc<dyn TaskSpawner>,
    /// Counters and timers of the entry.
    pub metrics: Arc<Metrics>,
    /// Seed of the entry's random number generators; fixed in tests for reproducibility.
    pub seed: u64,
}

/// Place where an entry runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Location {
    /// VM of the entry.
    pub vm: VmId,
    /// Data centre of the entry.
    pub data_centre: DataCentre,
}

/// State of an entry, shared by all its requests.
///
/// Lock order: `rules_update`, then the locks of the fleets. No other lock is held together with
/// `accounts`, `poison` or `rng`.
pub struct Entry {
    pub(crate) deps: Dependencies,
    pub(crate) fleets: Fleets,
    pub(crate) ledger: InstrumentedLedger,
    /// Pending tasks of [`Entry::settle_later`].
    settlements: TaskTracker,
    rules: ArcSwapOption<RulesInForce>,
    /// Held while rules are put in force, so that the fleets and `rules` are updated in the same
    /// order.
    rules_update: Mutex<()>,
    accounts: Mutex<AccountLimiter>,
    poison: Mutex<PoisonTable>,
    pub(crate) answer_limits: Limits,
    vm: VmId,
    /// Random number that tells this process from other processes of the VM in its attempt ids.
    boot: u64,
    /// Number of attempt ids issued so far.
    attempts: AtomicU64,
    rng: Mutex<StdRng>,
}

impl Entry {
    /// Creates an entry without rules; it rejects all requests until rules are in force.
    pub fn new(location: Location, answer_limits: Limits, deps: Dependencies) -> Self {
        let mut rng = StdRng::seed_from_u64(deps.seed);
        Self {
            fleets: Fleets::new(
                location.data_centre,
                Arc::clone(&deps.clock),
                Arc::clone(&deps.metrics),
                deps.seed,
            ),
            ledger: InstrumentedLedger {
                client: Arc::clone(&deps.ledger),
                clock: Arc::clone(&deps.clock),
                metrics: Arc::clone(&deps.metrics),
            },
            settlements: TaskTracker::default(),
            deps,
            rules: ArcSwapOption::empty(),
            rules_update: Mutex::default(),
            accounts: Mutex::default(),
            poison: Mutex::default(),
            answer_limits,
            vm: location.vm,
            boot: rng.random(),
            attempts: AtomicU64::new(0),
            rng: Mutex::new(rng),
        }
    }

    /// Targets of all services, grouped into one fleet per service.
    pub fn fleets(&self) -> &Fleets {
        &self.fleets
    }

    /// Rules in force, or `None` before the first ones have arrived.
    pub fn rules(&self) -> Option<Arc<RulesInForce>> {
        self.rules.load_full()
    }

    /// Revision in force, or 0 without rules.
    pub fn revision(&self) -> Revision {
        self.rules().map_or(Revision(0), |rules| rules.revision)
    }

    /// Puts rules in force and returns `true`, unless the revision in force is the same or higher.
    /// The revision never decreases.
    pub fn put_in_force(&self, now: Timestamp, new: RulesInForce) -> bool {
        let _guard = self.rules_update.lock();
        let revision = new.revision;
        if self.rules().is_some_and(|rules| rules.revision >= revision) {
            return false;
        }
        // The fleets are updated first, so that every service exists before a route refers to it.
        self.fleets.apply_rules(now, &new.rules);
        self.rules.store(Some(Arc::new(new)));
        info!("rules revision={revision} in_force=true");
        true
    }

    /// Merges another entry's evidence about suspected targets.
    pub fn merge_evidence(&self, from: &VmId, evidence: &[ServiceEvidence]) {
        let now = self.deps.clock.now();
        self.fleets.merge_evidence(now, from, evidence);
    }

    /// Records what another entry reported of a request that crashes targets.
    pub fn record_suspect(&self, report: &SuspectReport) {
        let now = self.deps.clock.now();
        self.poison.lock().record(now, report);
    }

    pub(crate) fn is_poisoned(&self, digest: &RequestDigest) -> bool {
        let now = self.deps.clock.now();
        let verdict = self.poison.lock().verdict(now, digest);
        matches!(verdict, Verdict::Poisoned(_))
    }

    /// What is known of a request that is about to be sent to a target.
    pub(crate) fn run_history(&self, digest: &RequestDigest) -> RunHistory {
        let now = self.deps.clock.now();
        self.poison.lock().history(now, digest)
    }

    pub(crate) fn random_in(&self, range: RangeInclusive<u64>) -> u64 {
        self.rng.lock().random_range(range)
    }

    pub(crate) fn next_attempt(&self) -> AttemptId {
        AttemptId {
            vm: self.vm.clone(),
            boot: self.boot,
            sequence: self.attempts.fetch_add(1, Ordering::Relaxed),
        }
    }

    async fn handle(&self, message: Request, disconnect: Disconnect) -> Response {
        let now = self.deps.clock.now();
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
        if let Err(problem) = self.check_account_limit(&req, &rules.rules) {
            return self.refuse(&req, &req.reject_without_grant(problem));
        }
        let result = match req.route.class {
            RouteClass::Idempotent => idempotent::serve(self, &req, &disconnect).await,
            RouteClass::Once => keyed::serve(self, &req).await,
        };
        self.finish_request(&req, result)
    }

    /// Records the metrics of a request and returns the response to the caller.
    fn finish_request(&self, req: &CallerRequest, result: Result<Response, Problem>) -> Response {
        let tags = [
            ("service", req.route.service.as_str()),
            ("class", req.route.class.into()),
        ];
        let time = self.deps.clock.now().since(req.arrived);
        self.deps.metrics.time(Timer::RequestTime, time, &tags);
        match result {
            Ok(response) => {
                self.deps.metrics.count(Counter::RequestAnswered, &tags);
                response
            }
            Err(problem) => self.refuse(req, &problem),
        }
    }

    /// Rejects a request that exceeds the rate limit of its account.
    fn check_account_limit(&self, req: &CallerRequest, rules: &Rules) -> Result<(), Problem> {
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

    /// Logs and counts a rejection and returns its response.
    fn refuse(&self, req: &CallerRequest, problem: &Problem) -> Response {
        let waited = self.deps.clock.now().since(req.arrived);
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
        self.deps.metrics.count(Counter::RequestRefused, &tags);
        problem.to_response()
    }

    /// Settles an attempt in the background, so that the caller gets its answer at once. To settle
    /// is to send the ledger the command that ends the attempt: `Withdraw`, `Conclude` or
    /// `Abandon`.
    ///
    /// A resend waits until the answer is stored. If this process exits before that, the resend is
    /// answered with the outcome `unknown`, and the request does not run again.
    pub(crate) fn settle_later(&self, command: Command) {
        let ledger = self.ledger.clone();
        let guard = self.settlements.begin();
        self.deps.tasks.spawn(Box::pin(async move {
            ledger.settle(command).await;
            drop(guard);
        }));
    }

    /// Waits up to `limit` for the pending settlements; returns the number of those that remain.
    pub async fn wait_for_settlements(&self, limit: Millis) -> usize {
        self.settlements.close();
        self.settlements.wait(self.deps.clock.as_ref(), limit).await
    }

    /// Records the crash of a target and reports it to the other entries.
    pub(crate) async fn report_crash(&self, report: CrashReport) {
        info!(
            "crash target={} incarnation={} request={}",
            report.target, report.incarnation, report.request
        );
        self.deps.metrics.count(Counter::Crash, &[]);
        let report = SuspectReport::Crashed(report);
        self.record_suspect(&report);
        self.deps.crashes.report(report).await;
    }

    /// Records an answered run of a request. If it refutes crashes, the other entries learn it in the
    /// background.
    pub(crate) fn record_answer(&self, digest: &RequestDigest) {
        let Some(report) = self.poison.lock().record_answer(digest) else {
            return;
        };
        info!("answered after crashes request={digest}");
        let crashes = Arc::clone(&self.deps.crashes);
        let reported = async move { crashes.report(report).await };
        self.deps.tasks.spawn(Box::pin(reported));
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
