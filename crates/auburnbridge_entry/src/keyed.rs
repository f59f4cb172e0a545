//! Non-idempotent requests: one dispatch for each key, granted by the ledger before the first byte.

use async_std::io::Cursor;
use auburnbridge_caller::Problem;
use auburnbridge_http::{Connection, Limits, RequestInfo, Response, Verdict, encode_response};
use auburnbridge_ledger::{Command, LedgerKey, MAX_ANSWER, Reply, StoredAnswer};
use auburnbridge_types::{AttemptId, ByteSize, ErrorKind, Millis};
use log::info;

use crate::backoff::Backoff;
use crate::dispatch::{Dispatched, Dispatcher};
use crate::entry::Entry;
use crate::request::CallerRequest;

/// Header of an answer that was stored by an earlier attempt.
pub(crate) const REPLAYED_HEADER: &str = "Auburnbridge-Replayed";

/// Time after the caller's deadline for which a grant still counts as in progress.
///
/// A withdrawal that reaches the ledger later frees nothing, and requests that are shed until their
/// deadline withdraw just then. It also covers a difference between this clock and log time.
const SETTLE_GRACE: Millis = Millis(2_000);

/// Serves a keyed request. It goes on when its caller disconnects, so that a resend gets the answer.
pub(crate) async fn serve(entry: &Entry, req: &CallerRequest) -> Result<Response, Problem> {
    match acquire(entry, req).await {
        Ok(Grant::Held { key, attempt }) => run_granted(entry, req, key, attempt).await,
        Ok(Grant::Replay(answer)) => replay(&answer, RequestInfo::from(&req.message)).await,
        Err(problem) => Err(problem),
    }
}

enum Grant {
    /// This attempt may dispatch once.
    Held { key: LedgerKey, attempt: AttemptId },
    /// An earlier attempt ran, with this answer.
    Replay(StoredAnswer),
}

/// Asks the ledger for the permission to dispatch; waits while another attempt is in progress.
async fn acquire(entry: &Entry, req: &CallerRequest) -> Result<Grant, Problem> {
    let key = LedgerKey {
        idempotency_key: req.key.expect("routes of the class `once` need a key"),
        account: req.account.clone(),
    };
    let body_digest = req.digest();
    let attempt = entry.next_attempt();
    let mut backoff = Backoff::between_grants();
    loop {
        let command = Command::Grant {
            key: key.clone(),
            body_digest,
            attempt: attempt.clone(),
            deadline: req.deadline.after(SETTLE_GRACE),
            previous_attempts: req.previous_attempts,
        };
        let reply = match entry.ledger.apply(command).await {
            Ok(reply) => reply,
            Err(error) => {
                // The grant may have taken effect, and would block resends up to its deadline.
                entry.settle_later(Command::Withdraw { key, attempt });
                let problem = Problem::new(ErrorKind::LedgerUnavailable, error.to_string());
                return Err(req.refuse_unread(problem));
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
            // This body never ran: the key belongs to another request.
            ErrorKind::KeyReused => problem,
            _ => req.refuse_unread(problem),
        });
    }
}

/// Runs a granted request at most once.
async fn run_granted(
    entry: &Entry,
    req: &CallerRequest,
    key: LedgerKey,
    attempt: AttemptId,
) -> Result<Response, Problem> {
    let dispatched = match Dispatcher::new(entry, req, None) {
        Ok(mut dispatcher) => dispatcher.dispatch(|| attempt.clone()).await,
        Err(problem) => Dispatched::NotRun(problem),
    };
    match dispatched {
        Dispatched::Answered(response) => {
            entry.settle_later(conclusion(req, key, attempt, &response));
            Ok(response)
        }
        Dispatched::NotRun(problem) => {
            // No byte of this attempt was written and none will be, so `not-run` holds whether or
            // not the ledger hears of it; without it, a resend reads `unknown`.
            entry
                .ledger
                .settle(Command::Withdraw { key, attempt })
                .await;
            Err(req.refuse_withdrawn(problem))
        }
        Dispatched::Unknown(problem) => {
            entry.settle_later(Command::Abandon { key, attempt });
            Err(problem)
        }
        Dispatched::Cancelled => unreachable!("a keyed request goes on without its caller"),
    }
}

/// The command that stores an answer for resends.
fn conclusion(
    req: &CallerRequest,
    key: LedgerKey,
    attempt: AttemptId,
    response: &Response,
) -> Command {
    let mut encoded = Vec::new();
    let info = RequestInfo::from(&req.message);
    encode_response(response, info, Verdict::Reuse, &mut encoded);
    Command::Conclude {
        key,
        attempt,
        answer: StoredAnswer::new(&encoded),
    }
}

/// The stored answer of an earlier attempt.
async fn replay(answer: &StoredAnswer, info: RequestInfo) -> Result<Response, Problem> {
    let StoredAnswer::Whole(bytes) = answer else {
        let detail = "the answer was too large to store";
        return Err(Problem::new(ErrorKind::AnswerNotKept, detail));
    };
    let mut connection = Connection::new(Cursor::new(bytes.as_ref()));
    // The encoder adds a length to the head that the target's answer had.
    let limits = Limits::default()
        .with_headers(128)
        .with_head_bytes(ByteSize(2 * MAX_ANSWER.0))
        .with_body_bytes(MAX_ANSWER);
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
