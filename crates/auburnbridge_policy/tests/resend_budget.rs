//! Tests of the resend budget: its bound in every window over all gateways, and its reserved share.

use auburnbridge_policy::RequestClass;
use auburnbridge_policy::balance::{
    BalancedMember, BalancerOptions, Dispatcher, DispatcherOptions, Finding, GatewayHost,
    Placement, PlacementRequest, ReportedFinding, Requester, ResendBudget, ResendBudgetOptions,
    TargetHash,
};
use auburnbridge_types::{Incarnation, Millis, Slots, Timestamp};
use proptest::prelude::*;

const OPTIONS: ResendBudgetOptions = ResendBudgetOptions {
    ratio: 0.2,
    allowance: 60.0,
    window: Millis(10_000),
};

fn time(ms: u64) -> Timestamp {
    Timestamp(1_000_000 + ms)
}

proptest! {
    /// No window may contain more resends than the bound over all gateways allows, wherever it
    /// starts and however requests and failures are spread over the gateways.
    #[test]
    fn every_window_keeps_the_bound(
        gateways in 1_usize..8,
        events in prop::collection::vec((0_usize..8, 0_u64..200, 0_u8..3), 1..600),
    ) {
        let mut budgets: Vec<ResendBudget> =
            (0..gateways).map(|_| ResendBudget::new(OPTIONS)).collect();
        let mut now = 0;
        let (mut requests, mut resends) = (Vec::new(), Vec::new());
        for (gateway, gap, kind) in events {
            now += gap;
            let budget = &mut budgets[gateway % gateways];
            if kind == 0 {
                budget.record_request(time(now));
                requests.push(now);
            } else if budget.try_resend(time(now), gateways, Requester::ANYONE) {
                resends.push(now);
            }
        }
        for start in resends.iter().copied() {
            let window = start..=start + OPTIONS.window.0;
            let count = resends.iter().filter(|at| window.contains(at)).count();
            // The bound follows from the window itself, the previous one or the one half a window
            // earlier, whichever has the most requests.
            let max_requests = [0, 5_000, 10_000]
                .iter()
                .map(|offset| {
                    let from = start.saturating_sub(*offset);
                    let window = from..=from + OPTIONS.window.0;
                    requests.iter().filter(|at| window.contains(at)).count()
                })
                .max()
                .unwrap_or_default();
            let max_requests = f64::from(u32::try_from(max_requests).unwrap());
            let bound = OPTIONS.ratio * max_requests + OPTIONS.allowance;
            prop_assert!(f64::from(u32::try_from(count).unwrap()) <= bound, "{count} of {bound}");
        }
    }
}

/// The budget must refill once its window has passed.
#[test]
fn budget_refills_after_its_window() {
    let mut budget = ResendBudget::new(OPTIONS);
    let taken = |budget: &mut ResendBudget, now: u64| {
        (0..100)
            .filter(|_| budget.try_resend(time(now), 1, Requester::ANYONE))
            .count()
    };
    let first = taken(&mut budget, 0);
    assert!(first > 0 && first <= 60, "{first}");
    assert_eq!(taken(&mut budget, 5_000), 0);
    assert_eq!(taken(&mut budget, 11_000), first);
}

fn member(name: &str) -> BalancedMember {
    BalancedMember {
        id: name.parse().unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
        data_centre: "north".parse().unwrap(),
        incarnation: Incarnation(1),
        slots: Slots(2),
    }
}

/// A gateway with a budget of 8 resends, a trusted target and a suspected one.
fn dispatcher() -> Dispatcher<()> {
    let mut dispatcher = Dispatcher::new(&DispatcherOptions {
        balancer: BalancerOptions {
            own: GatewayHost {
                vm: "gateway-1".parse().unwrap(),
                data_centre: "north".parse().unwrap(),
            },
            floor_share: 0.7,
            seed: 1,
            even_load: false,
        },
        resend_budget: ResendBudgetOptions {
            ratio: 0.0,
            allowance: 10.0,
            ..OPTIONS
        },
        seed: 1,
    });
    dispatcher.set_members(time(0), &[member("t-good"), member("t-bad")]);
    let broken = ReportedFinding {
        target: TargetHash::of(&"t-bad".parse().unwrap(), Incarnation(1)),
        finding: Finding::Broken,
    };
    dispatcher.apply_findings(time(0), &[broken]);
    dispatcher
}

/// The target on which an idempotent request starts.
fn placed_target(dispatcher: &mut Dispatcher<()>, now: u64) -> String {
    let request = PlacementRequest {
        class: RequestClass::Idempotent,
        priority: 1,
        account: None,
        deadline: time(now + 1_500),
        objective: time(now + 800),
        tried: &[],
        is_last_send: false,
    };
    match dispatcher.place(time(now), &request, || ()) {
        Placement::Start(pick) => pick.target.to_string(),
        other => panic!("a slot is free, but the request got {other:?}"),
    }
}

/// Trials of suspected targets must not use up the budget, or requests that fail in a trial could
/// not be resent to another target and would be lost.
#[test]
fn trials_leave_a_quarter_of_the_budget() {
    let mut fresh = dispatcher();
    assert_eq!(placed_target(&mut fresh, 1_500), "t-bad");
    let mut spent = dispatcher();
    for _ in 0..6 {
        assert!(spent.try_resend(time(1_400), None));
    }
    assert_eq!(placed_target(&mut spent, 1_500), "t-good");
}

/// Hedged requests must not use up the budget that failed sends need.
#[test]
fn hedged_requests_leave_a_quarter_of_the_budget() {
    let mut dispatcher = dispatcher();
    let request = PlacementRequest {
        class: RequestClass::Idempotent,
        priority: 1,
        account: None,
        deadline: time(3_000),
        objective: time(2_300),
        tried: &[],
        is_last_send: false,
    };
    for _ in 0..6 {
        let hedge = dispatcher.pick_hedge(time(1_500), &request).unwrap();
        dispatcher.finish(time(1_500), hedge.key, None);
        assert!(dispatcher.try_resend(time(1_500), None));
    }
    assert_eq!(dispatcher.pick_hedge(time(1_500), &request), None);
    assert!(dispatcher.try_resend(time(1_500), None));
}
