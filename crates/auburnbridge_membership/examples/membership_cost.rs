//! Prints memory use, message sizes and merge time of the membership for several target counts.
//!
//! Run it with `cargo run --release -p auburnbridge_membership --example membership_cost`. Memory
//! is measured as growth of the resident set over enough copies to total 54,000 targets. All copies
//! are kept until the end, since memory freed by one would hide the growth caused by the next.

use std::hint::black_box;
use std::time::Instant;

use auburnbridge_membership::{AnnouncedState, Announcement, SyncMessage, TargetMembership};
use auburnbridge_types::{Incarnation, Sequence, Slots, Timestamp};

const SIZES: [usize; 4] = [100, 1_000, 10_000, 54_000];
const TARGETS_PER_SERVICE: usize = 39;
const PAGE_BYTES: usize = 4_096;
const START: Timestamp = Timestamp(1_000_000);

fn announcement(number: usize, sequence: u64) -> Announcement {
    let host = u32::try_from(number).expect("the sizes are small");
    Announcement {
        service: format!("service-{}", number / TARGETS_PER_SERVICE)
            .parse()
            .expect("a valid name"),
        target: format!("target-{number}").parse().expect("a valid name"),
        address: (std::net::Ipv4Addr::from_bits(0x0a00_0000 + host), 8080).into(),
        data_centre: "region-1-dc-3".parse().expect("a valid name"),
        incarnation: Incarnation(1_790_000_000_000),
        sequence: Sequence(sequence),
        slots: Slots(3),
        state: AnnouncedState::Ready,
    }
}

fn announcements(count: usize, sequence: u64) -> Vec<Announcement> {
    (0..count)
        .map(|number| announcement(number, sequence))
        .collect()
}

fn resident_bytes() -> usize {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|field| field.parse().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

fn members(count: usize, sequence: u64) -> TargetMembership {
    let mut members = TargetMembership::default();
    for number in 0..count {
        members.announce(START, announcement(number, sequence));
    }
    members
}

fn encoded_bytes(message: &SyncMessage<Announcement>) -> usize {
    postcard::to_stdvec(message)
        .expect("a message has an encoding")
        .len()
}

/// Encoded sizes of the messages of an exchange in which one target differs, in bytes.
fn exchange_bytes(count: usize) -> Vec<usize> {
    let mut opener = members(count, 100_000);
    let mut other = members(count, 100_000);
    let changed = Announcement {
        slots: Slots(4),
        ..announcement(0, 100_001)
    };
    opener.announce(START, changed);
    let mut sizes = Vec::new();
    let mut message = Some(opener.open_exchange());
    while let Some(sent) = message {
        sizes.push(encoded_bytes(&sent));
        message = other.handle_message(START, sent).0;
        std::mem::swap(&mut opener, &mut other);
    }
    sizes
}

/// Resident memory per target for each of [`SIZES`], in bytes.
fn bytes_per_target() -> Vec<usize> {
    let mut kept: Vec<TargetMembership> = Vec::new();
    let mut per_target = Vec::new();
    for count in SIZES {
        let copies = SIZES[3].div_ceil(count);
        let before = resident_bytes();
        kept.extend((0..copies).map(|_| members(count, 100_000)));
        per_target.push((resident_bytes() - before) / (copies * count));
    }
    drop(black_box(kept));
    per_target
}

fn to_u32(count: usize) -> u32 {
    u32::try_from(count).expect("the sizes are small")
}

fn main() {
    println!("targets  memory/target  rumour/target  merge  expire  exchange messages");
    for (count, memory) in SIZES.into_iter().zip(bytes_per_target()) {
        let mut table = members(count, 100_000);
        let renewals = announcements(count, 100_001);
        let rumour = postcard::to_stdvec(&renewals)
            .expect("a message has an encoding")
            .len()
            / count;
        let started = Instant::now();
        let forwarded = table.merge(START, &renewals);
        let merge = started.elapsed().as_secs_f64() * 1e6 / f64::from(to_u32(count));
        assert_eq!(forwarded.len(), count, "each renewal is new");
        let started = Instant::now();
        table.expire(START);
        let expire = started.elapsed().as_secs_f64() * 1e6;
        println!(
            "{count:>7} {memory:>12} B {rumour:>12} B {merge:>5.2} µs {expire:>6.0} µs  {:?} B",
            exchange_bytes(count)
        );
    }
}
