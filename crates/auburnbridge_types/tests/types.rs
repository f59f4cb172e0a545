//! Tests of the text formats of the types and of the answers to the error kinds.

use std::task::{Context, Poll, Waker};

use auburnbridge_types::{
    AttemptId, Clock, ErrorKind, IdempotencyKey, LinkRate, Millis, Outcome, PausedClock, Slots,
    Timestamp, VmId,
};
use strum::IntoEnumIterator;

/// Guards against a changed status, outcome or `Retry-After`, which are part of the HTTP interface.
#[test]
fn table_of_answers() {
    let table: Vec<String> = ErrorKind::iter()
        .map(|kind| {
            let answer = kind.answer();
            let retry_after = answer
                .retry_after
                .map_or("-".to_owned(), |seconds| seconds.to_string());
            format!(
                "{kind} {} {} {retry_after} {}",
                answer.status, answer.outcome, answer.title
            )
        })
        .collect();
    insta::assert_snapshot!(table.join("\n"));
}

/// Guards against telling a caller that a possible resend did not run: an earlier attempt may have
/// run through another entry.
#[test]
fn possible_resend_has_unknown_outcome() {
    for kind in ErrorKind::iter() {
        assert_eq!(
            kind.answer().for_possible_resend().outcome,
            Outcome::Unknown
        );
    }
}

/// Guards against IP addresses that are not valid VM names or that the name does not return.
#[test]
fn vm_id_from_ip_address_round_trips() {
    for text in ["10.0.0.1", "fd00::1"] {
        let ip: std::net::IpAddr = text.parse().unwrap();
        let vm = VmId::from(ip);
        assert_eq!(text.parse::<VmId>().unwrap(), vm);
        assert_eq!(vm.ip(), Some(ip));
    }
    assert_eq!("entry-1".parse::<VmId>().unwrap().ip(), None);
}

/// Guards against names that would break log lines or make messages arbitrarily large.
#[test]
fn invalid_names_are_rejected() {
    assert!("entry-1.a:9000".parse::<VmId>().is_ok());
    for text in ["", "two words", "line\nbreak", &"x".repeat(65)] {
        assert!(text.parse::<VmId>().is_err(), "accepted {text:?}");
    }
}

/// Guards against values whose `Display` output can't be parsed again.
#[test]
fn values_round_trip() {
    let attempt = AttemptId {
        vm: "entry-1".parse().unwrap(),
        boot: 0xfeed,
        sequence: 7,
    };
    assert_eq!(attempt.to_string().parse(), Ok(attempt));
    assert_eq!("250ms".parse(), Ok(Millis(250)));
    assert_eq!(Millis(250).to_string(), "250ms");
    assert!("three".parse::<Slots>().is_err());
}

/// Guards against keys whose creation time is wrong, and against UUIDs that contain none.
#[test]
fn idempotency_key_contains_its_creation_time() {
    let key = IdempotencyKey::from_parts(Timestamp(1_700_000_000_123), [9; 10]);
    assert_eq!(key.created(), Timestamp(1_700_000_000_123));
    assert_eq!(format!("\"{key}\"").parse(), Ok(key));
    let version_4 = "7f1e2a54-3c7d-4b1e-9f60-0123456789ab";
    assert!(version_4.parse::<IdempotencyKey>().is_err());
}

/// Guards against a paused clock that advances by itself or never wakes a sleeping task.
#[test]
fn paused_clock_wakes_only_when_advanced() {
    let clock = PausedClock::new(Timestamp(1_000));
    let mut sleep = clock.sleep(Millis(50));
    let mut cx = Context::from_waker(Waker::noop());
    assert_eq!(sleep.as_mut().poll(&mut cx), Poll::Pending);
    clock.advance(Millis(49));
    assert_eq!(sleep.as_mut().poll(&mut cx), Poll::Pending);
    clock.advance(Millis(1));
    assert_eq!(sleep.as_mut().poll(&mut cx), Poll::Ready(()));
}

/// Guards against a link rate that is read with another unit or loses its decimals.
#[test]
fn link_rates_are_written_in_megabits() {
    let cases = [
        ("1.4Mbit/s", 1_400_000),
        ("2400.0Mbit/s", 2_400_000_000),
        ("15Mbit/s", 15_000_000),
        ("0.000001Mbit/s", 1),
    ];
    for (text, bits) in cases {
        let rate: LinkRate = text.parse().unwrap();
        assert_eq!(rate, LinkRate(bits));
        assert_eq!(rate.to_string().parse(), Ok(rate));
    }
    assert_eq!(LinkRate(2_400_000_000).to_string(), "2400Mbit/s");
    for text in [
        "1.4",
        "Mbit/s",
        ".4Mbit/s",
        "1.Mbit/s",
        "-1Mbit/s",
        "0.0000001Mbit/s",
    ] {
        assert!(text.parse::<LinkRate>().is_err(), "{text}");
    }
}
