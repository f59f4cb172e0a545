//! Requests of the class `Once`, which carry an idempotency key: at most one dispatch per key,
//! which the ledger grants before the first byte is sent to a target.

use async_std::io::Cursor;
use auburnbridge_caller::Problem;
use auburnbridge_http::{Connection, KeepAlive, Limits, RequestInfo, Response, encode_response};
use auburnbridge_ledger::{Command, LedgerKey, MAX_ANSWER_SIZE, Reply, StoredAnswer};
use auburnbridge_types::{AttemptId, ByteSize, ErrorKind, Millis};
use log::info;

use crate::backoff::Backoff;
use crate::dispatch::{DispatchResult, Dispatcher};
use crate::entry::Entry;
use crate::request::CallerRequest;

/// Header of an answer that an earlier attempt stored.
pub(crate) const REPLAYED_HEADER: &str = "Auburnbridge-Replayed";

/// Time from the caller's deadline to that of the grant.
///
/// A withdrawal that the ledger applies after the grant's deadline does not release the key. A
/// request that is shed until the caller's deadline withdraws at that moment, so its withdrawal
/// must still have time to arrive. The grace also covers a difference between this clock and log
/// time.
const SETTLE_GRACE: Millis = Millis(2_000);

/// Serves a request of the class `Once`. It continues when its caller disconnects, so that a resend
/// gets the answer.
pub(crate) async fn serve(entry: &Entry, req: &CallerRequest) -> Result<Response, Problem> {
    match acquire(entry, req).await {
        Ok(Grant::Held { key, attempt }) => run_granted(entry, req, key, attempt).await,
        Ok(Grant::Replay(answer)) => replay(&answer, RequestInfo::from(&req.message)).await,
        Err(problem) => Err(problem),
    }
}

/// Permission of the ledger to dispatch, or the answer that makes it unnecessary.
enum Grant {
    /// This attempt may dispatch once.
    Held { key: LedgerKey, attempt: AttemptId },
    /// An earlier attempt ran and stored this answer.
    Replay(StoredAnswer),
}

/// Requests a grant from the ledger; waits while another attempt is in progress.
async fn acquire(entry: &Entry, req: &CallerRequest) -> Result<Grant, Problem> {
    let key = LedgerKey {
        idempotency_key: req.key.expect("routes of class `once` require a key"),
        account: req.account.clone(),
    };
    let request_digest = req.digest();
    let attempt = entry.next_attempt();
    let mut backoff = Backoff::between_grants();
    loop {
        let command = Command::Grant {
            key: key.clone(),
            request_digest,
            attempt: attempt.clone(),
            grant_deadline: req.deadline.after(SETTLE_GRACE),
            previous_sends: req.previous_sends,
        };
        let reply = match entry.ledger.apply(command).await {
            Ok(reply) => reply,
            Err(error) => {
                // The grant may have taken effect and would then block resends until its deadline.
                entry.settle_later(Command::Withdraw { key, attempt });
                let problem = Problem::new(ErrorKind::LedgerUnavailable, error.to_string());
                return Err(req.reject_without_grant(problem));
            }
        };
        info!(
            "ledger key={} attempt={attempt} reply={reply}",
            key.idempotency_key
        );
        let kind = match reply {
            Reply::Granted => return Ok(Grant::Held { key, attempt }),
            Reply::Answered(answer) => return Ok(Grant::Replay(answer)),
            Reply::InProgress if backoff.wait(entry, req.deadline).await => continue,
            Reply::InProgress => ErrorKind::KeyInProgress,
            Reply::Unknown => ErrorKind::KeyOutcomeUnknown,
            Reply::BodyMismatch => ErrorKind::KeyReused,
            Reply::Expired => ErrorKind::KeyExpired,
            Reply::NotHolder => ErrorKind::DeadlineBeforeDispatch,
            Reply::Full => ErrorKind::Overloaded,
            Reply::Done => ErrorKind::Internal,
        };
        let problem = Problem::new(kind, format!("the ledger answered {reply}"));
        return Err(match kind {
            // This request never ran: its key was used for a request with another digest.
            ErrorKind::KeyReused => problem,
            _ => req.reject_without_grant(problem),
        });
    }
}

/// Dispatches a granted request at most once.
async fn run_granted(
    entry: &Entry,
    req: &CallerRequest,
    key: LedgerKey,
    attempt: AttemptId,
) -> Result<Response, Problem> {
    let result = match Dispatcher::new(entry, req, None) {
        Ok(mut dispatcher) => dispatcher.dispatch(|| attempt.clone()).await,
        Err(problem) => DispatchResult::NotRun(problem),
    };
    match result {
        DispatchResult::Answered(response) => {
            entry.settle_later(conclude_command(req, key, attempt, &response));
            Ok(response)
        }
        DispatchResult::NotRun(problem) => {
            // No byte of this attempt was written and none will be, so `not-run` holds even if the
            // withdrawal does not reach the ledger; a resend then gets the outcome `unknown`.
            entry
                .ledger
                .settle(Command::Withdraw { key, attempt })
                .await;
            Err(req.reject_after_withdrawal(problem))
        }
        DispatchResult::Unknown(problem) => {
            entry.settle_later(Command::Abandon { key, attempt });
            Err(problem)
        }
        DispatchResult::Cancelled => unreachable!("a `Once` request is never cancelled"),
    }
}

/// Command that stores an answer for resends.
fn conclude_command(
    req: &CallerRequest,
    key: LedgerKey,
    attempt: AttemptId,
    response: &Response,
) -> Command {
    let mut encoded = Vec::new();
    let info = RequestInfo::from(&req.message);
    encode_response(response, info, KeepAlive::Reuse, &mut encoded);
    Command::Conclude {
        key,
        attempt,
        answer: StoredAnswer::new(&encoded),
    }
}

/// Decodes the stored answer of an earlier attempt.
async fn replay(answer: &StoredAnswer, info: RequestInfo) -> Result<Response, Problem> {
    let StoredAnswer::Whole(bytes) = answer else {
        let detail = "the answer was too large to store";
        return Err(Problem::new(ErrorKind::AnswerNotKept, detail));
    };
    let mut connection = Connection::new(Cursor::new(bytes.as_ref()));
    // The encoder adds a length header, so the head can be larger than that of the target's answer.
    let limits = Limits::default()
        .with_headers(128)
        .with_head_bytes(ByteSize(2 * MAX_ANSWER_SIZE.0))
        .with_body_bytes(MAX_ANSWER_SIZE);
    match connection.read_response(info, &limits).await {
        Ok(mut response) => {
            response.headers.set(REPLAYED_HEADER, "true");
            Ok(response)
        }
        Err(error) => {
            let detail = format!("the stored answer can't be read: {error}");
            Err(Problem::new(ErrorKind::Internal, detail))
        }
    }
}
