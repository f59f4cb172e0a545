//! Tests of the page `docs/rules.md`.

use auburnbridge_rules::{Rules, grammar};

const PAGE: &str = include_str!("../../../docs/rules.md");

/// Guards against a reference that no longer matches the declarations.
#[test]
fn reference_in_docs_is_current() {
    assert!(
        PAGE.contains(&grammar::reference()),
        "run `cargo run -p auburnbridge_rules --example write_reference`"
    );
}

/// Guards against documented examples that are refused when an operator copies them.
#[test]
fn examples_are_valid() {
    let examples: Vec<&str> = grammar::LINES.iter().map(|line| line.example).collect();
    Rules::parse(&examples.join("\n")).unwrap();
    let introduction = PAGE.lines().skip(5).take(3);
    let introduction: Vec<&str> = introduction.map(str::trim).collect();
    assert_eq!(
        Rules::parse(&introduction.join("\n"))
            .unwrap()
            .routes()
            .len(),
        2
    );
}

/// Guards against a default outside its option's bounds, and against an omitted option that differs
/// from its written default.
#[test]
fn defaults_are_within_bounds() {
    let options: Vec<String> = grammar::LINES
        .iter()
        .flat_map(|line| line.options.iter())
        .filter_map(|option| {
            Some(format!(
                "{} {}",
                option.name,
                option.kind.format(option.default?)
            ))
        })
        .collect();
    let (route, service): (Vec<&String>, Vec<&String>) = options
        .iter()
        .partition(|option| option.starts_with("timeout") || option.starts_with("largest"));
    let join = |options: Vec<&String>| {
        options
            .into_iter()
            .map(String::as_str)
            .collect::<Vec<_>>()
            .join(" ")
    };
    let text = format!(
        "service s slots-floor 1 {} # asked by test\nroute GET / to s once {} # asked by test\n",
        join(service),
        join(route)
    );
    let written = Rules::parse(&text).unwrap();
    let short = "service s slots-floor 1 # asked by test\nroute GET / to s once # asked by test\n";
    let omitted = Rules::parse(short).unwrap();
    let name = "s".parse().unwrap();
    assert_eq!(written.service(&name), omitted.service(&name));
    assert!(written.routes().eq(omitted.routes()));
}
