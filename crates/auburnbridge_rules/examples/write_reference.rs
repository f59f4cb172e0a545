//! Writes the generated reference into `docs/rules.md`.

use std::fs;
use std::io;

use auburnbridge_rules::grammar;

const PAGE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/rules.md");
const BEGIN: &str = "<!-- reference begins; written by the example write_reference -->\n";
const END: &str = "<!-- reference ends -->";

fn main() -> io::Result<()> {
    let page = fs::read_to_string(PAGE)?;
    let missing = || io::Error::other("docs/rules.md lacks the marks around the reference");
    let (head, rest) = page.split_once(BEGIN).ok_or_else(missing)?;
    let (_, tail) = rest.split_once(END).ok_or_else(missing)?;
    let reference = grammar::reference();
    fs::write(PAGE, format!("{head}{BEGIN}\n{reference}{END}{tail}"))
}
