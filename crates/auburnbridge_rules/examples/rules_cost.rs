//! Measures the time of a parse, an edit and a lookup, and the resident memory per line, for files
//! of 1k, 10k and 86k lines.

use std::fmt::Write;
use std::fs;
use std::hint::black_box;
use std::time::Instant;

use auburnbridge_rules::{LineEdit, Method, Rules};

const SIZES: [usize; 3] = [1_000, 10_000, 86_000];
const ROUTES_PER_SERVICE: usize = 61;
/// Lines held in memory per measurement, so that page granularity doesn't distort the result for
/// small files.
const RETAINED_LINES: usize = 172_000;
const LOOKUPS: usize = 2_000_000;
const EDITS: u32 = 20;
const PAGE_BYTES: usize = 4_096;

fn main() {
    let mut retained = Vec::new();
    for lines in SIZES {
        // Rules of earlier sizes stay allocated, so that later sizes can't reuse their pages.
        retained.push(measure(lines));
    }
}

fn measure(lines: usize) -> Vec<Rules> {
    let text = rules_text(lines);
    let copies = RETAINED_LINES / lines;
    let resident = resident_bytes();
    let mut retained = Vec::with_capacity(copies);
    let started = Instant::now();
    for _ in 0..copies {
        retained.push(Rules::parse(&text).expect("the generated rules are valid"));
    }
    let parse =
        started.elapsed() / u32::try_from(copies).expect("the number of copies fits into 32 bits");
    let bytes = resident_bytes().saturating_sub(resident) / (copies * lines);
    let paths: Vec<String> = (0..lines).map(request_path).collect();
    let rules = &retained[0];
    let started = Instant::now();
    let found = (0..LOOKUPS)
        // The stride is coprime to the sizes, so that the lookups visit all routes out of order.
        .filter(|lookup_number| {
            let path = &paths[(lookup_number * 7_919) % lines];
            black_box(rules.route(Method::Get, path)).is_some()
        })
        .count();
    let lookup = started.elapsed().as_nanos() / LOOKUPS as u128;
    let edit = LineEdit::Replace {
        line: u32::try_from(lines).expect("the number of lines fits into 32 bits"),
        text: "route GET /edited to service-0 idempotent # asked by Meera".to_owned(),
    };
    let started = Instant::now();
    for _ in 0..EDITS {
        black_box(rules.edited(std::slice::from_ref(&edit))).expect("the edit is valid");
    }
    let edited = started.elapsed() / EDITS;
    println!(
        "{lines} lines, {} bytes of text per line: parse {parse:?}, edit of one line {edited:?}, \
         {bytes} bytes resident per line, {lookup} ns per lookup, {found} of {LOOKUPS} found",
        text.len() / lines
    );
    retained
}

/// Generates one service line per [`ROUTES_PER_SERVICE`] routes; a third of the routes are
/// wildcards.
fn rules_text(lines: usize) -> String {
    let mut text = String::new();
    for number in 0..lines {
        let service = number / (ROUTES_PER_SERVICE + 1);
        let line = if number % (ROUTES_PER_SERVICE + 1) == 0 {
            writeln!(
                text,
                "service service-{service} slots-floor 24 ejection careful # asked by Meera"
            )
        } else {
            let path = route_path(number);
            writeln!(
                text,
                "route GET {path} to service-{service} idempotent timeout 2s # asked by Meera"
            )
        };
        line.expect("writing to a string succeeds");
    }
    text
}

fn route_path(number: usize) -> String {
    let area = number / 100;
    if number.is_multiple_of(3) {
        format!("/area-{area}/shelf-{number}/*")
    } else {
        format!("/area-{area}/shelf-{number}/bins")
    }
}

fn request_path(number: usize) -> String {
    format!("/area-{}/shelf-{number}/bins", number / 100)
}

fn resident_bytes() -> usize {
    let statm = fs::read_to_string("/proc/self/statm").expect("`/proc` is mounted");
    let pages = statm.split(' ').nth(1).and_then(|field| field.parse().ok());
    pages.unwrap_or(0usize) * PAGE_BYTES
}
