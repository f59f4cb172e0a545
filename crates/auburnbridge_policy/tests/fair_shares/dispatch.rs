//! Decisions of one dispatcher about requests of several accounts.

use auburnbridge_policy::RequestClass;
use auburnbridge_policy::balance::{
    AccountKey, BalancedKey, BalancedMember, BalancerOptions, Dispatcher, DispatcherOptions,
    GatewayHost, Placement, PlacementRequest, Refusal, ResendBudgetOptions,
};
use auburnbridge_types::{Incarnation, Millis, Slots, Timestamp};
use proptest::prelude::*;

/// Time that a request may take.
const DEADLINE: Millis = Millis(3_000);

fn time(ms: u64) -> Timestamp {
    Timestamp(1_000_000 + ms)
}

fn account(number: usize) -> AccountKey {
    AccountKey::of(&format!("account-{number}").parse().unwrap())
}

/// A dispatcher with one target of four slots.
fn dispatcher() -> Dispatcher<usize> {
    let data_centre: auburnbridge_types::DataCentre = "north".parse().unwrap();
    let mut dispatcher = Dispatcher::new(&DispatcherOptions {
        balancer: BalancerOptions {
            own: GatewayHost {
                vm: "gateway-1".parse().unwrap(),
                data_centre: data_centre.clone(),
            },
            floor_share: 0.7,
            even_load: false,
            seed: 1,
        },
        resend_budget: ResendBudgetOptions {
            ratio: 0.2,
            allowance: 10.0,
            window: Millis(10_000),
        },
        seed: 1,
    });
    let member = BalancedMember {
        id: "t-1".parse().unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
        data_centre,
        incarnation: Incarnation(1),
        slots: Slots(4),
    };
    dispatcher.set_members(time(0), &[member]);
    for _ in 0..50 {
        dispatcher.record_answer(Millis(100), false);
    }
    dispatcher
}

/// Places a request of an account that arrives now; `item` is the number of the account.
fn place(dispatcher: &mut Dispatcher<usize>, now: u64, priority: u32, number: usize) -> Placement {
    let request = PlacementRequest {
        class: RequestClass::Once,
        priority,
        account: Some(account(number)),
        deadline: time(now).after(DEADLINE),
        objective: time(now).after(DEADLINE),
        tried: &[],
        is_last_send: false,
    };
    dispatcher.record_request(time(now), priority, Some(account(number)));
    dispatcher.place(time(now), &request, || number)
}

fn start(dispatcher: &mut Dispatcher<usize>, now: u64, number: usize) -> BalancedKey {
    match place(dispatcher, now, 1, number) {
        Placement::Start(pick) => pick.key,
        other => panic!("a slot is free, but the request got {other:?}"),
    }
}

/// Places requests of an account until one is refused; returns the number of those that wait, and the
/// refusal.
fn fill(dispatcher: &mut Dispatcher<usize>, now: u64, number: usize) -> (usize, Refusal) {
    for waiting in 0..10_000 {
        match place(dispatcher, now, 1, number) {
            Placement::Wait { .. } => {}
            Placement::Refuse(refusal) => return (waiting, refusal),
            Placement::Start(_) => panic!("no slot is free"),
        }
    }
    panic!("no request was refused");
}

/// A full service: four requests of the hot account 0 run, and as many wait as are admitted.
fn full() -> (Dispatcher<usize>, BalancedKey, Refusal) {
    let mut dispatcher = dispatcher();
    let target = (0..4).map(|_| start(&mut dispatcher, 0, 0)).last().unwrap();
    let (_, refusal) = fill(&mut dispatcher, 0, 0);
    (dispatcher, target, refusal)
}

/// Accounts of the next requests to start, as slots become free.
fn next_accounts(
    dispatcher: &mut Dispatcher<usize>,
    target: BalancedKey,
    count: usize,
) -> Vec<usize> {
    (0..count)
        .map(|_| {
            dispatcher.finish(time(10), target, None);
            let (account, _) = dispatcher.next_start(time(10)).expect("a slot is free");
            account
        })
        .collect()
}

/// An account without a backlog must not be refused, nor wait behind the requests of another one that
/// fill the queue; the hot account must hear of its own wait.
#[test]
fn a_backlog_delays_its_own_account_only() {
    let (mut dispatcher, target, hot) = full();
    assert!(hot.backlog > 0);
    let light = place(&mut dispatcher, 10, 1, 1);
    assert!(matches!(light, Placement::Wait { .. }), "{light:?}");
    let Placement::Refuse(hot) = place(&mut dispatcher, 10, 1, 0) else {
        panic!("the hot account may wait no longer");
    };
    assert!(hot.is_own_backlog);
    let light = dispatcher.refusal(time(10), 1, Some(account(1)));
    assert!(light.retry_after < hot.retry_after, "{light:?} {hot:?}");
    assert_eq!(light.backlog, 1);
    assert_eq!(next_accounts(&mut dispatcher, target, 1), [1]);
}

/// While several accounts wait, each must get its turn.
#[test]
fn waiting_accounts_take_turns() {
    let (mut dispatcher, target, _) = full();
    for number in [1, 1, 2, 2, 3, 3] {
        place(&mut dispatcher, 10, 1, number);
    }
    let mut first = next_accounts(&mut dispatcher, target, 6);
    first.sort_unstable();
    assert_eq!(first, [1, 1, 2, 2, 3, 3]);
}

/// A lower priority must not start first, however small its account.
#[test]
fn priorities_come_before_shares() {
    let (mut dispatcher, target, _) = full();
    place(&mut dispatcher, 10, 2, 1);
    assert_eq!(next_accounts(&mut dispatcher, target, 3), [0, 0, 0]);
}

/// The waiting requests of an account that the configuration no longer has must start or be cancelled
/// like others, and its state must not stay.
#[test]
fn removed_account_keeps_its_waiting_requests() {
    let (mut dispatcher, target, _) = full();
    let Placement::Wait { key, .. } = place(&mut dispatcher, 10, 1, 1) else {
        panic!("the request has to wait");
    };
    let Placement::Wait { .. } = place(&mut dispatcher, 10, 1, 2) else {
        panic!("the request has to wait");
    };
    assert_eq!(dispatcher.waiting_accounts(), 3);
    assert!(dispatcher.cancel(key));
    assert!(!dispatcher.cancel(key));
    // Much later, requests of other accounts have made the state of idle accounts expire.
    dispatcher.record_request(time(1_000_000), 1, Some(account(3)));
    assert_eq!(dispatcher.waiting_accounts(), 2);
    assert_eq!(next_accounts(&mut dispatcher, target, 1), [2]);
}

/// The failed sends of one account must not use up the resends of the others.
#[test]
fn one_account_leaves_resends_to_others() {
    let mut dispatcher = dispatcher();
    for number in 0..100 {
        let hot = usize::from(number % 10 == 0);
        dispatcher.record_request(time(0), 1, Some(account(hot)));
    }
    let taken = (0..100)
        .filter(|_| dispatcher.try_resend(time(1), Some(account(0))))
        .count();
    assert!(taken > 10, "{taken}");
    assert!(dispatcher.try_resend(time(1), Some(account(1))));
    assert!(dispatcher.try_resend(time(1), Some(account(1))));
}

/// Many accounts at once must neither grow the state without bound nor be refused for want of state.
#[test]
fn many_accounts_are_dispatched() {
    let mut dispatcher = dispatcher();
    for number in 0..20_000 {
        let key = start(&mut dispatcher, number as u64 / 100, number);
        dispatcher.finish(time(number as u64 / 100), key, None);
    }
}

proptest! {
    /// No slot may stay free while a request waits, whichever accounts the requests are of.
    #[test]
    fn free_slots_are_used(
        steps in prop::collection::vec((0_u64..40, 0_usize..5, 1_u32..3, any::<bool>()), 1..300),
    ) {
        let mut dispatcher = dispatcher();
        let (mut now, mut running) = (0, Vec::new());
        for (gap, number, priority, ends) in steps {
            now += gap;
            if ends && let Some(key) = running.pop() {
                dispatcher.finish(time(now), key, None);
            } else if let Placement::Start(pick) = place(&mut dispatcher, now, priority, number) {
                running.push(pick.key);
            }
            while let Some((_, pick)) = dispatcher.next_start(time(now)) {
                running.push(pick.key);
            }
            prop_assert!(running.len() >= 4 || dispatcher.waiting() == 0);
        }
    }
}
