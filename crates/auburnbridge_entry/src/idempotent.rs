//! Requests that may run more than once: retried on other targets within budget and deadline.

use auburnbridge_caller::{Disconnect, Problem};
use auburnbridge_http::Response;
use auburnbridge_metrics::Counter;
use auburnbridge_types::ErrorKind;

use crate::dispatch::{Dispatched, Dispatcher};
use crate::entry::Entry;
use crate::request::CallerRequest;

/// Serves a request unless its caller goes away, which cancels the exchange at the target.
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
            Dispatched::Answered(response) => return Ok(response),
            // A later attempt that sent no byte does not undo an earlier one that may have run.
            Dispatched::NotRun(problem) if may_have_run => {
                return Err(problem.for_possible_resend());
            }
            Dispatched::NotRun(problem) => return Err(problem),
            Dispatched::Unknown(problem) => {
                may_have_run = true;
                let now = entry.ports.clock.now();
                if now >= req.deadline || !dispatcher.service().try_retry(now) {
                    return Err(problem);
                }
                let service = ("service", req.route.service.as_str());
                entry.ports.metrics.count(Counter::Retry, &[service]);
            }
            Dispatched::Cancelled => {
                let detail = "the caller disconnected";
                return Err(Problem::new(ErrorKind::AnswerIncomplete, detail));
            }
        }
    }
}
