//! Random schedules of two entries, one caller and its resends.
//!
//! Each step of a request waits until the schedule releases it. Ledger commands are delivered
//! independently: a command that its entry gave up, or whose entry was killed, may still be
//! applied, even twice.

use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::RngSeed;

use crate::fakes::WaitingStep;
use crate::fault::{Fault, Step};
use crate::scenario::{Caller, ENTRIES, Scenario, member, stock};
use auburnbridge_types::{Clock, Millis};

/// Action of a schedule. The numbers select among the sends, steps or commands that exist at that
/// time, modulo their count.
#[derive(Clone, Copy, Debug)]
enum Action {
    Send(usize),
    Poll(usize),
    Release(usize),
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
        40 => any().prop_map(Action::Release),
        12 => (any(), fault).prop_map(|(index, fault)| Action::Fail(index, fault)),
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

/// Parts of summaries that the random schedules must produce.
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
    let cluster = &scenario.cluster;
    let commands = cluster.state.lock().commands.len();
    match action {
        Action::Send(entry) => scenario.send(entry % ENTRIES),
        Action::Poll(number) => {
            if let Some(index) = pick(scenario.sends(), number) {
                scenario.poll_send(index);
            }
        }
        Action::Release(number) => release(scenario, number, None),
        Action::Fail(number, fault) => release(scenario, number, Some(fault)),
        Action::ApplyCommand(number) => {
            if let Some(index) = pick(commands, number) {
                cluster.apply_command(index);
            }
        }
        Action::DeliverReply(number) => {
            if let Some(index) = pick(commands, number) {
                cluster.deliver_reply(index);
            }
        }
        Action::LoseReply(number) => {
            if let Some(index) = pick(commands, number) {
                cluster.lose_reply(index);
            }
        }
        Action::Advance(millis) => cluster.clock.advance(Millis(millis)),
        Action::ShedFor(millis) => {
            let until = cluster.clock.now().after(Millis(millis));
            cluster.state.lock().shed_until = until;
        }
        Action::Kill(entry) => scenario.kill(entry % ENTRIES),
        Action::Disconnect(number) => {
            if let Some(index) = pick(scenario.sends(), number) {
                scenario.disconnect(index);
            }
        }
        Action::ChangeTargets(count) => {
            let targets: Vec<_> = (4..4 + count).map(member).collect();
            for entry in &scenario.entries {
                entry
                    .fleets()
                    .update(cluster.clock.now(), &stock(), &targets);
            }
        }
    }
}

fn release(scenario: &Scenario, number: usize, fault: Option<Fault>) {
    let mut state = scenario.cluster.state.lock();
    let Some(index) = pick(state.waiting_steps.len(), number) else {
        return;
    };
    let waiting: WaitingStep = state.waiting_steps[index];
    let can_happen = match fault {
        None => true,
        // The fake target sheds a request only before running it.
        Some(Fault::Shed) => waiting.step == Step::Connect,
        Some(Fault::HalfAnswer) => matches!(waiting.step, Step::Wait | Step::ReadAnswer),
        Some(_) => waiting.step.has_target(),
    };
    if !can_happen {
        return;
    }
    state.waiting_steps.remove(index);
    drop(state);
    scenario.cluster.release_with(waiting.ticket, fault);
}

/// Applies all commands and releases all waiting steps, in the order in which they were sent or
/// reached, and runs the scenario to completion.
fn run_to_completion(scenario: &mut Scenario) {
    scenario.cluster.state.lock().is_scheduled = false;
    let commands = scenario.cluster.state.lock().commands.len();
    for index in 0..commands {
        scenario.cluster.apply_command(index);
        scenario.cluster.deliver_reply(index);
    }
    while !scenario.cluster.state.lock().waiting_steps.is_empty() {
        release(scenario, 0, None);
    }
    scenario.run_until_done();
    for index in 0..commands {
        scenario.cluster.apply_command(index);
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against an interleaving of two entries that runs a keyed request twice, returns a
    /// false `not-run` or a wrong answer, dispatches after the deadline or leaks an in-flight
    /// count.
    #[test]
    fn guarantees_hold_under_random_schedules(
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
        run_to_completion(&mut scenario);
        let checked = scenario.check();
        prop_assert!(checked.is_ok(), "{checked:?}; {}", scenario.summary());
    }
}

/// Guards against random schedules that never reach an outcome, such as an answered run, a
/// `not-run` after a withdrawal or a resend through the other entry, so that the test above would
/// not cover it.
#[test]
fn random_schedules_reach_all_outcomes() {
    let mut runner = proptest::test_runner::TestRunner::new(ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    });
    let strategy = proptest::collection::vec(action(), 50..300);
    let mut summaries = String::new();
    for seed in 0..300 {
        let actions = strategy.new_tree(&mut runner).unwrap().current();
        let mut scenario = Scenario::scheduled(Caller::Numbered, seed);
        scenario.send(0);
        for action in actions {
            perform(&mut scenario, action);
        }
        run_to_completion(&mut scenario);
        summaries.push_str(&scenario.summary());
        summaries.push('\n');
    }
    let missing: Vec<&str> = OUTCOMES
        .iter()
        .copied()
        .filter(|outcome| !summaries.contains(outcome))
        .collect();
    assert!(missing.is_empty(), "no schedule produced {missing:?}");
}

/// Polls a send until it waits for the ledger or the clock.
fn run_send(scenario: &mut Scenario, index: usize) {
    const STEPS: usize = 8;
    for _ in 0..STEPS {
        scenario.poll_send(index);
        let waiting: Vec<WaitingStep> = scenario
            .cluster
            .state
            .lock()
            .waiting_steps
            .drain(..)
            .collect();
        for step in waiting {
            scenario.cluster.release(step.ticket);
        }
    }
}

/// Guards against a `not-run` to a resend that withdrew its grant, after which the delayed Grant
/// command of the first send is applied and the request runs.
#[test]
fn delayed_grant_after_a_withdrawal_does_not_contradict_not_run() {
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
        let cluster = std::sync::Arc::clone(&scenario.cluster);
        cluster.state.lock().shed_until = cluster.clock.now().after(Millis(1_000));
        scenario.send(0);
        run_send(&mut scenario, 0);
        scenario.send(1);
        run_send(&mut scenario, 1);
        cluster.apply_command(RESEND_GRANT);
        cluster.deliver_reply(RESEND_GRANT);
        while cluster.state.lock().commands.len() <= WITHDRAWAL {
            run_send(&mut scenario, 1);
            cluster.clock.advance(Millis(5));
        }
        cluster.apply_command(WITHDRAWAL);
        cluster.deliver_reply(WITHDRAWAL);
        cluster.state.lock().shed_until = cluster.clock.now();
        cluster.apply_command(GRANT);
        cluster.deliver_reply(GRANT);
        cluster.state.lock().is_scheduled = false;
        scenario.run_until_done();
        assert_eq!(scenario.check(), Ok(()), "{caller}");
        assert_eq!(scenario.summary(), summary, "{caller}");
    }
}
