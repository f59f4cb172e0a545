//! Two entries, one caller and its resends under random schedules.
//!
//! Each step of a request waits until the schedule lets it go on. Ledger commands travel on their
//! own: one that its entry gave up, or whose entry was killed, may still take effect, and twice.

use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::RngSeed;

use crate::fakes::Reached;
use crate::fault::{Fault, Step};
use crate::scenario::{Caller, ENTRIES, Scenario, member, stock};
use auburnbridge_types::{Clock, Millis};

/// One move of the schedule; the numbers pick among what there is at that time.
#[derive(Clone, Copy, Debug)]
enum Action {
    Send(usize),
    Poll(usize),
    Pass(usize),
    Fail(usize, Fault),
    ApplyCommand(usize),
    DeliverReply(usize),
    LoseReply(usize),
    Advance(u64),
    Kill(usize),
    Disconnect(usize),
    ChangeTargets(u16),
    ShedFor(u64),
}

fn action() -> impl Strategy<Value = Action> {
    let fault = prop_oneof![
        Just(Fault::Shed),
        Just(Fault::CutOneWay),
        Just(Fault::TargetCrashes),
        Just(Fault::HalfAnswer),
    ];
    let any = any::<usize>;
    prop_oneof![
        3 => any().prop_map(Action::Send),
        80 => any().prop_map(Action::Poll),
        40 => any().prop_map(Action::Pass),
        12 => (any(), fault).prop_map(|(at, fault)| Action::Fail(at, fault)),
        40 => any().prop_map(Action::ApplyCommand),
        40 => any().prop_map(Action::DeliverReply),
        3 => any().prop_map(Action::LoseReply),
        10 => (0..400_u64).prop_map(Action::Advance),
        1 => any().prop_map(Action::Kill),
        1 => any().prop_map(Action::Disconnect),
        1 => (0..4_u16).prop_map(Action::ChangeTargets),
        2 => (0..400_u64).prop_map(Action::ShedFor),
    ]
}

/// What the schedules are to come to.
const OUTCOMES: [&str; 11] = [
    "runs 0",
    "runs 1",
    "200",
    "200 replayed",
    "key-in-progress unknown",
    "key-outcome-unknown unknown",
    "ledger-unavailable not-run",
    "deadline-before-dispatch not-run",
    "overloaded not-run",
    "answer-incomplete unknown",
    "deadline-after-dispatch unknown",
];

fn pick(count: usize, number: usize) -> Option<usize> {
    number.checked_rem(count)
}

fn perform(scenario: &mut Scenario, action: Action) {
    let world = &scenario.world;
    let commands = world.state.lock().commands.len();
    match action {
        Action::Send(entry) => scenario.send(entry % ENTRIES),
        Action::Poll(number) => {
            if let Some(at) = pick(scenario.sends(), number) {
                scenario.poll_send(at);
            }
        }
        Action::Pass(number) => release(scenario, number, None),
        Action::Fail(number, fault) => release(scenario, number, Some(fault)),
        Action::ApplyCommand(number) => {
            if let Some(at) = pick(commands, number) {
                world.apply_command(at);
            }
        }
        Action::DeliverReply(number) => {
            if let Some(at) = pick(commands, number) {
                world.deliver_reply(at);
            }
        }
        Action::LoseReply(number) => {
            if let Some(at) = pick(commands, number) {
                world.lose_reply(at);
            }
        }
        Action::Advance(millis) => world.clock.advance(Millis(millis)),
        Action::ShedFor(millis) => {
            let until = world.clock.now().after(Millis(millis));
            world.state.lock().shed_until = until;
        }
        Action::Kill(entry) => scenario.kill(entry % ENTRIES),
        Action::Disconnect(number) => {
            if let Some(at) = pick(scenario.sends(), number) {
                scenario.disconnect(at);
            }
        }
        Action::ChangeTargets(count) => {
            let targets: Vec<_> = (4..4 + count).map(member).collect();
            for entry in &scenario.entries {
                entry.fleets().update(world.clock.now(), &stock(), &targets);
            }
        }
    }
}

fn release(scenario: &Scenario, number: usize, fault: Option<Fault>) {
    let mut state = scenario.world.state.lock();
    let Some(at) = pick(state.reached.len(), number) else {
        return;
    };
    let reached: Reached = state.reached[at];
    let can_happen = match fault {
        None => true,
        // The fake target decides before it runs the request whether it sheds it.
        Some(Fault::Shed) => reached.step == Step::Connect,
        Some(Fault::HalfAnswer) => matches!(reached.step, Step::Wait | Step::ReadAnswer),
        Some(_) => reached.step.has_target(),
    };
    if !can_happen {
        return;
    }
    state.reached.remove(at);
    drop(state);
    scenario.world.release_with(reached.ticket, fault);
}

/// Lets everything that was held go on, in the order in which it was held.
fn run_to_the_end(scenario: &mut Scenario) {
    scenario.world.state.lock().is_scheduled = false;
    let commands = scenario.world.state.lock().commands.len();
    for at in 0..commands {
        scenario.world.apply_command(at);
        scenario.world.deliver_reply(at);
    }
    while !scenario.world.state.lock().reached.is_empty() {
        release(scenario, 0, None);
    }
    scenario.run_until_done();
    for at in 0..commands {
        scenario.world.apply_command(at);
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a schedule of two entries that runs a keyed request twice, tells a false
    /// `not-run`, gives a wrong answer, dispatches late or leaks an in-flight count.
    #[test]
    fn promises_hold_under_random_schedules(
        seed: u64,
        caller in prop_oneof![
            3 => Just(Caller::Numbered),
            2 => Just(Caller::Unnumbered),
            1 => Just(Caller::Idempotent),
        ],
        actions in proptest::collection::vec(action(), 50..300),
    ) {
        let mut scenario = Scenario::scheduled(caller, seed);
        scenario.send(0);
        for action in &actions {
            perform(&mut scenario, *action);
        }
        run_to_the_end(&mut scenario);
        let checked = scenario.check();
        prop_assert!(checked.is_ok(), "{checked:?}; {}", scenario.summary());
    }
}

/// Guards against a schedule that the tests above never come to, such as a run that is answered,
/// a `not-run` after a withdrawal or a resend through the other entry.
#[test]
fn random_schedules_reach_all_outcomes() {
    let mut runner = proptest::test_runner::TestRunner::new(ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    });
    let strategy = proptest::collection::vec(action(), 50..300);
    let mut told = String::new();
    for seed in 0..300 {
        let actions = strategy.new_tree(&mut runner).unwrap().current();
        let mut scenario = Scenario::scheduled(Caller::Numbered, seed);
        scenario.send(0);
        for action in actions {
            perform(&mut scenario, action);
        }
        run_to_the_end(&mut scenario);
        told.push_str(&scenario.summary());
        told.push('\n');
    }
    let missing: Vec<&str> = OUTCOMES
        .iter()
        .copied()
        .filter(|outcome| !told.contains(outcome))
        .collect();
    assert!(missing.is_empty(), "no schedule ends with {missing:?}");
}

/// Runs a send until it waits for the ledger or the clock.
fn run_send(scenario: &mut Scenario, at: usize) {
    const STEPS: usize = 8;
    for _ in 0..STEPS {
        scenario.poll_send(at);
        let reached: Vec<Reached> = scenario.world.state.lock().reached.drain(..).collect();
        for step in reached {
            scenario.world.release(step.ticket);
        }
    }
}

/// Guards against a `not-run` for a resend that withdrew, after which the delayed Grant of the first
/// send takes effect and runs the request.
#[test]
fn delayed_grant_after_a_withdrawal() {
    const GRANT: usize = 0;
    const RESEND_GRANT: usize = 1;
    const WITHDRAWAL: usize = 2;
    for (caller, summary) in [
        (
            Caller::Numbered,
            "runs 0; told 504 deadline-before-dispatch not-run, 503 overloaded not-run",
        ),
        (
            Caller::Unnumbered,
            "runs 1; told 200, 503 overloaded unknown",
        ),
    ] {
        let mut scenario = Scenario::scheduled(caller, 1);
        let world = std::sync::Arc::clone(&scenario.world);
        world.state.lock().shed_until = world.clock.now().after(Millis(1_000));
        scenario.send(0);
        run_send(&mut scenario, 0);
        scenario.send(1);
        run_send(&mut scenario, 1);
        world.apply_command(RESEND_GRANT);
        world.deliver_reply(RESEND_GRANT);
        while world.state.lock().commands.len() <= WITHDRAWAL {
            run_send(&mut scenario, 1);
            world.clock.advance(Millis(5));
        }
        world.apply_command(WITHDRAWAL);
        world.deliver_reply(WITHDRAWAL);
        world.state.lock().shed_until = world.clock.now();
        world.apply_command(GRANT);
        world.deliver_reply(GRANT);
        world.state.lock().is_scheduled = false;
        scenario.run_until_done();
        assert_eq!(scenario.check(), Ok(()), "{caller}");
        assert_eq!(scenario.summary(), summary, "{caller}");
    }
}
