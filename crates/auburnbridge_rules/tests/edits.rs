//! Tests of line edits, differences between files and line keys.

use auburnbridge_rules::{LineEdit, LineKey, Method, Rules, TextDigest, difference, rule_lines};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const LINES: &[&str] = &[
    "service stock slots-floor 24 # asked by Meera",
    "service stock slots-floor 12 # asked by Meera",
    "service stock slots-floor 12 most-targets 1 # asked by Meera",
    "service dispatch slots-floor 8 # asked by Meera",
    "route GET /a/* to stock idempotent # asked by Meera",
    "route GET /a/* to dispatch idempotent # asked by Meera",
    "route POST /a to stock once # asked by Meera",
    "account default limit 50/s burst 100 # asked by Jonas",
    "account default limit 60/s burst 100 # asked by Jonas",
    "keys remember 48h # asked by Jonas",
    "team warehouse may change stock # asked by Jonas",
    "unknown",
    "# a comment",
    "",
];

/// A generated edit; its line number is reduced to the length of the file later.
#[derive(Clone, Debug)]
enum GeneratedEdit {
    Replace(u32, &'static str),
    Insert(u32, &'static str),
    Remove(u32),
}

impl GeneratedEdit {
    /// Converts to an edit of a file with `line_count` lines and updates the count. In an empty file,
    /// a replacement or removal becomes the insertion of an empty line.
    fn into_line_edit(self, line_count: &mut u32) -> LineEdit {
        match self {
            Self::Replace(line, text) if *line_count > 0 => LineEdit::Replace {
                line: line % *line_count + 1,
                text: text.to_owned(),
            },
            Self::Remove(line) if *line_count > 0 => {
                *line_count -= 1;
                LineEdit::Remove {
                    line: line % (*line_count + 1) + 1,
                }
            }
            Self::Replace(line, _) | Self::Remove(line) => {
                Self::Insert(line, "").into_line_edit(line_count)
            }
            Self::Insert(line, text) => {
                *line_count += 1;
                LineEdit::Insert {
                    line: line % *line_count + 1,
                    text: text.to_owned(),
                }
            }
        }
    }
}

fn generated_edit() -> impl Strategy<Value = GeneratedEdit> {
    let text = || prop::sample::select(LINES);
    prop_oneof![
        (0..100u32, text()).prop_map(|(line, text)| GeneratedEdit::Replace(line, text)),
        (0..100u32, text()).prop_map(|(line, text)| GeneratedEdit::Insert(line, text)),
        (0..100u32).prop_map(GeneratedEdit::Remove),
    ]
}

/// Results of the public lookups, to compare rules apart from their text.
fn lookup_results(rules: &Rules) -> impl PartialEq + std::fmt::Debug {
    let mut services: Vec<String> = rules.services().map(|s| format!("{s:?}")).collect();
    let mut routes: Vec<String> = rules.routes().map(|r| format!("{r:?}")).collect();
    let mut teams: Vec<String> = rules.teams().map(|t| format!("{t:?}")).collect();
    services.sort();
    routes.sort();
    teams.sort();
    let account = rules.account(&"anyone".parse().unwrap());
    let found = rules.route(Method::Get, "/a/b").cloned();
    (
        services,
        routes,
        teams,
        account,
        rules.key_retention(),
        found,
    )
}

proptest! {
    #![proptest_config(ProptestConfig {
        // A fixed seed makes the result reproducible.
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    /// Guards against edited rules that differ from a parse of the edited text. An entry that
    /// applies edits would then route differently from an entry that was restarted.
    #[test]
    fn edited_rules_equal_parsed_rules(batches in prop::collection::vec(
        prop::collection::vec(generated_edit(), 1..4), 1..60,
    )) {
        let mut rules = Rules::default();
        for batch in batches {
            let mut line_count = u32::try_from(rules.text().lines().count()).unwrap();
            let edits: Vec<LineEdit> =
                batch.into_iter().map(|edit| edit.into_line_edit(&mut line_count)).collect();
            let Ok(edited) = rules.edited(&edits) else { continue };
            let parsed = Rules::parse(edited.text()).expect("an accepted edit leaves a valid file");
            prop_assert_eq!(&edited, &parsed);
            prop_assert_eq!(edited.digest(), TextDigest::of(edited.text()));
            prop_assert_eq!(lookup_results(&edited), lookup_results(&parsed));
            rules = edited;
        }
    }

    /// Guards against a panic on an invalid file, which would stop the process.
    #[test]
    fn parse_never_panics(text in "(service|route|team|keys|#|[ -~\n\r\té]{0,9}| ){0,40}") {
        let _ = Rules::parse(&text);
    }
}

/// Guards against errors of edits without the line number, and against an edit whose text adds a
/// second line.
#[test]
fn invalid_edits_are_refused() {
    let rules = Rules::parse(LINES[0]).unwrap();
    let replace = |line, text: &str| {
        let text = text.to_owned();
        let errors = rules
            .edited(&[LineEdit::Replace { line, text }])
            .unwrap_err();
        errors[0].to_string()
    };
    insta::assert_snapshot!(
        [
            replace(2, LINES[0]),
            replace(1, "a\nb"),
            replace(1, LINES[4])
        ]
        .join("\n")
    );
}

/// Guards against a difference that lists moved or respaced lines, or misses a changed line.
#[test]
fn difference_lists_changed_rules() {
    let old = Rules::parse(&[LINES[0], LINES[3], LINES[5], LINES[9]].join("\n")).unwrap();
    let new = [
        "keys   remember 48h # asked by Jonas",
        LINES[1],
        LINES[3],
        LINES[4],
        LINES[7],
    ];
    let new = Rules::parse(&new.join("\n")).unwrap();
    let changes: Vec<String> = difference(&old, &new)
        .iter()
        .map(ToString::to_string)
        .collect();
    let removed: Vec<String> = difference(&new, &Rules::default())
        .iter()
        .map(ToString::to_string)
        .collect();
    insta::assert_snapshot!(format!("{}\n\n{}", changes.join("\n"), removed.join("\n")));
}

/// Guards against a key that finds no line or a wrong line.
#[test]
fn keys_find_their_lines() {
    let text = [LINES[12], LINES[0], LINES[4], LINES[9], LINES[10]].join("\n");
    for line in rule_lines(&text) {
        assert_eq!(line.key.find(&text), Some(line.number), "{}", line.key);
        assert_eq!(line.text.parse::<LineKey>(), Ok(line.key));
    }
    let key: LineKey = "route GET /a".parse().unwrap();
    assert_eq!(key.find(&text), None);
}
