//! Checks the guarantees to callers under every fault at every step of the request path.

use std::fmt::Write;

use strum::IntoEnumIterator;

use crate::fault::{Fault, Step, reason_not_run};
use crate::scenario::{Caller, Scenario};

fn cells() -> impl Iterator<Item = (Step, Fault)> {
    Step::iter().flat_map(|step| Fault::iter().map(move |fault| (step, fault)))
}

/// Idempotent requests do not use the ledger.
fn is_run(caller: Caller, step: Step, fault: Fault) -> bool {
    let uses_ledger = matches!(step, Step::LedgerGrant | Step::StoreAnswer);
    reason_not_run(step, fault).is_none() && !(uses_ledger && caller == Caller::Idempotent)
}

/// Guards against a second run of a keyed request, a false `not-run`, a wrong or partial answer, a
/// dispatch after the deadline and a leaked in-flight count. The snapshot shows changed outcomes.
#[test]
fn every_fault_at_every_step() {
    let mut page = String::new();
    let mut violations = Vec::new();
    for caller in Caller::iter() {
        writeln!(page, "# {caller}\n").unwrap();
        for (step, fault) in cells().filter(|(step, fault)| is_run(caller, *step, *fault)) {
            let scenario = Scenario::new(caller, &[(step, fault)]).run();
            if let Err(violation) = scenario.check() {
                violations.push(format!("{caller} {step} {fault}: {violation}"));
            }
            let is_reached = scenario.cluster.state.lock().plan.is_empty();
            let reached = if is_reached { "" } else { " (not reached)" };
            writeln!(page, "{step} x {fault}: {}{reached}", scenario.summary()).unwrap();
        }
        page.push('\n');
    }
    assert!(violations.is_empty(), "{violations:#?}\n{page}");
    insta::assert_snapshot!(page);
}

/// Guards against a pair of step and fault that is neither run nor listed with a reason.
#[test]
fn every_cell_is_run_or_listed() {
    let mut page = String::new();
    for (step, fault) in cells() {
        if let Some(reason) = reason_not_run(step, fault) {
            writeln!(page, "{step} x {fault}: {reason}").unwrap();
            continue;
        }
        let is_reached = Caller::iter()
            .filter(|caller| is_run(*caller, step, fault))
            .any(|caller| {
                let scenario = Scenario::new(caller, &[(step, fault)]).run();
                scenario.cluster.state.lock().plan.is_empty()
            });
        assert!(
            is_reached,
            "no request reaches the fault {fault} at the step {step}"
        );
    }
    insta::assert_snapshot!(page);
}

/// Guards against violations of the same guarantees under two faults, one after the other in the
/// same send or the second one in a resend.
#[test]
fn every_pair_of_faults() {
    let mut violations = Vec::new();
    for caller in Caller::iter() {
        let cells: Vec<_> = cells()
            .filter(|(step, fault)| is_run(caller, *step, *fault))
            .collect();
        for first in &cells {
            for second in &cells {
                let scenario = Scenario::new(caller, &[*first, *second]).run();
                if let Err(violation) = scenario.check() {
                    let summary = scenario.summary();
                    violations.push(format!(
                        "{caller} {first:?} {second:?}: {violation}; {summary}"
                    ));
                }
            }
        }
    }
    assert!(
        violations.is_empty(),
        "{} {violations:#?}",
        violations.len()
    );
}
