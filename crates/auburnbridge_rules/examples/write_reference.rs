//! Replaces the generated reference in `docs/rules.md`.

use std::fs;
use std::io;

use auburnbridge_rules::grammar;

const PAGE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/rules.md");
const BEGIN_MARKER: &str = "<!-- reference begins; written by the example write_reference -->\n";
const END_MARKER: &str = "<!-- reference ends -->";

fn main() -> io::Result<()> {
    let page = fs::read_to_string(PAGE)?;
    let missing_marker =
        || io::Error::other("docs/rules.md lacks the markers around the reference");
    let (head, rest) = page.split_once(BEGIN_MARKER).ok_or_else(missing_marker)?;
    let (_, tail) = rest.split_once(END_MARKER).ok_or_else(missing_marker)?;
    let reference = grammar::reference();
    fs::write(
        PAGE,
        format!("{head}{BEGIN_MARKER}\n{reference}{END_MARKER}{tail}"),
    )
}
