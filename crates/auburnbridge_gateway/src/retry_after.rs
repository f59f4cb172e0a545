//! Parsing of the `Retry-After` of a target's response.

use auburnbridge_types::Millis;

/// Longest pause that a target gets. A longer time is more likely an error than a plan, and would keep
/// the target out of use until it restarts.
const MAX_PAUSE: Millis = Millis(5 * 60 * 1_000);

/// Parses seconds with an optional fraction; `None` for anything else, such as a date.
pub(crate) fn parse_retry_after(text: &str) -> Option<Millis> {
    let is_decimal = text
        .bytes()
        .all(|byte| byte.is_ascii_digit() || byte == b'.');
    if !is_decimal {
        return None;
    }
    let seconds: f64 = text.parse().ok()?;
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a conversion of a float saturates, and the text has no sign"
    )]
    let time = Millis((seconds * 1_000.0).ceil() as u64);
    Some(time.min(MAX_PAUSE))
}
