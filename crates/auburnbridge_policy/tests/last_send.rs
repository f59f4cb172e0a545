//! Tests of the selection for a request that can be sent only once more.

use auburnbridge_policy::RequestClass;
use auburnbridge_policy::balance::{
    BalancedMember, BalancerOptions, Dispatcher, DispatcherOptions, Finding, GatewayHost, Pick,
    Placement, PlacementRequest, ReportedFinding, ResendBudgetOptions, TargetHash,
};
use auburnbridge_types::{Incarnation, Millis, Slots, Timestamp};

fn time(ms: u64) -> Timestamp {
    Timestamp(1_000_000 + ms)
}

fn members() -> Vec<BalancedMember> {
    (1..=8)
        .map(|number| BalancedMember {
            id: format!("t-{number}").parse().unwrap(),
            address: "10.0.0.1:80".parse().unwrap(),
            data_centre: "north".parse().unwrap(),
            incarnation: Incarnation(1),
            slots: Slots(2),
        })
        .collect()
}

fn dispatcher(seed: u64) -> Dispatcher<()> {
    Dispatcher::new(&DispatcherOptions {
        balancer: BalancerOptions {
            own: GatewayHost {
                vm: "gateway-1".parse().unwrap(),
                data_centre: "north".parse().unwrap(),
            },
            floor_share: 0.7,
            seed,
            even_load: false,
        },
        resend_budget: ResendBudgetOptions {
            ratio: 0.2,
            allowance: 60.0,
            window: Millis(10_000),
        },
        seed,
    })
}

fn start(
    dispatcher: &mut Dispatcher<()>,
    now: u64,
    class: RequestClass,
    is_last_send: bool,
) -> Pick {
    let request = PlacementRequest {
        class,
        priority: 1,
        account: None,
        deadline: time(now + 1_500),
        objective: time(now + 800),
        tried: &[],
        is_last_send,
    };
    match dispatcher.place(time(now), &request, || ()) {
        Placement::Start(pick) => pick,
        other => panic!("a slot is free, but the request got {other:?}"),
    }
}

/// Guards against a lookup whose only send finds out that a suspected or long unused target fails: with
/// no send left it must go where an order would go.
#[test]
fn last_send_of_a_lookup_neither_tries_nor_explores() {
    for seed in 1..=50 {
        for is_last_send in [false, true] {
            let mut dispatcher = dispatcher(seed);
            dispatcher.set_members(time(0), &members());
            let order = start(&mut dispatcher, 1_900, RequestClass::Once, false);
            let findings: Vec<ReportedFinding> = members()
                .iter()
                .filter(|member| member.id != order.target)
                .take(4)
                .map(|member| ReportedFinding {
                    target: TargetHash::of(&member.id, member.incarnation),
                    finding: Finding::Broken,
                })
                .collect();
            dispatcher.apply_findings(time(100), &findings);
            let lookup = start(
                &mut dispatcher,
                2_000,
                RequestClass::Idempotent,
                is_last_send,
            );
            // The order proves its target; the suspected ones are due for a trial.
            assert_eq!(lookup.target == order.target, is_last_send, "seed {seed}");
            assert_eq!(lookup.suspicion == 0.0, is_last_send, "seed {seed}");
        }
    }
}
