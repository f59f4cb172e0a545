//! State shared by all requests of an entry, and the path of one request.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use arc_swap::ArcSwapOption;
use async_std::task;
use auburnbridge_caller::{Disconnect, Problem, Service, TaskTracker};
use auburnbridge_http::{FramingError, Limits, Request, Response};
use auburnbridge_ledger::Command;
use auburnbridge_metrics::{Counter, Metrics, Timer};
use auburnbridge_policy::{
    AccountLimit, AccountLimiter, CrashReport, Observation, PoisonTable, RequestClass,
};
use auburnbridge_rules::{Class, Rules};
use auburnbridge_target::{ExchangeResult, NotSent, Unknown};
use auburnbridge_types::{
    AttemptId, BodyDigest, BoxFuture, Clock, ErrorKind, Millis, Revision, Timestamp, VmId,
};
use log::info;
use parking_lot::Mutex;

use crate::fleets::{Assignment, Fleets};
use crate::ledger_client::{LedgerClient, MeasuredLedger};
use crate::request::CallerRequest;
use crate::target_port::TargetPort;
use crate::{idempotent, keyed};

/// Header that tells a target which attempt it runs.
pub const ATTEMPT_HEADER: &str = "Auburnbridge-Attempt";
/// Header of a target's answer that says that it did not run the request.
pub const SHED_HEADER: &str = "Auburnbridge-Shed";

/// Time without an answer that counts against a target even if the route allows more.
const SILENCE: Millis = Millis(1_000);

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
    /// Counters and timers.
    pub metrics: Arc<Metrics>,
}

/// An entry's state.
///
/// Lock order: `accounts`, `poison` and the fleets' locks are never held together.
pub struct Entry {
    pub(crate) ports: Ports,
    pub(crate) fleets: Fleets,
    pub(crate) ledger: MeasuredLedger,
    settlements: TaskTracker,
    rules: ArcSwapOption<RulesInForce>,
    accounts: Mutex<AccountLimiter>,
    poison: Mutex<PoisonTable>,
    answer_limits: Limits,
    vm: VmId,
    boot: u64,
    attempts: AtomicU64,
}

/// Result of one exchange with a target.
pub(crate) enum Attempted {
    /// The target's whole answer.
    Answered(Response),
    /// The target did not run the request, because no slot was free.
    Shed,
    /// No byte was written.
    NotSent(NotSent),
    /// The request may have run.
    Unknown { reason: Unknown, crashed: bool },
}

impl Entry {
    /// Creates an entry without rules.
    pub fn new(vm: VmId, answer_limits: Limits, ports: Ports) -> Self {
        Self {
            fleets: Fleets::new(Arc::clone(&ports.metrics)),
            ledger: MeasuredLedger {
                client: Arc::clone(&ports.ledger),
                clock: Arc::clone(&ports.clock),
                metrics: Arc::clone(&ports.metrics),
            },
            settlements: TaskTracker::default(),
            ports,
            rules: ArcSwapOption::empty(),
            accounts: Mutex::default(),
            poison: Mutex::default(),
            answer_limits,
            vm,
            boot: rand::random(),
            attempts: AtomicU64::new(0),
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
        let revision = new.revision;
        let new = Arc::new(new);
        let previous = self.rules.rcu(|current| match current {
            Some(current) if current.revision >= revision => Some(Arc::clone(current)),
            _ => Some(Arc::clone(&new)),
        });
        let is_newer = previous.is_none_or(|previous| previous.revision < revision);
        if is_newer {
            self.fleets.apply_rules(now, &new.rules);
            info!("rules revision={revision} in_force=true");
        }
        is_newer
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

    /// Runs one exchange on the assigned target and takes its result as evidence.
    pub(crate) async fn attempt(
        &self,
        req: &CallerRequest,
        attempt: &AttemptId,
        assignment: Assignment,
    ) -> Attempted {
        let clock = &self.ports.clock;
        let start = clock.now();
        let message = outgoing(req, attempt, start);
        let limits = self
            .answer_limits
            .clone()
            .with_body_bytes(req.route.largest_answer);
        info!(
            "routing service={} target={} attempt={attempt} class={} {}",
            req.route.service,
            assignment.target(),
            req.route.class,
            assignment.figures()
        );
        let address = assignment.address();
        let exchange = self
            .ports
            .targets
            .exchange(
                address,
                &message,
                request_class(req.route.class),
                &limits,
                req.deadline,
            )
            .await;
        let now = clock.now();
        let attempted = match exchange.result {
            ExchangeResult::Answered(response) if is_shed(&response) => Attempted::Shed,
            ExchangeResult::Answered(response) => Attempted::Answered(response),
            ExchangeResult::NotSent(reason) => Attempted::NotSent(reason),
            ExchangeResult::Unknown {
                reason,
                answer_started,
            } => {
                let broke = matches!(reason, Unknown::Framing(error) if is_disconnect(error));
                let crashed = broke
                    && !answer_started
                    && self.ports.targets.refuses_connections(address).await;
                Attempted::Unknown { reason, crashed }
            }
        };
        info!(
            "exchange service={} target={} attempt={attempt} reused={} time={} result={}",
            req.route.service,
            assignment.target(),
            exchange.reused,
            now.since(start),
            attempted.summary()
        );
        let service = ("service", req.route.service.as_str());
        let metrics = &self.ports.metrics;
        metrics.count(Counter::Exchange, &[service, ("result", attempted.name())]);
        metrics.time(Timer::ExchangeTime, now.since(start), &[service]);
        assignment.finish(
            now,
            attempted.observation(now.since(start), req.route.timeout),
        );
        attempted
    }

    /// Tells the ledger how an attempt ended while the caller already gets its answer.
    ///
    /// A resend waits until the answer is stored. If this process dies first, the resend hears
    /// `unknown`, and the request doesn't run again.
    pub(crate) fn settle_later(&self, command: Command) {
        let ledger = self.ledger.clone();
        let guard = self.settlements.begin();
        task::spawn(async move {
            ledger.settle(command).await;
            drop(guard);
        });
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

impl Attempted {
    fn name(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::Shed => "shed",
            Self::NotSent(_) => "not-sent",
            Self::Unknown { .. } => "unknown",
        }
    }

    fn summary(&self) -> String {
        match self {
            Self::Answered(response) => format!("answered status={}", response.status),
            Self::Shed => "shed".to_owned(),
            Self::NotSent(reason) => format!("not-sent reason={reason:?}"),
            Self::Unknown { reason, crashed } => {
                format!("unknown reason={reason:?} crashed={crashed}")
            }
        }
    }

    /// What the result says about the target after `time`; the route allows `timeout`.
    fn observation(&self, time: Millis, timeout: Millis) -> Observation {
        match self {
            Self::Answered(response) if response.status >= 500 => Observation::ServerError,
            Self::Answered(_) => Observation::Answered(time),
            Self::Shed => Observation::Shed,
            Self::NotSent(reason) if reason.is_local() => Observation::NotAttributable,
            Self::NotSent(_) => Observation::ConnectFailed,
            // A request that crashes targets is no evidence; later refused connections are.
            Self::Unknown { crashed: true, .. } => Observation::NotAttributable,
            Self::Unknown { reason, .. } if reason.is_local() => Observation::NotAttributable,
            // A caller with a short deadline must not make a healthy target look sick.
            Self::Unknown {
                reason: Unknown::Deadline,
                ..
            } if time < timeout.min(SILENCE) => Observation::NotAttributable,
            Self::Unknown {
                reason: Unknown::Deadline,
                ..
            } => Observation::TimedOut,
            Self::Unknown { .. } => Observation::AnswerBroken,
        }
    }
}

fn is_disconnect(error: FramingError) -> bool {
    matches!(
        error,
        FramingError::ClosedBetweenMessages | FramingError::ClosedInHead | FramingError::Io(_)
    )
}

fn is_shed(response: &Response) -> bool {
    response.status == 503 && response.headers.text(SHED_HEADER) == Some("1")
}

/// The request as it goes to a target.
fn outgoing(req: &CallerRequest, attempt: &AttemptId, now: Timestamp) -> Request {
    let mut message = req.message.clone();
    message.verdict = auburnbridge_http::Verdict::Reuse;
    let left = req.deadline.since(now);
    message
        .headers
        .set(crate::request::DEADLINE_HEADER, left.0.to_string());
    message.headers.set(ATTEMPT_HEADER, attempt.to_string());
    message.headers.append("Via", "1.1 auburnbridge");
    message
}

/// The class as decisions about targets know it.
pub(crate) fn request_class(class: Class) -> RequestClass {
    match class {
        Class::Idempotent => RequestClass::Idempotent,
        Class::Once => RequestClass::Once,
    }
}
