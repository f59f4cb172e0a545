//! Guards the budget of further sends: its bound in every window, over all gateways together.

use auburnbridge_policy::RequestClass;
use auburnbridge_policy::balance::{
    BalancedMember, BalancerOptions, Dispatcher, DispatcherOptions, Finding, GatewayPlace, Need,
    Placement, ReportedFinding, SendBudget, SendBudgetOptions, TargetHash,
};
use auburnbridge_types::{Incarnation, Millis, Slots, Timestamp};
use proptest::prelude::*;

const OPTIONS: SendBudgetOptions = SendBudgetOptions {
    ratio: 0.2,
    allowance: 60.0,
    window: Millis(10_000),
};

fn time(ms: u64) -> Timestamp {
    Timestamp(1_000_000 + ms)
}

proptest! {
    /// Guards against a window, wherever it begins, with more further sends than the bound of all
    /// gateways allows, however their requests and failures are spread.
    #[test]
    fn every_window_keeps_the_bound(
        gateways in 1_usize..8,
        events in prop::collection::vec((0_usize..8, 0_u64..200, 0_u8..3), 1..600),
    ) {
        let mut budgets: Vec<SendBudget> =
            (0..gateways).map(|_| SendBudget::new(OPTIONS)).collect();
        let mut now = 0;
        let (mut requests, mut further) = (Vec::new(), Vec::new());
        for (gateway, gap, kind) in events {
            now += gap;
            let budget = &mut budgets[gateway % gateways];
            if kind == 0 {
                budget.record_request(time(now));
                requests.push(now);
            } else if budget.try_send_again(time(now), gateways) {
                further.push(now);
            }
        }
        for begin in further.iter().copied() {
            let window = begin..=begin + OPTIONS.window.0;
            let count = further.iter().filter(|at| window.contains(at)).count();
            // The requests of the window itself, of the one before, or of the one half a window
            // before count, whichever has most.
            let most = [0, 5_000, 10_000]
                .iter()
                .map(|back| {
                    let from = begin.saturating_sub(*back);
                    let window = from..=from + OPTIONS.window.0;
                    requests.iter().filter(|at| window.contains(at)).count()
                })
                .max()
                .unwrap_or_default();
            let most = f64::from(u32::try_from(most).unwrap());
            let bound = OPTIONS.ratio * most + OPTIONS.allowance;
            prop_assert!(f64::from(u32::try_from(count).unwrap()) <= bound, "{count} of {bound}");
        }
    }
}

/// Guards against a budget that never refills.
#[test]
fn budget_refills_after_its_window() {
    let mut budget = SendBudget::new(OPTIONS);
    let taken = |budget: &mut SendBudget, now: u64| {
        (0..100)
            .filter(|_| budget.try_send_again(time(now), 1))
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

/// A gateway with a budget of 8 further sends before a target that works and a suspected one.
fn dispatcher() -> Dispatcher<()> {
    let mut dispatcher = Dispatcher::new(&DispatcherOptions {
        balancer: BalancerOptions {
            own: GatewayPlace {
                vm: "gateway-1".parse().unwrap(),
                data_centre: "north".parse().unwrap(),
            },
            floor_share: 0.7,
            seed: 1,
        },
        sends: SendBudgetOptions {
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
    dispatcher.hear_findings(time(0), &[broken]);
    dispatcher
}

/// The target of a lookup.
fn placed(dispatcher: &mut Dispatcher<()>, now: u64) -> String {
    let need = Need {
        class: RequestClass::Idempotent,
        rank: 1,
        deadline: time(now + 1_500),
        objective: time(now + 800),
        tried: &[],
    };
    match dispatcher.place(time(now), &need, || ()) {
        Placement::Start(pick) => pick.target.to_string(),
        other => panic!("there is room, but the lookup got {other:?}"),
    }
}

/// Guards against lookups that are spent on tests of suspected targets and then lost, since no send to
/// another target is left.
#[test]
fn tests_of_targets_leave_a_quarter_of_the_budget() {
    let mut fresh = dispatcher();
    assert_eq!(placed(&mut fresh, 1_500), "t-bad");
    let mut spent = dispatcher();
    for _ in 0..6 {
        assert!(spent.try_send_again(time(1_400)));
    }
    assert_eq!(placed(&mut spent, 1_500), "t-good");
}

/// Guards against second sends beside silent ones that take the last of the budget.
#[test]
fn second_sends_leave_a_quarter_of_the_budget() {
    let mut dispatcher = dispatcher();
    let need = Need {
        class: RequestClass::Idempotent,
        rank: 1,
        deadline: time(3_000),
        objective: time(2_300),
        tried: &[],
    };
    for _ in 0..6 {
        let second = dispatcher.pick_free(time(1_500), &need).unwrap();
        dispatcher.finish(time(1_500), second.key, None);
        assert!(dispatcher.try_send_again(time(1_500)));
    }
    assert_eq!(dispatcher.pick_free(time(1_500), &need), None);
    assert!(dispatcher.try_send_again(time(1_500)));
}
