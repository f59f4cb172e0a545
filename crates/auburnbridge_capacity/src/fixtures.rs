//! Inputs of realistic size: announcements, members, rules and ledger commands.

use std::fmt::Write;
use std::net::SocketAddr;

use auburnbridge_ledger::{Command, LedgerKey, StoredAnswer};
use auburnbridge_membership::{AnnouncedState, Announcement, EntryAnnouncement};
use auburnbridge_policy::{Member, Presence};
use auburnbridge_types::{
    AttemptId, IdempotencyKey, Incarnation, Millis, RequestDigest, Revision, Sequence, Slots,
    Timestamp,
};

/// Time at which simulated time starts.
pub const START: Timestamp = Timestamp(1_790_000_000_000);
/// Size of a stored answer: a head of about 200 bytes and a short JSON body.
pub const ANSWER_BYTES: usize = 256;

const TARGETS_PER_SERVICE: u32 = 39;
const ROUTES_PER_SERVICE: u32 = 61;
const DATA_CENTRES: u32 = 27;

fn address(number: u32) -> SocketAddr {
    let [_, high, middle, low] = number.to_be_bytes();
    SocketAddr::from(([10, high, middle, low], 8_080))
}

/// Returns the announcement of the target with this number.
pub fn announcement(number: u32, sequence: u64) -> Announcement {
    let service = number / TARGETS_PER_SERVICE;
    Announcement {
        service: format!("service-{service:04}")
            .parse()
            .expect("the name is valid"),
        target: format!("target-{number:05}")
            .parse()
            .expect("the name is valid"),
        address: address(number),
        data_centre: data_centre(number),
        incarnation: Incarnation(u64::from(number % 7) + START.0),
        sequence: Sequence(sequence),
        slots: Slots(3),
        state: AnnouncedState::Ready,
    }
}

/// Returns the announcement of the entry with this number.
pub fn entry_announcement(number: u32, sequence: u64) -> EntryAnnouncement {
    EntryAnnouncement {
        vm: format!("entry-{number:04}")
            .parse()
            .expect("the name is valid"),
        address: address(number),
        data_centre: data_centre(number),
        incarnation: Incarnation(1),
        boot: 0x9e37_79b9_7f4a_7c15_u64.wrapping_mul(u64::from(number) + 1),
        sequence: Sequence(sequence),
        revision: Revision(4_015_000),
        state: AnnouncedState::Ready,
    }
}

fn data_centre(number: u32) -> auburnbridge_types::DataCentre {
    let number = number % DATA_CENTRES;
    format!("region-{}-dc-{number}", number % 8)
        .parse()
        .expect("the name is valid")
}

/// Returns the target with this number as an input of placement.
pub fn member(number: u32) -> Member {
    let announced = announcement(number, 1);
    Member {
        id: announced.target,
        address: announced.address,
        data_centre: announced.data_centre,
        incarnation: announced.incarnation,
        slots: announced.slots,
        presence: Presence::Fresh,
    }
}

/// Returns a rules file of `lines` lines, in which every 61st line is a service and the others are
/// its routes.
pub fn rules_text(lines: u32) -> String {
    let mut text = String::new();
    for number in 0..lines {
        let service = number / ROUTES_PER_SERVICE;
        if number % ROUTES_PER_SERVICE == 0 {
            writeln!(
                text,
                "service service-{service:04} slots-floor 24 ejection 40   # asked by Meera, ward office"
            )
        } else {
            writeln!(text, "{}", route_line(number, 2_000))
        }
        .expect("writing to a string can't fail");
    }
    text
}

/// Returns the route line with this number.
pub fn route_line(number: u32, timeout_ms: u32) -> String {
    let service = number / ROUTES_PER_SERVICE;
    format!(
        "route GET /service-{service:04}/resource-{number:06}/* to service-{service:04} idempotent timeout {timeout_ms}ms   # asked by Meera, ward office"
    )
}

/// Returns a path that the route with this number matches.
pub fn path(number: u32) -> String {
    let service = number / ROUTES_PER_SERVICE;
    format!("/service-{service:04}/resource-{number:06}/items/17")
}

/// Returns the ledger key with this number, created at [`START`] plus the number in milliseconds.
pub fn ledger_key(number: u32) -> LedgerKey {
    ledger_key_at(number, log_time(number))
}

/// Returns the ledger key with this number, created at the given time.
pub fn ledger_key_at(number: u32, created: Timestamp) -> LedgerKey {
    let mut random = [7; 10];
    random[..4].copy_from_slice(&number.to_be_bytes());
    LedgerKey {
        idempotency_key: IdempotencyKey::from_parts(created, random),
        account: format!("account-{:06}", number % 400_000)
            .parse()
            .expect("the name is valid"),
    }
}

/// Returns the log time at which the key with this number is used.
pub fn log_time(number: u32) -> Timestamp {
    START.after(Millis(u64::from(number)))
}

fn attempt(number: u32) -> AttemptId {
    AttemptId {
        vm: format!("entry-{:04}", number % 5_300)
            .parse()
            .expect("the name is valid"),
        boot: 0x9e37_79b9_7f4a_7c15,
        sequence: u64::from(number),
    }
}

/// Returns the command that grants the key with this number.
pub fn grant(number: u32) -> Command {
    grant_of(ledger_key(number), number, log_time(number))
}

/// Returns the command that grants `key` to the attempt with this number.
pub fn grant_of(key: LedgerKey, number: u32, now: Timestamp) -> Command {
    Command::Grant {
        key,
        request_digest: RequestDigest([number.to_be_bytes()[3]; 32]),
        attempt: attempt(number),
        grant_deadline: now.after(Millis(60_000)),
        previous_sends: Some(0),
    }
}

/// Returns the command that concludes the key with this number.
pub fn conclude(number: u32) -> Command {
    conclude_of(ledger_key(number), number)
}

/// Returns the command with which the attempt with this number concludes `key`.
pub fn conclude_of(key: LedgerKey, number: u32) -> Command {
    Command::Conclude {
        key,
        attempt: attempt(number),
        answer: StoredAnswer::new(&[b'a'; ANSWER_BYTES]),
    }
}
