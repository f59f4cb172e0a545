//! Tests of the replies to edits, their order and their deduplication.

mod common;

use auburnbridge_config::{
    Change, EDIT_ID_RETENTION, Edit, EditReply, LineSelector, MAX_EDIT_IDS, RulesState,
};
use auburnbridge_types::{Millis, Revision, Timestamp};
use common::{SERVICE, START, edit, id, remove, set};

fn text_selector(text: &str) -> LineSelector {
    LineSelector::Text(text.to_owned())
}

/// Guards against a reply to an operator that does not match the effect of the edit.
#[test]
fn edits_get_expected_replies() {
    let route = "route GET /a/* to stock idempotent # asked by Meera";
    let moved = "route GET /b/* to stock idempotent # asked by Meera";
    let steps = [
        edit(1, Some(0), Change::ReplaceAll(SERVICE.to_owned())),
        edit(1, Some(0), Change::ReplaceAll(SERVICE.to_owned())),
        edit(1, Some(0), set(route)),
        edit(2, Some(0), set(route)),
        edit(3, Some(1), set(route)),
        edit(4, None, set("service stock slots-floor 12 # asked by Ana")),
        edit(5, None, remove("service stock")),
        edit(6, None, remove("service dispatch")),
        edit(7, None, set("route GET /a/*")),
        edit(
            8,
            None,
            Change::SetLine {
                replaces: Some(text_selector(route)),
                text: moved.to_owned(),
            },
        ),
        edit(
            9,
            None,
            Change::SetLine {
                replaces: Some(text_selector(route)),
                text: moved.to_owned(),
            },
        ),
        edit(
            10,
            None,
            Change::RemoveLine {
                line: text_selector(moved),
            },
        ),
        edit(5, None, remove("service stock")),
        edit(11, None, set("# a comment")),
        edit(12, None, set("two\nlines")),
    ];
    let mut rules_state = RulesState::default();
    let mut lines = Vec::new();
    for step in steps {
        lines.push(format!("{:?}", rules_state.apply(START, step)));
    }
    lines.push(rules_state.rules().text().to_string());
    lines.extend(
        rules_state
            .history()
            .map(|entry| format!("{} {} {}", entry.revision, entry.author, entry.summary)),
    );
    insta::assert_snapshot!(lines.join("\n"));
}

/// Guards against a race in which an operator who sends more edits wins over the one who was first
/// in the log.
#[test]
fn first_concurrent_edit_in_log_order_wins() {
    let mut rules_state = RulesState::default();
    let accepted = rules_state.apply(START, edit(1, Some(0), set(SERVICE)));
    assert_eq!(
        accepted,
        EditReply::Accepted {
            revision: Revision(1)
        }
    );
    for number in 2..5 {
        let reply = rules_state.apply(
            START,
            edit(number, Some(0), set("keys remember 48h # asked by Ana")),
        );
        assert_eq!(
            reply,
            EditReply::Stale {
                current: Revision(1)
            }
        );
    }
}

/// Guards against an edit that is applied again after its id was dropped, and against unbounded
/// memory.
#[test]
fn kept_ids_are_bounded_and_edits_apply_at_most_once() {
    let mut rules_state = RulesState::default();
    let refused = |number| edit(number, Some(7), set(SERVICE));
    let stale = EditReply::Stale {
        current: Revision(0),
    };
    let count = u32::try_from(MAX_EDIT_IDS).unwrap();
    for number in 0..count {
        assert_eq!(rules_state.apply(START, refused(number)), stale);
    }
    assert_eq!(
        rules_state.apply(START, refused(count)),
        EditReply::TooManyEdits
    );
    assert_eq!(
        rules_state.apply(START, refused(0)),
        EditReply::Repeated(Box::new(stale.clone()))
    );

    let fresh = |now, number| Edit {
        id: id(now, number),
        ..refused(number)
    };
    // The creation time of an id may be up to 5 min after the id was seen, so the id is kept that
    // much longer than its retention.
    let retention_end = START.after(EDIT_ID_RETENTION);
    let reply = rules_state.apply(retention_end, fresh(retention_end, count));
    assert_eq!(reply, EditReply::TooManyEdits);
    let later = retention_end.after(Millis(5 * 60_000));
    assert_eq!(rules_state.apply(later, fresh(later, count)), stale);
    // The first id was dropped to make room; it has expired, so its resend isn't taken for new.
    assert_eq!(rules_state.apply(later, refused(0)), EditReply::IdExpired);
    assert_eq!(
        rules_state.apply(later, refused(1)),
        EditReply::Repeated(Box::new(stale))
    );
}

/// Guards against ids from a clock that is far ahead, which would be dropped before they expire.
#[test]
fn ids_outside_the_window_are_refused() {
    let cases = [
        (START.0, true),
        (START.0 + 5 * 60_000, true),
        (START.0 + 5 * 60_000 + 1, false),
        (START.0 - EDIT_ID_RETENTION.0 + 1, true),
        (START.0 - EDIT_ID_RETENTION.0, false),
    ];
    for (created, accepted) in cases {
        let id = id(Timestamp(created), 1);
        let reply = RulesState::default().apply(
            START,
            Edit {
                id,
                ..edit(1, None, set(SERVICE))
            },
        );
        assert_eq!(reply == EditReply::IdExpired, !accepted, "{created}");
    }
}

/// Guards against refused edits whose kept errors exhaust the memory.
#[test]
fn kept_errors_are_bounded() {
    let mut rules_state = RulesState::default();
    let invalid = || Change::ReplaceAll("wrong line\n".repeat(2_000));
    for number in 0..40 {
        let reply = rules_state.apply(START, edit(number, None, invalid()));
        let EditReply::Invalid { errors, omitted } = reply else {
            panic!("edit {number} should be refused as invalid")
        };
        assert_eq!((errors.len(), omitted), (1_000, 3_000));
    }
    assert!(rules_state.snapshot().len() < 5 << 20);
    let EditReply::Repeated(first) = rules_state.apply(START, edit(0, None, invalid())) else {
        panic!("the first id should still be known");
    };
    assert_eq!(
        *first,
        EditReply::Invalid {
            errors: Vec::new(),
            omitted: 4_000
        }
    );
}
