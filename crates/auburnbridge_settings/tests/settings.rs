//! Tests of the parsing of settings files, their errors and the reference page.

use std::fs;
use std::path::Path;

use auburnbridge_settings::{
    EntrySettings, KeeperSettings, Presence, ServiceScope, Settings, SettingsError, reference,
};
use auburnbridge_types::{ByteSize, Millis};
use proptest::prelude::*;

const ENTRY: &str = include_str!("../examples/entry.json");
const KEEPER: &str = include_str!("../examples/keeper.json");

fn entry(text: &str) -> Result<EntrySettings, SettingsError> {
    EntrySettings::parse(Path::new("entry.json"), text)
}

fn keeper(text: &str) -> Result<KeeperSettings, SettingsError> {
    KeeperSettings::parse(Path::new("keeper.json"), text)
}

/// Returns the example with `line` replaced.
fn edited(example: &str, line: &str, replacement: &str) -> String {
    assert!(example.contains(line), "the example has no line {line}");
    example.replace(line, replacement)
}

/// Guards against example files that don't load and defaults that differ from their declarations.
#[test]
fn examples_load_with_defaults() {
    let settings = entry(ENTRY).unwrap();
    assert_eq!(settings.balancer_lag, Millis(8_000));
    assert_eq!(settings.shutdown_limit, Millis(30_000));
    assert_eq!(settings.request_head_limit, ByteSize(32 << 10));
    assert_eq!(settings.answer_memory, ByteSize(64 << 20));
    assert_eq!(settings.connections_per_target, 20);
    assert_eq!(settings.operator_address, None);
    assert_eq!(settings.keepers.len(), 3);
    let settings = keeper(KEEPER).unwrap();
    assert_eq!(settings.snapshot_every, 10_000);
    assert_eq!(settings.election_timeout, Millis(300));
    assert_eq!(settings.operator_keys[0].sha256.0[..2], [0x9f, 0x86]);
    let scope = &settings.operator_keys[0].services;
    assert!(scope.includes(&"stock".parse().unwrap()));
    assert!(!scope.includes(&"dispatch".parse().unwrap()));
    let all = keeper(&edited(KEEPER, r#"["stock"]"#, r#"["*"]"#)).unwrap();
    assert_eq!(all.operator_keys[0].services, ServiceScope::All);
}

/// Guards against relative paths that are resolved against the working directory of the process.
#[test]
fn relative_paths_are_resolved_against_the_file() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("keeper.json");
    fs::write(&path, KEEPER).unwrap();
    let settings = KeeperSettings::load(&path).unwrap();
    assert_eq!(settings.keys, folder.path().join("keys"));
    assert_eq!(settings.data_folder, Path::new("/var/lib/auburnbridge"));
    assert_eq!(
        fs::read_dir(folder.path()).unwrap().count(),
        1,
        "loading must not create files"
    );
    let missing = folder.path().join("none.json");
    let error = KeeperSettings::load(&missing).unwrap_err().to_string();
    assert!(error.starts_with(&missing.display().to_string()), "{error}");
}

/// Guards against declarations that panic when they are used: defaults or bounds that don't parse,
/// or a default outside its range.
#[test]
fn declarations_are_consistent() {
    for option in [EntrySettings::OPTIONS, KeeperSettings::OPTIONS].concat() {
        assert!(!option.description.is_empty(), "{}", option.name);
        let Some(range) = option.range else { continue };
        let Presence::Default(default) = option.presence else {
            continue;
        };
        let quoted = |text: &str| {
            if option.example.starts_with('"') {
                format!("{text:?}")
            } else {
                text.to_owned()
            }
        };
        // The range of a list bounds its length; the only default is the empty list.
        if default == "[]" {
            assert_eq!(range.min, "0", "{}", option.name);
            continue;
        }
        for text in [default, range.min, range.max] {
            let line = format!("{{\"{}\": {}, ", option.name, quoted(text));
            let problems = [
                entry(&ENTRY.replacen('{', &line, 1)).err(),
                keeper(&KEEPER.replacen('{', &line, 1)).err(),
            ];
            let refused = problems
                .into_iter()
                .flatten()
                .map(|error| error.to_string());
            for error in refused {
                assert!(!error.contains("out of range"), "{error}");
                assert!(!error.contains("expected"), "{error}");
            }
        }
    }
}

/// Guards against errors without the file, the line, the offending text or a fix, and against a
/// report of only the first error of a file.
#[test]
fn errors_say_what_to_write() {
    let keys = r#"  "keys": "keys","#;
    let cases = [
        (
            "malformed JSON",
            entry(&edited(ENTRY, keys, r#"  "keys": "keys""#)).err(),
        ),
        ("not an object", entry("[]").err()),
        ("empty file", entry("").err()),
        ("empty object", keeper("{\n}\n").err()),
        (
            "unknown option",
            entry(&edited(ENTRY, "balancer_lag", "balancer_lagg")).err(),
        ),
        (
            "repeated option",
            entry(&edited(
                ENTRY,
                keys,
                "  \"keys\": \"a\",\n  \"keys\": \"b\",",
            ))
            .err(),
        ),
        (
            "several errors",
            entry(&edited(
                ENTRY,
                r#""balancer_lag": "8s""#,
                r#""balancer_lag": 8,
  "shutdown_limit": "1500us",
  "request_body_limit": "5MB",
  "connections_per_target": 0,
  "metrics_address": "statsd:8125""#,
            ))
            .err(),
        ),
        (
            "conflicting options",
            entry(&edited(
                ENTRY,
                r#""balancer_lag": "8s""#,
                r#""balancer_lag": "30s",
  "operator_address": "10.0.0.1:8080""#,
            ))
            .err(),
        ),
        (
            "number as string",
            keeper(&edited(KEEPER, "{\n", "{\n  \"snapshot_every\": \"4\",\n")).err(),
        ),
        (
            "own VM in entries",
            entry(&edited(ENTRY, "entry-2", "entry-1")).err(),
        ),
        (
            "item without address",
            keeper(&edited(KEEPER, "10.0.1.11:7400", "10.0.1.11")).err(),
        ),
        (
            "repeated item",
            keeper(&edited(KEEPER, "keeper-3", "keeper-2")).err(),
        ),
        (
            "unknown field",
            keeper(&edited(KEEPER, r#""name""#, r#""nom""#)).err(),
        ),
        (
            "short digest",
            keeper(&edited(KEEPER, "9f86d081", "9f86")).err(),
        ),
        (
            "empty services",
            keeper(&edited(KEEPER, r#"["stock"]"#, "[]")).err(),
        ),
        (
            "long heartbeat interval",
            keeper(&edited(
                KEEPER,
                keys,
                &format!("{keys}\n  \"heartbeat_interval\": \"101ms\","),
            ))
            .err(),
        ),
        (
            "different port",
            keeper(&edited(
                KEEPER,
                "0.11:7400\",\n  \"op",
                "0.11:7401\",\n  \"op",
            ))
            .err(),
        ),
    ];
    let reports: Vec<String> = cases
        .into_iter()
        .map(|(case, error)| {
            let error = error.map_or("accepted".to_owned(), |error| error.to_string());
            format!("# {case}\n{error}\n")
        })
        .collect();
    insta::assert_snapshot!(reports.join("\n"));
}

/// Guards against a reference page that differs from the declarations.
#[test]
fn reference_page_is_current() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/settings.md");
    let page = fs::read_to_string(path).unwrap_or_default();
    assert!(
        page == reference(),
        "docs/settings.md is stale; run `cargo run -p auburnbridge_settings --example reference > docs/settings.md`"
    );
}

proptest! {
    /// Guards against a panic on a corrupted file, and against an error whose line is not in the
    /// file.
    #[test]
    fn errors_of_corrupted_files_have_valid_lines(
        example in prop::sample::select(vec![ENTRY, KEEPER]),
        corruptions in prop::collection::vec((any::<prop::sample::Index>(), any::<char>()), 1..4),
        cut in prop::option::of(any::<prop::sample::Index>()),
    ) {
        let mut characters: Vec<char> = example.chars().collect();
        for (position, character) in corruptions {
            let position = position.index(characters.len());
            characters[position] = character;
        }
        if let Some(cut) = cut {
            characters.truncate(cut.index(characters.len()));
        }
        let text: String = characters.into_iter().collect();
        let last_line = text.matches('\n').count() + 1;
        for error in [entry(&text).err(), keeper(&text).err()].into_iter().flatten() {
            let SettingsError::Invalid(_, problems) = error else {
                return Err(TestCaseError::fail("parsing a text must not report a read error"));
            };
            prop_assert!(!problems.is_empty());
            for problem in problems {
                prop_assert!((1..=last_line).contains(&problem.line), "{}", problem);
                prop_assert!(!problem.reason.is_empty() && !problem.fix.is_empty());
            }
        }
    }

    /// Guards against an error of a list item that is reported on another line.
    #[test]
    fn item_errors_have_the_line_of_the_item(
        count in 1_usize..9,
        wrong in any::<prop::sample::Index>(),
    ) {
        let wrong = wrong.index(count);
        let items: Vec<String> = (0..count)
            .map(|number| {
                let port = if number == wrong { "none" } else { "7400" };
                format!(r#"  {{"vm": "k{number}", "address": "10.0.0.{number}:{port}"}}"#)
            })
            .collect();
        let text = format!("{{\n\"members\": [\n{}\n]\n}}\n", items.join(",\n"));
        let Err(SettingsError::Invalid(_, problems)) = keeper(&text) else {
            return Err(TestCaseError::fail("the invalid address was accepted"));
        };
        let problem = problems.iter().find(|problem| problem.reason.starts_with("`members`:"));
        prop_assert_eq!(problem.map(|problem| problem.line), Some(wrong + 3));
    }
}
