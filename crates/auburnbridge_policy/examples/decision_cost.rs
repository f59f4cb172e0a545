//! Measures the CPU time of a decision and the memory per target and per account.
//!
//! `cargo run --release -p auburnbridge_policy --example decision_cost`
//!
//! Memory is measured as the growth of the process's resident set, from `/proc/self/status` on Linux.

#![expect(
    clippy::cast_precision_loss,
    reason = "reported values are far below the limits of their types"
)]

use std::hint::black_box;
use std::time::Instant;

use auburnbridge_policy::{
    AccountLimit, AccountLimiter, EjectionPolicy, EvidenceReport, Fleet, Member, Observation,
    Presence, RequestClass,
};
use auburnbridge_types::{Incarnation, Millis, RatePerSecond, Slots, Timestamp};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const SEED: u64 = 1;
const CALLS: u32 = 200_000;
const ROUNDS: usize = 7;
const TARGETS: usize = 54;
const START: Timestamp = Timestamp(1_000_000);

fn main() {
    println!(
        "seed {SEED}, {TARGETS} targets, median of {ROUNDS} rounds of {CALLS} calls [min..max]"
    );
    // Runs first and keeps its memory to the end, since reused freed memory wouldn't be counted.
    let accounts = measure_account_memory();
    let fleets = measure_target_memory();
    for class in [RequestClass::Idempotent, RequestClass::Once] {
        for (label, in_flight, suspects) in [
            ("idle", 0, 0),
            ("3 in flight on each", 3, 0),
            ("3 in flight, 5 suspected", 3, 5),
        ] {
            let mut fleet = fleet(in_flight, suspects);
            let mut rng = ChaCha8Rng::seed_from_u64(SEED);
            let nanos = measure(|| choose_and_finish(&mut fleet, class, &mut rng));
            println!("choose and finish, {class}, {label}: {nanos} ns");
        }
    }
    let mut deciding = fleet(3, 5);
    println!(
        "decide: {} ns",
        measure(|| drop(black_box(deciding.tick(START))))
    );
    let mut merging = fleet(3, 0);
    let from = "entry".parse().expect("the name is valid");
    let reports: Vec<EvidenceReport> = (0..8).map(report).collect();
    let nanos = measure(|| drop(black_box(merging.merge_evidence(START, &from, &reports))));
    println!("merge of 8 reports: {nanos} ns");
    drop((accounts, fleets));
}

fn choose_and_finish(fleet: &mut Fleet, class: RequestClass, rng: &mut ChaCha8Rng) {
    let choice = fleet.choose(START, class, &[], rng);
    let choice = black_box(choice).expect("targets are in use");
    fleet.finish(START, choice.key, Observation::Answered(Millis(30)));
}

fn fleet(in_flight: usize, suspects: usize) -> Fleet {
    let mut fleet = Fleet::new(EjectionPolicy::builder().build())
        .with_data_centre("east".parse().expect("the name is valid"));
    let members: Vec<Member> = (0..TARGETS).map(member).collect();
    fleet.reconcile(START, &members);
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    for _ in 0..TARGETS * 50 {
        choose_and_finish(&mut fleet, RequestClass::Idempotent, &mut rng);
    }
    for _ in 0..suspects {
        let choice = fleet.choose(START, RequestClass::Idempotent, &[], &mut rng);
        let key = choice.expect("targets are in use").key;
        fleet.finish(START, key, Observation::InvalidAnswer);
    }
    for _ in 0..TARGETS * in_flight {
        fleet.choose(START, RequestClass::Idempotent, &[], &mut rng);
    }
    fleet
}

fn member(at: usize) -> Member {
    Member {
        id: format!("target-{at}").parse().expect("the name is valid"),
        address: "127.0.0.1:9".parse().expect("the address is valid"),
        data_centre: "east".parse().expect("the name is valid"),
        incarnation: Incarnation(1),
        slots: Slots(3),
        presence: Presence::Fresh,
    }
}

fn report(at: usize) -> EvidenceReport {
    EvidenceReport {
        target: format!("target-{at}").parse().expect("the name is valid"),
        incarnation: Incarnation(1),
        suspicion: 3.9,
        observations: 4,
        data_centre: "east".parse().expect("the name is valid"),
    }
}

/// Time per call in nanoseconds: median, minimum and maximum of the rounds.
fn measure(mut call: impl FnMut()) -> String {
    let mut rounds: Vec<f64> = (0..ROUNDS)
        .map(|_| {
            let start = Instant::now();
            for _ in 0..CALLS {
                call();
            }
            start.elapsed().as_nanos() as f64 / f64::from(CALLS)
        })
        .collect();
    rounds.sort_by(f64::total_cmp);
    format!(
        "{:.0} [{:.0}..{:.0}]",
        rounds[ROUNDS / 2],
        rounds[0],
        rounds[ROUNDS - 1]
    )
}

fn measure_target_memory() -> Vec<Fleet> {
    const FLEETS: usize = 1_000;
    let before = resident_bytes();
    let fleets: Vec<Fleet> = (0..FLEETS).map(|_| fleet(3, 0)).collect();
    let grown = resident_bytes() - before;
    println!(
        "memory per target: {:.0} B",
        grown / (FLEETS * TARGETS) as f64
    );
    fleets
}

fn measure_account_memory() -> AccountLimiter {
    const ACCOUNTS: u32 = 400_000;
    let limit = AccountLimit {
        rate: RatePerSecond(1),
        burst: 10,
    };
    let before = resident_bytes();
    let mut limiter = AccountLimiter::default();
    for account in 0..ACCOUNTS {
        let account = format!("account-{account}")
            .parse()
            .expect("the name is valid");
        limiter
            .admit(START, &account, limit)
            .expect("the first request of an account is within its burst");
    }
    let grown = resident_bytes() - before;
    println!("memory per account: {:.0} B", grown / f64::from(ACCOUNTS));
    limiter
}

fn resident_bytes() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status")
        .expect("/proc/self/status is readable on Linux");
    let line = status
        .lines()
        .find(|line| line.starts_with("VmRSS:"))
        .expect("the status has a VmRSS line");
    let kilobytes: f64 = line
        .split_whitespace()
        .nth(1)
        .and_then(|word| word.parse().ok())
        .expect("the VmRSS value is a number");
    kilobytes * 1024.0
}
