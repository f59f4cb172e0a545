//! Requests of the class `Idempotent`: retried on other targets within the retry budget and the
//! deadline.

use auburnbridge_caller::{Disconnect, Problem};
use auburnbridge_http::Response;
use auburnbridge_metrics::Counter;
use auburnbridge_types::ErrorKind;

use crate::dispatch::{DispatchResult, Dispatcher};
use crate::entry::Entry;
use crate::request::CallerRequest;

/// Serves a request. A disconnect of its caller cancels the exchange with the target.
pub(crate) async fn serve(
    entry: &Entry,
    req: &CallerRequest,
    disconnect: &Disconnect,
) -> Result<Response, Problem> {
    let mut dispatcher = Dispatcher::new(entry, req, Some(disconnect))?;
    dispatcher.service().record_request(req.arrived);
    let mut may_have_run = false;
    loop {
        match dispatcher.dispatch(|| entry.next_attempt()).await {
            DispatchResult::Answered(response) => return Ok(response),
            // The earlier exchange may have run, even if no byte of the later one was sent.
            DispatchResult::NotRun(problem) if may_have_run => {
                return Err(problem.for_possible_resend());
            }
            DispatchResult::NotRun(problem) => return Err(problem),
            DispatchResult::Unknown(problem) => {
                may_have_run = true;
                let now = entry.deps.clock.now();
                if now >= req.deadline || !dispatcher.service().try_retry(now) {
                    return Err(problem);
                }
                let service = ("service", req.route.service.as_str());
                entry.deps.metrics.count(Counter::Retry, &[service]);
            }
            DispatchResult::Cancelled => {
                let detail = "the caller disconnected";
                return Err(Problem::new(ErrorKind::AnswerIncomplete, detail));
            }
        }
    }
}
