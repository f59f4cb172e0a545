//! `auburnbridge check`

use std::fs;
use std::path::{Path, PathBuf};

use argh::FromArgs;
use auburnbridge_rules::{Rules, difference};
use auburnbridge_settings::{EntrySettings, KeeperSettings, Settings};

use crate::failure::Failure;

/// Checks settings and rules without side effects.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub(crate) struct CheckArguments {
    /// settings file of an entry
    #[argh(option)]
    entry_settings: Option<PathBuf>,
    /// settings file of a keeper
    #[argh(option)]
    keeper_settings: Option<PathBuf>,
    /// rules file
    #[argh(option)]
    rules: Option<PathBuf>,
    /// rules file to which the difference is shown
    #[argh(option)]
    against: Option<PathBuf>,
}

pub(crate) fn run(arguments: &CheckArguments) -> Result<(), Failure> {
    if let Some(path) = &arguments.entry_settings {
        EntrySettings::load(path)?;
        println!("{}: valid", path.display());
    }
    if let Some(path) = &arguments.keeper_settings {
        KeeperSettings::load(path)?;
        println!("{}: valid", path.display());
    }
    let Some(path) = &arguments.rules else {
        return match (&arguments.entry_settings, &arguments.keeper_settings) {
            (None, None) => Err(Failure::new(
                "nothing to check; name --rules, --entry-settings or --keeper-settings",
            )),
            _ => Ok(()),
        };
    };
    let rules = load_rules(path)?;
    println!(
        "{}: valid, {} services, {} routes",
        path.display(),
        rules.services().len(),
        rules.routes().len()
    );
    if let Some(against) = &arguments.against {
        for change in difference(&load_rules(against)?, &rules) {
            println!("{change}");
        }
    }
    Ok(())
}

fn load_rules(path: &Path) -> Result<Rules, Failure> {
    let text = fs::read_to_string(path)
        .map_err(|error| Failure::new(format!("{}: can't be read: {error}", path.display())))?;
    Rules::parse(&text).map_err(|errors| {
        let lines: Vec<String> = errors
            .iter()
            .map(|error| format!("{}:{error}", path.display()))
            .collect();
        Failure::new(lines.join("\n"))
    })
}
