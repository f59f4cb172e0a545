//! Command line of auburnbridge: parses the arguments, runs the command and maps its result to an
//! exit code.

mod commands;
mod failure;
mod signals;

use std::process::ExitCode;

use argh::FromArgs;

/// A proxy fleet between callers and targets that handles gray failures of the targets.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Entry(commands::entry::EntryArguments),
    Keeper(commands::keeper::KeeperArguments),
    Explain(commands::explain::ExplainArguments),
    Gateway(commands::gateway::GatewayArguments),
    Control(commands::control::ControlArguments),
    Check(commands::check::CheckArguments),
    Keys(commands::keys::KeysArguments),
    Rules(commands::rules::RulesArguments),
    Targets(commands::targets::TargetsArguments),
}

impl Command {
    /// Whether the command initializes the JSON log itself after it has read its settings.
    fn uses_json_log(&self) -> bool {
        matches!(self, Self::Gateway(_) | Self::Control(_))
    }
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    if !arguments.command.uses_json_log() {
        env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info"))
            .format_timestamp_millis()
            .init();
    }
    let result = match arguments.command {
        Command::Entry(arguments) => commands::entry::run(&arguments),
        Command::Keeper(arguments) => commands::keeper::run(&arguments),
        Command::Explain(arguments) => commands::explain::run(&arguments),
        Command::Gateway(arguments) => commands::gateway::run(&arguments),
        Command::Control(arguments) => commands::control::run(&arguments),
        Command::Check(arguments) => commands::check::run(&arguments),
        Command::Keys(arguments) => commands::keys::run(arguments),
        Command::Rules(arguments) => commands::rules::run(arguments),
        Command::Targets(arguments) => commands::targets::run(&arguments),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("error: {failure}");
            ExitCode::FAILURE
        }
    }
}
