//! Measures the time that a gateway takes to decide about a request of an account with a limit.
//!
//! `cargo run --release -p auburnbridge_policy --example account_limit_cost`
//!
//! The owner holds leases of 32 other gateways and buckets of 72 accounts.

#![expect(
    clippy::cast_precision_loss,
    reason = "figures of a report are far below the limits of their types"
)]

use std::hint::black_box;
use std::time::Instant;

use auburnbridge_policy::account_limit::{
    AccountHash, Ask, Echo, GatewayId, Lease, LimitMessage, LimitNode, LimitNodeOptions,
    LimitTerms, LimitTolerance, OwnerTerm, Payload, SentNumber, Waiter,
};
use auburnbridge_types::{ConfigVersion, Millis, RequestRate, Timestamp};

const CALLS: u64 = 20_000;
const ROUNDS: usize = 7;
const GATEWAYS: u64 = 33;
const ACCOUNTS: u64 = 72;
const START: Timestamp = Timestamp(1_000_000);
const OWN: GatewayId = GatewayId(1);

fn main() {
    println!("median of {ROUNDS} rounds of {CALLS} calls [min..max], in ns");
    let mut node = owner();
    let mut number = 1_000;
    let reply = measure(|call| {
        number += 1;
        let from = GatewayId(2 + call % (GATEWAYS - 1));
        node.receive(START, from, &message(number, ask(call)));
        black_box(node.take_outputs());
    });
    println!("  reply to an ask: {reply}");
    let mut node = owner();
    let request = measure(|call| {
        let Payload::Ask(ask) = ask(call) else {
            return;
        };
        node.request(START, ask.account, ask.terms, Waiter(call));
        black_box(node.take_outputs());
    });
    println!("  queue a request behind the ask of its account: {request}");
    let mut node = owner();
    let tick = measure(|_| {
        node.tick(START);
        black_box(node.take_outputs());
    });
    println!("  tick: {tick}");
}

/// A gateway to which all others have leased both parts of their shares.
fn owner() -> LimitNode {
    let mut node = LimitNode::new(LimitNodeOptions {
        own: OWN,
        term: OwnerTerm(1),
        tolerance: LimitTolerance {
            window: Millis(5_000),
            overage: 0.1,
            slack: 20.0,
        },
    });
    node.set_accounts((0..ACCOUNTS).map(AccountHash));
    let others: Vec<GatewayId> = (2..=GATEWAYS).map(GatewayId).collect();
    node.set_gateways(START, &others, true);
    let lease = Lease {
        echo: Some(Echo {
            term: OwnerTerm(1),
            time: START,
        }),
        duration: Millis(100_000),
        gateways: 33,
        parts: u32::MAX,
    };
    for other in others {
        node.receive(START, other, &message(1, Payload::Lease(lease)));
    }
    node.take_outputs();
    node
}

fn ask(call: u64) -> Payload {
    Payload::Ask(Ask {
        account: AccountHash(call % ACCOUNTS),
        terms: LimitTerms {
            version: ConfigVersion(1),
            rate: RequestRate(9_000),
            burst: 1_000_000,
        },
        requests: 1,
    })
}

fn message(number: u64, payload: Payload) -> LimitMessage {
    LimitMessage {
        term: OwnerTerm(9),
        number: SentNumber(number),
        payload,
    }
}

/// Time per call in nanoseconds: median, minimum and maximum of the rounds. `call` receives its
/// number.
fn measure(mut call: impl FnMut(u64)) -> String {
    let mut rounds: Vec<f64> = (0..ROUNDS)
        .map(|_| {
            let start = Instant::now();
            for number in 0..CALLS {
                call(number);
            }
            start.elapsed().as_nanos() as f64 / CALLS as f64
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
