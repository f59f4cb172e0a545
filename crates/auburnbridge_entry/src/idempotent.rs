//! Requests that may run more than once: retried on other targets within budget and deadline.

use auburnbridge_caller::{Disconnect, Problem};
use auburnbridge_http::Response;
use auburnbridge_metrics::Counter;
use auburnbridge_policy::{CrashReport, TargetKey};
use auburnbridge_types::ErrorKind;
use futures_lite::FutureExt;

use crate::backoff::Backoff;
use crate::entry::{Attempted, Entry, request_class};
use crate::request::CallerRequest;

/// Serves a request unless its caller goes away, which cancels the exchange at the target.
pub(crate) async fn serve(
    entry: &Entry,
    req: &CallerRequest,
    disconnect: &Disconnect,
) -> Result<Response, Problem> {
    let gone = async {
        disconnect.wait().await;
        let detail = "the caller disconnected";
        Err(Problem::new(ErrorKind::AnswerIncomplete, detail))
    };
    serve_with_retries(entry, req).or(gone).await
}

async fn serve_with_retries(entry: &Entry, req: &CallerRequest) -> Result<Response, Problem> {
    let mut may_have_run = false;
    let served = try_targets(entry, req, &mut may_have_run).await;
    // A later attempt that sent no byte does not undo an earlier one that may have run.
    served.map_err(|problem| {
        if may_have_run {
            problem.for_possible_resend()
        } else {
            problem
        }
    })
}

async fn try_targets(
    entry: &Entry,
    req: &CallerRequest,
    may_have_run: &mut bool,
) -> Result<Response, Problem> {
    let service = entry.fleets.get(&req.route.service).ok_or_else(no_target)?;
    let clock = &entry.ports.clock;
    let digest = req.digest();
    let class = request_class(req.route.class);
    service.record_request(req.arrived);
    let mut excluded: Vec<TargetKey> = Vec::new();
    let mut failure = no_target();
    let mut backoff = Backoff::after_shed();
    loop {
        if entry.is_poisoned(&digest) {
            let detail = "it crashed two targets";
            return Err(Problem::new(ErrorKind::RequestPoisoned, detail));
        }
        let Some(assignment) = service.choose(clock.now(), class, &excluded) else {
            if failure.kind != ErrorKind::Overloaded
                || !backoff.wait(clock.as_ref(), req.deadline).await
            {
                return Err(failure);
            }
            excluded.clear();
            continue;
        };
        let key = assignment.key();
        let target = assignment.target().clone();
        let incarnation = assignment.incarnation();
        let attempt = entry.next_attempt();
        excluded.push(key);
        match entry.attempt(req, &attempt, assignment).await {
            Attempted::Answered(response) => return Ok(response),
            Attempted::Shed => {
                failure =
                    Problem::new(ErrorKind::Overloaded, "every target tried shed the request");
            }
            Attempted::NotSent(reason) => {
                failure = Problem::new(reason.kind(), format!("{target}: {reason:?}"));
            }
            Attempted::Unknown { reason, crashed } => {
                *may_have_run = true;
                failure = Problem::new(reason.kind(), format!("{target}: {reason:?}"));
                if crashed {
                    entry
                        .report_crash(CrashReport {
                            request: digest,
                            target,
                            incarnation,
                        })
                        .await;
                }
                if clock.now() >= req.deadline || !service.try_retry(clock.now()) {
                    return Err(failure);
                }
                let service = ("service", req.route.service.as_str());
                entry.ports.metrics.count(Counter::Retry, &[service]);
            }
        }
        if clock.now() >= req.deadline {
            return Err(failure);
        }
    }
}

fn no_target() -> Problem {
    Problem::new(ErrorKind::NoTarget, "no target of the service is in use")
}
