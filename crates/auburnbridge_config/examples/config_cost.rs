//! Measures the time of edits, deltas and snapshots, and the size of a snapshot, for a rules file
//! of 86k lines.

use std::fmt::Write;
use std::time::{Duration, Instant};

use auburnbridge_config::{Change, Edit, EditReply, RulesCopy, RulesState};
use auburnbridge_types::{IdempotencyKey, Timestamp};

const LINES: usize = 86_000;
const EDITS: u32 = 50;
const NOW: Timestamp = Timestamp(1_800_000_000_000);

fn main() {
    let mut rules_state = RulesState::default();
    let mut copy = RulesCopy::default();
    let (replace_time, ()) = timed(|| apply(&mut rules_state, 0, Change::ReplaceAll(rules_text())));
    let (full_delta_time, ()) = timed(|| update_copy(&rules_state, &mut copy));
    let (mut edit_time, mut delta_time) = (Duration::ZERO, Duration::ZERO);
    for number in 1..=EDITS {
        let text = format!("route GET /shelf-{number}/* to stock once # asked by Meera");
        let set_line = Change::SetLine {
            replaces: None,
            text,
        };
        edit_time += timed(|| apply(&mut rules_state, number, set_line)).0;
        delta_time += timed(|| update_copy(&rules_state, &mut copy)).0;
    }
    let mut text = rules_state.rules().text().to_string();
    text.push_str("keys remember 48h # asked by Meera\n");
    let (resend_time, ()) = timed(|| apply(&mut rules_state, EDITS + 1, Change::ReplaceAll(text)));
    let (snapshot_time, snapshot) = timed(|| rules_state.snapshot());
    let (restore_time, restored) = timed(|| RulesState::restore(&snapshot));
    assert_eq!(
        restored.map(|rules_state| rules_state.revision()),
        Ok(rules_state.revision())
    );
    println!(
        "{LINES} lines: replace the file {replace_time:?}, \
         apply it on an entry {full_delta_time:?}; \
         resend it with one more line {resend_time:?}; \
         edit of one line {:?}, its delta on an entry {:?}; \
         snapshot of {} bytes written in {snapshot_time:?}, restored in {restore_time:?}",
        edit_time / EDITS,
        delta_time / EDITS,
        snapshot.len(),
    );
}

fn apply(rules_state: &mut RulesState, number: u32, change: Change) {
    let mut random = [0; 10];
    random[6..].copy_from_slice(&number.to_le_bytes());
    let edit = Edit {
        id: IdempotencyKey::from_parts(NOW, random).into(),
        author: "Meera".parse().expect("the author name should be valid"),
        expected: None,
        change,
    };
    let reply = rules_state.apply(NOW, edit);
    assert!(matches!(reply, EditReply::Accepted { .. }), "{reply:?}");
}

fn update_copy(rules_state: &RulesState, copy: &mut RulesCopy) {
    let delta = rules_state.delta_since(copy.revision());
    assert_eq!(copy.apply_delta(&delta), Ok(true));
}

fn timed<T>(f: impl FnOnce() -> T) -> (Duration, T) {
    let started = Instant::now();
    let result = f();
    (started.elapsed(), result)
}

fn rules_text() -> String {
    let mut text = "service stock slots-floor 24 # asked by Meera\n".to_owned();
    for number in 1..LINES {
        writeln!(
            text,
            "route GET /shelf-{number}/* to stock idempotent timeout 2s # asked by Meera"
        )
        .expect("writing to a string should succeed");
    }
    text
}
