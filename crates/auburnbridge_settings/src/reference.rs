//! The reference page, generated from the declarations.

use std::fmt::Write;

use crate::declare::{Declaration, Presence, Settings};
use crate::{ControlSettings, EntrySettings, GatewaySettings, KeeperSettings};

const INTRODUCTION: &str = "\
# Settings

Generated from the declarations in `crates/auburnbridge_settings`; do not edit. To regenerate it, run
`cargo run -p auburnbridge_settings --example reference > docs/settings.md`.

Each process reads one JSON file, named with `--settings`. Unknown options are errors. Relative paths
are relative to the folder of the file. `auburnbridge check --settings FILE` reports all errors of a
file without starting anything.
";

/// Returns the text of `docs/settings.md`.
pub fn reference() -> String {
    let mut page = INTRODUCTION.to_owned();
    write_role::<EntrySettings>(&mut page, include_str!("../examples/entry.json"));
    write_role::<KeeperSettings>(&mut page, include_str!("../examples/keeper.json"));
    write_role::<GatewaySettings>(&mut page, include_str!("../examples/gateway.json"));
    write_role::<ControlSettings>(&mut page, include_str!("../examples/control.json"));
    page
}

fn write_role<S: Settings>(page: &mut String, example: &str) {
    // Writing to a string doesn't fail.
    let _ = write!(page, "\n## Role `{}`\n\n```json\n{example}```\n", S::ROLE);
    for option in S::OPTIONS {
        write_option(page, option);
    }
}

fn write_option(page: &mut String, option: &Declaration) {
    let description: String = option.description.concat();
    let presence = match option.presence {
        Presence::Required => "Required.".to_owned(),
        Presence::Optional => "Optional.".to_owned(),
        Presence::Default(text) => format!("Default: `{text}`."),
    };
    let _ = write!(
        page,
        "\n### `{}`\n\n{}\n\nValue: {}, such as `{}`. {presence}",
        option.name,
        description.trim(),
        option.kind,
        option.example
    );
    if let Some(range) = option.range {
        let _ = write!(page, " Range: {range}{}.", option.range_unit);
    }
    page.push('\n');
}
