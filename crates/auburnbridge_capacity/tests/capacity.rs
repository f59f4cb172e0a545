//! Tests the measurement program and the page that explains its tables.

use std::collections::BTreeSet;
use std::process::{Command, Output};

const PAGE: &str = include_str!("../../../docs/CAPACITY.md");

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_auburnbridge_capacity"))
        .args(arguments)
        .output()
        .expect("the program starts")
}

/// Returns the first cell of each row of all tables in `text`.
fn row_ids(text: &str) -> Vec<&str> {
    text.lines()
        .filter_map(|line| line.strip_prefix("| "))
        .filter_map(|line| line.split(" |").next())
        .collect()
}

/// Guards against a measurement that omits a size or a run, so that the table contains fewer
/// samples than requested.
#[test]
fn each_size_has_a_row_with_all_its_runs() {
    let output = run(&["--runs", "2", "--only", "choice"]);
    let table = String::from_utf8(output.stdout).expect("the table is valid UTF-8");
    let ids = row_ids(&table);
    for id in ["D1", "D2", "D3"] {
        let rows = ids.iter().filter(|row| **row == id).count();
        assert_eq!(rows, 4, "rows of {id} in:\n{table}");
    }
    let runs = table
        .lines()
        .filter(|line| line.contains(" | 2 | "))
        .count();
    assert_eq!(runs, 12, "rows with two runs in:\n{table}");
}

/// Guards against a mistyped option being ignored, which would start minutes of measurements.
#[test]
fn an_unknown_option_is_refused() {
    let output = run(&["--run", "2"]);
    assert!(
        !output.status.success(),
        "the program accepted an unknown option"
    );
    assert!(
        output.stdout.is_empty(),
        "the program measured despite an unknown option"
    );
}

/// Guards against the page citing a figure that its tables no longer contain.
#[test]
fn the_page_cites_only_figures_of_its_tables() {
    let (text, tables) = PAGE
        .split_once("## Tables")
        .expect("the page ends with the tables");
    let known: BTreeSet<&str> = row_ids(tables).into_iter().collect();
    let cited: BTreeSet<&str> = text
        .split(|c: char| !c.is_ascii_alphanumeric())
        .filter(|word| is_id(word))
        .collect();
    let unknown: Vec<_> = cited.difference(&known).collect();
    assert!(cited.len() > 20, "too few figures cited: {cited:?}");
    assert!(unknown.is_empty(), "cited but not in a table: {unknown:?}");
}

/// Whether a word has the form of a row id, such as `R3` or `CG1a`.
fn is_id(word: &str) -> bool {
    let letters = word.chars().take_while(char::is_ascii_uppercase).count();
    let digits = word[letters..].trim_end_matches(['a', 'b']);
    let prefixes = [
        "R", "G", "E", "A", "D", "H", "S", "P", "K", "L", "CG", "CP", "CS", "CT", "CC", "CR", "CE",
        "CM", "CL", "X",
    ];
    prefixes.contains(&&word[..letters])
        && !digits.is_empty()
        && digits.chars().all(|c| c.is_ascii_digit())
}
