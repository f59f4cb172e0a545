//! Prints the time of an edit, a delta and a snapshot, and the size of a snapshot, for a file of
//! 86k lines.

use std::fmt::Write;
use std::time::{Duration, Instant};

use auburnbridge_config::{Change, Config, Edit, EditReply, RulesCopy};
use auburnbridge_types::{IdempotencyKey, Timestamp};

const LINES: usize = 86_000;
const EDITS: u32 = 50;
const NOW: Timestamp = Timestamp(1_800_000_000_000);

fn main() {
    let mut config = Config::default();
    let mut copy = RulesCopy::default();
    let (replaced, ()) = timed(|| apply(&mut config, 0, Change::ReplaceAll(rules_text())));
    let (whole, ()) = timed(|| follow(&config, &mut copy));
    let (mut edits, mut deltas) = (Duration::ZERO, Duration::ZERO);
    for number in 1..=EDITS {
        let text = format!("route GET /shelf-{number}/* to stock once # asked by Meera");
        let set_line = Change::SetLine {
            replaces: None,
            text,
        };
        edits += timed(|| apply(&mut config, number, set_line)).0;
        deltas += timed(|| follow(&config, &mut copy)).0;
    }
    let mut text = config.rules().text().to_string();
    text.push_str("keys remember 48h # asked by Meera\n");
    let (resent, ()) = timed(|| apply(&mut config, EDITS + 1, Change::ReplaceAll(text)));
    let (written, snapshot) = timed(|| config.snapshot());
    let (read, restored) = timed(|| Config::restore(&snapshot));
    assert_eq!(
        restored.map(|config| config.revision()),
        Ok(config.revision())
    );
    println!(
        "{LINES} lines: replace the file {replaced:?}, apply it on an entry {whole:?}; \
         resend it with one more line {resent:?}; edit of one line {:?}, its delta on an entry {:?}; \
         snapshot of {} bytes written in {written:?}, restored in {read:?}",
        edits / EDITS,
        deltas / EDITS,
        snapshot.len(),
    );
}

fn apply(config: &mut Config, number: u32, change: Change) {
    let mut random = [0; 10];
    random[6..].copy_from_slice(&number.to_le_bytes());
    let edit = Edit {
        id: IdempotencyKey::from_parts(NOW, random).into(),
        author: "Meera".parse().expect("a valid author"),
        expected: None,
        change,
    };
    let reply = config.apply(NOW, edit);
    assert!(matches!(reply, EditReply::Accepted { .. }), "{reply:?}");
}

fn follow(config: &Config, copy: &mut RulesCopy) {
    let delta = config.delta_since(copy.revision());
    assert_eq!(copy.apply_delta(&delta), Ok(true));
}

fn timed<T>(work: impl FnOnce() -> T) -> (Duration, T) {
    let started = Instant::now();
    let result = work();
    (started.elapsed(), result)
}

fn rules_text() -> String {
    let mut text = "service stock slots-floor 24 # asked by Meera\n".to_owned();
    for number in 1..LINES {
        writeln!(
            text,
            "route GET /shelf-{number}/* to stock idempotent timeout 2s # asked by Meera"
        )
        .expect("writing to a string succeeds");
    }
    text
}
