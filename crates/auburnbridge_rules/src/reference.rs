//! Generates the reference section of `docs/rules.md`.

use std::fmt::{self, Write};

use crate::grammar::{LINES, LineSpec, Part};

/// Returns the reference of every kind of line, in Markdown.
pub fn reference() -> String {
    let mut text = String::new();
    for spec in LINES {
        write_line_kind(&mut text, spec).expect("writing to a string succeeds");
    }
    text
}

fn write_line_kind(text: &mut String, spec: &LineSpec) -> fmt::Result {
    let options = if spec.options.is_empty() {
        ""
    } else {
        " [OPTION VALUE]..."
    };
    writeln!(text, "### `{}`\n", spec.name)?;
    writeln!(text, "    {}{options}  # asked by NAME\n", spec.syntax())?;
    writeln!(
        text,
        "A line of kind `{}` {}. It is identified by its first {}, which no other line may share.\n",
        spec.name,
        spec.description,
        if spec.key_word_count == 1 {
            "word".to_owned()
        } else {
            format!("{} words", spec.key_word_count)
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
            let (name, kind, description) = (argument.name, argument.kind, argument.description);
            writeln!(text, "| {name} | {kind} | required | {description} |")?;
        }
    }
    for option in spec.options {
        let (name, kind, description) = (option.name, option.kind, option.description);
        let default = match option.default {
            Some(number) => format!("`{}`", kind.format(number)),
            None => "required".to_owned(),
        };
        writeln!(text, "| `{name}` | {kind} | {default} | {description} |")?;
    }
    Ok(())
}
