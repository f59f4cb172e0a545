//! Tests of requests that give back their slot without being sent.

use auburnbridge_policy::RequestClass;
use auburnbridge_policy::balance::{
    BalancedMember, BalancerOptions, Dispatcher, DispatcherOptions, GatewayHost, Pick, Placement,
    PlacementRequest, ResendBudgetOptions,
};
use auburnbridge_types::{Incarnation, Millis, Slots, Timestamp};

const NOW: Timestamp = Timestamp(1_000_000);
const REQUEST: PlacementRequest<'_> = PlacementRequest {
    account: None,
    class: RequestClass::Once,
    priority: 1,
    deadline: Timestamp(1_001_500),
    objective: Timestamp(1_000_800),
    tried: &[],
    is_last_send: false,
};

/// A dispatcher with two targets of one slot, which allows this many resends.
fn dispatcher(allowance: f64) -> Dispatcher<()> {
    let mut dispatcher = Dispatcher::new(&DispatcherOptions {
        balancer: BalancerOptions {
            own: GatewayHost {
                vm: "gateway-1".parse().unwrap(),
                data_centre: "north".parse().unwrap(),
            },
            floor_share: 0.7,
            even_load: false,
            seed: 1,
        },
        resend_budget: ResendBudgetOptions {
            ratio: 0.2,
            allowance,
            window: Millis(10_000),
        },
        seed: 1,
    });
    let member = |name: &str| BalancedMember {
        id: name.parse().unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
        data_centre: "north".parse().unwrap(),
        incarnation: Incarnation(1),
        slots: Slots(1),
    };
    dispatcher.set_members(NOW, &[member("t-1"), member("t-2")]);
    dispatcher
}

fn start(dispatcher: &mut Dispatcher<()>) -> Pick {
    match dispatcher.place(NOW, &REQUEST, || ()) {
        Placement::Start(pick) => pick,
        other => panic!("a slot is free, but the request got {other:?}"),
    }
}

/// Number of requests that are queued before one is refused.
fn queued(mut dispatcher: Dispatcher<()>) -> usize {
    for _ in 0..2 {
        start(&mut dispatcher);
    }
    (0..2_000)
        .take_while(|_| {
            let placement = dispatcher.place(NOW, &REQUEST, || ());
            matches!(placement, Placement::Wait { .. })
        })
        .count()
}

/// Guards against uploads that take and give back slots while they wait, and so make the service look
/// as if it completed requests: others would be queued that can't be answered in time.
#[test]
fn slots_given_back_are_no_completions() {
    let mut given_back = dispatcher(60.0);
    for _ in 0..500 {
        let pick = start(&mut given_back);
        given_back.give_back(NOW, pick.key);
    }
    let expected = queued(dispatcher(60.0));
    assert!(expected < 2_000);
    assert_eq!(queued(given_back), expected);
}

/// Guards against a first send that needs a resend of the budget to be placed on another target.
#[test]
fn other_target_for_a_first_send_needs_no_resend() {
    let mut dispatcher = dispatcher(0.0);
    let first = start(&mut dispatcher);
    let others = PlacementRequest {
        tried: &[first.key],
        ..REQUEST
    };
    assert!(dispatcher.pick_hedge(NOW, &others).is_none());
    let other = dispatcher.pick_free(NOW, &others).unwrap();
    assert_ne!(other.target, first.target);
}
