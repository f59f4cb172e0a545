//! Measures the time that a gateway takes to dispatch a request and to apply a load report.
//!
//! `cargo run --release -p auburnbridge_policy --example dispatch_cost`
//!
//! Three sizes: 26 targets with 13 gateways, 400 targets with 46 and 322 with 162, without and with even load. Each other gateway has requests
//! in flight on a twentieth of the targets; one target in ten has failed recently.

#![expect(
    clippy::cast_precision_loss,
    reason = "figures of a report are far below the limits of their types"
)]

use std::hint::black_box;
use std::time::Instant;

use auburnbridge_policy::RequestClass;
use auburnbridge_policy::balance::{
    AccountKey, BalancedMember, BalancerOptions, Capacity, Dispatcher, DispatcherOptions, Finding,
    GatewayHost, LoadReport, Placement, PlacementRequest, ReportedFinding, ResendBudgetOptions,
    TargetHash, TargetLoad, WaitQueue, WaitRequest,
};
use auburnbridge_types::{Incarnation, Millis, Slots, Timestamp, VmId};

const CALLS: usize = 20_000;
const ROUNDS: usize = 7;
/// Client accounts whose requests arrive, and those with a waiting request.
const ACCOUNTS: usize = 400_000;
const WAITING: usize = 512;
const CAPACITY: Capacity = Capacity {
    slots: 300,
    in_flight: 300,
    gateways: 33,
    average_answer_time: Millis(160),
    completions_per_ms: 0.06,
};
const START: Timestamp = Timestamp(1_000_000);

fn main() {
    println!("median of {ROUNDS} rounds of {CALLS} calls [min..max], in ns");
    let sizes = [(26, 13), (400, 46), (322, 162)];
    for (size, even_load) in sizes
        .into_iter()
        .flat_map(|size| [(size, false), (size, true)])
    {
        let (targets, gateways) = size;
        println!("{targets} targets, {gateways} gateways, even load: {even_load}");
        let mut dispatcher = dispatcher(targets, gateways, even_load);
        let place = measure(|_| place_and_finish(&mut dispatcher));
        println!("  place and finish an at-most-once request: {place}");
        let reporters: Vec<VmId> = (1..gateways).map(vm).collect();
        let reports: Vec<LoadReport> = (0..64)
            .map(|offset| report(targets, gateways, offset))
            .collect();
        let apply = measure(|call| {
            let report = reports[call % reports.len()].clone();
            dispatcher.apply_load_report(START, &reporters[call % reporters.len()], report);
        });
        println!("  apply a report of requests in flight: {apply}");
    }
    println!("requests of {ACCOUNTS} accounts, of which {WAITING} fill the queue");
    let accounts: Vec<AccountKey> = (0..ACCOUNTS).map(account).collect();
    for (name, known) in [("any", ACCOUNTS), ("waiting", WAITING)] {
        let mut queue = full_queue(&accounts[..WAITING]);
        let refuse = measure(|call| {
            let account = accounts[call * 7_919 % known];
            let now = START.after(Millis(call as u64 / 100));
            queue.record_arrival(now, 1, Some(account));
            let request = wait_request(account, Millis(1_000_001));
            black_box(queue.try_enqueue(now, request, &CAPACITY)).unwrap_err();
        });
        println!("  count and refuse a request of {name} account: {refuse}");
    }
}

fn account(number: usize) -> AccountKey {
    let id = format!("account-{number}");
    AccountKey::of(&id.parse().expect("the name is valid"))
}

/// A queue in which one request of each account waits.
fn full_queue(accounts: &[AccountKey]) -> WaitQueue<()> {
    let mut queue = WaitQueue::default();
    for account in accounts {
        queue.record_arrival(START, 1, Some(*account));
        let request = wait_request(*account, Millis(1_000_000));
        queue
            .try_enqueue(START, request, &CAPACITY)
            .expect("the queue has room");
    }
    queue
}

fn wait_request(account: AccountKey, left: Millis) -> WaitRequest<()> {
    WaitRequest {
        priority: 1,
        account: Some(account),
        deadline: START.after(left),
        objective: START.after(left),
        item: (),
    }
}

fn place_and_finish(dispatcher: &mut Dispatcher<()>) {
    let request = PlacementRequest {
        class: RequestClass::Once,
        priority: 1,
        account: None,
        deadline: START.after(Millis(1_500)),
        objective: START.after(Millis(800)),
        tried: &[],
        is_last_send: false,
    };
    match black_box(dispatcher.place(START, &request, || ())) {
        Placement::Start(pick) => dispatcher.finish(START, pick.key, Some(Finding::Answered)),
        other => panic!("a slot is free, but the request got {other:?}"),
    }
}

fn dispatcher(targets: usize, gateways: usize, even_load: bool) -> Dispatcher<()> {
    let mut dispatcher = Dispatcher::new(&DispatcherOptions {
        balancer: BalancerOptions {
            own: gateway_host(0),
            floor_share: 0.7,
            seed: 1,
            even_load,
        },
        resend_budget: ResendBudgetOptions {
            ratio: 0.2,
            allowance: 60.0,
            window: Millis(10_000),
        },
        seed: 1,
    });
    let members: Vec<BalancedMember> = (0..targets).map(member).collect();
    dispatcher.set_members(START, &members);
    let others: Vec<GatewayHost> = (1..gateways).map(gateway_host).collect();
    dispatcher.set_gateways(&others);
    let findings: Vec<ReportedFinding> = (0..targets)
        .step_by(10)
        .map(|at| ReportedFinding {
            target: hash(at),
            finding: Finding::Broken,
        })
        .collect();
    dispatcher.apply_findings(START, &findings);
    for other in 1..gateways {
        dispatcher.apply_load_report(START, &vm(other), report(targets, gateways, other));
    }
    dispatcher
}

fn gateway_host(gateway: usize) -> GatewayHost {
    GatewayHost {
        vm: vm(gateway),
        data_centre: "east".parse().expect("the name is valid"),
    }
}

/// A report of requests on a twentieth of the targets, or fewer if all reports together would fill them.
fn report(targets: usize, gateways: usize, offset: usize) -> LoadReport {
    let loads = (0..targets.div_ceil(20).min(3 * targets / gateways)).map(|at| TargetLoad {
        target: hash((at * 20 + offset) % targets),
        in_flight: 1,
        proof_age: 10,
    });
    LoadReport {
        in_flight: loads.collect(),
    }
}

fn member(at: usize) -> BalancedMember {
    BalancedMember {
        id: format!("target-{at}").parse().expect("the name is valid"),
        address: "127.0.0.1:9".parse().expect("the address is valid"),
        data_centre: "east".parse().expect("the name is valid"),
        incarnation: Incarnation(1),
        slots: Slots(4),
    }
}

fn hash(at: usize) -> TargetHash {
    let target = format!("target-{at}").parse().expect("the name is valid");
    TargetHash::of(&target, Incarnation(1))
}

fn vm(at: usize) -> VmId {
    format!("gateway-{at}").parse().expect("the name is valid")
}

/// Time per call in nanoseconds: median, minimum and maximum of the rounds. `call` receives its
/// number.
fn measure(mut call: impl FnMut(usize)) -> String {
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
