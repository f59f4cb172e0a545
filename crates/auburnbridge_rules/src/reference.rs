//! The reference part of `docs/rules.md`.

use std::fmt::{self, Write};

use crate::grammar::{LINES, LineSpec, Part};

/// The reference of every kind of line, in Markdown.
pub fn reference() -> String {
    let mut text = String::new();
    for spec in LINES {
        write_line(&mut text, spec).expect("writing to a string succeeds");
    }
    text
}

fn write_line(text: &mut String, spec: &LineSpec) -> fmt::Result {
    let options = if spec.options.is_empty() {
        ""
    } else {
        " [OPTION VALUE]..."
    };
    writeln!(text, "### `{}`\n", spec.name)?;
    writeln!(text, "    {}{options}  # asked by NAME\n", spec.form())?;
    writeln!(
        text,
        "A `{}` line {}. It is identified by its first {}, which no other line shares.\n",
        spec.name,
        spec.meaning,
        if spec.key_words == 1 {
            "word".to_owned()
        } else {
            format!("{} words", spec.key_words)
        }
    )?;
    write_table(text, spec)?;
    writeln!(text, "\nExample:\n\n    {}\n", spec.example)
}

fn write_table(text: &mut String, spec: &LineSpec) -> fmt::Result {
    writeln!(text, "| word | value | default | meaning |")?;
    writeln!(text, "|---|---|---|---|")?;
    for part in spec.parts {
        if let Part::Argument(argument) = part {
            let (name, kind, meaning) = (argument.name, argument.kind, argument.meaning);
            writeln!(text, "| {name} | {kind} | required | {meaning} |")?;
        }
    }
    for option in spec.options {
        let (name, kind, meaning) = (option.name, option.kind, option.meaning);
        let default = match option.default {
            Some(number) => format!("`{}`", kind.write(number)),
            None => "required".to_owned(),
        };
        writeln!(text, "| `{name}` | {kind} | {default} | {meaning} |")?;
    }
    Ok(())
}
