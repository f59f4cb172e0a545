//! `auburnbridge check`: validates settings, documents and rules.

use std::fs;
use std::path::{Path, PathBuf};

use argh::FromArgs;
use auburnbridge_routing::Dialect;
use auburnbridge_rules::{Rules, difference};
use auburnbridge_settings::{
    ControlSettings, EntrySettings, GatewaySettings, KeeperSettings, Settings,
};
use auburnbridge_utility::UtilityDialect;

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
    /// settings file of a gateway
    #[argh(option)]
    gateway_settings: Option<PathBuf>,
    /// settings file of a control keeper
    #[argh(option)]
    control_settings: Option<PathBuf>,
    /// configuration document of the utility platform
    #[argh(option)]
    document: Option<PathBuf>,
    /// rules file
    #[argh(option)]
    rules: Option<PathBuf>,
    /// rules file to compare with; prints the changes from it to the file of --rules
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
    if let Some(path) = &arguments.gateway_settings {
        GatewaySettings::load(path)?;
        println!("{}: valid", path.display());
    }
    if let Some(path) = &arguments.control_settings {
        ControlSettings::load(path)?;
        println!("{}: valid", path.display());
    }
    if let Some(path) = &arguments.document {
        check_document(path)?;
    }
    let Some(path) = &arguments.rules else {
        return if arguments.is_empty() {
            Err(Failure::new(
                "nothing to check; give --rules, --document or the settings of a role",
            ))
        } else {
            Ok(())
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

impl CheckArguments {
    /// Whether no file to check was given.
    fn is_empty(&self) -> bool {
        let files = [
            &self.entry_settings,
            &self.keeper_settings,
            &self.gateway_settings,
            &self.control_settings,
            &self.document,
            &self.rules,
        ];
        files.iter().all(|file| file.is_none())
    }
}

fn check_document(path: &Path) -> Result<(), Failure> {
    let text = read_file(path)?;
    let routes = UtilityDialect
        .read_document(text.as_bytes())
        .map_err(|error| Failure::new(format!("{}: {error}", path.display())))?;
    println!(
        "{}: valid, version {}, {} services, {} routes",
        path.display(),
        routes.version(),
        routes.services().len(),
        routes.len()
    );
    Ok(())
}

fn read_file(path: &Path) -> Result<String, Failure> {
    fs::read_to_string(path)
        .map_err(|error| Failure::new(format!("{}: can't be read: {error}", path.display())))
}

fn load_rules(path: &Path) -> Result<Rules, Failure> {
    let text = read_file(path)?;
    Rules::parse(&text).map_err(|errors| {
        let lines: Vec<String> = errors
            .iter()
            .map(|error| format!("{}:{error}", path.display()))
            .collect();
        Failure::new(lines.join("\n"))
    })
}
