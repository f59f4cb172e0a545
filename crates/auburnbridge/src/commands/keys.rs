//! `auburnbridge keys`: creates certificates and keys for connections between processes.

use std::path::PathBuf;

use argh::FromArgs;
use auburnbridge_peer::keys::{Validity, create_authority, issue};
use auburnbridge_peer::{PeerIdentity, Role};
use auburnbridge_types::{Clock, Millis, RuntimeClock, VmId};

use crate::failure::Failure;

const DAY_MS: u64 = 24 * 60 * 60 * 1000;

/// Creates the fleet's certificate authority and the keys of its processes.
#[derive(FromArgs)]
#[argh(subcommand, name = "keys")]
pub(crate) struct KeysArguments {
    #[argh(subcommand)]
    command: KeysCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum KeysCommand {
    Authority(AuthorityArguments),
    Issue(IssueArguments),
}

/// Creates a certificate authority; its key stays with the operators.
#[derive(FromArgs)]
#[argh(subcommand, name = "authority")]
struct AuthorityArguments {
    /// folder for the authority's files
    #[argh(option)]
    folder: PathBuf,
    /// days of validity (default 3650)
    #[argh(option, default = "3650")]
    days: u64,
}

/// Creates the key and certificate of one process.
#[derive(FromArgs)]
#[argh(subcommand, name = "issue")]
struct IssueArguments {
    /// folder with the authority's files
    #[argh(option)]
    authority: PathBuf,
    /// folder for the process's files
    #[argh(option)]
    folder: PathBuf,
    /// VM of the process
    #[argh(option)]
    vm: VmId,
    /// role of the process: entry, keeper or relay
    #[argh(option)]
    role: Role,
    /// days of validity (default 90)
    #[argh(option, default = "90")]
    days: u64,
}

/// Longest validity in days: 100 years.
const MAX_DAYS: u64 = 36_500;

fn validity(days: u64) -> Result<Validity, Failure> {
    if !(1..=MAX_DAYS).contains(&days) {
        let message = format!("--days {days}: must be a number from 1 to {MAX_DAYS}");
        return Err(Failure::new(message));
    }
    Ok(Validity::starting_at(
        RuntimeClock.now(),
        Millis(days * DAY_MS),
    ))
}

pub(crate) fn run(arguments: KeysArguments) -> Result<(), Failure> {
    match arguments.command {
        KeysCommand::Authority(arguments) => {
            let validity = validity(arguments.days)?;
            create_authority(&arguments.folder, validity)?;
        }
        KeysCommand::Issue(arguments) => {
            let validity = validity(arguments.days)?;
            let identity = PeerIdentity {
                vm: arguments.vm,
                role: arguments.role,
            };
            issue(&arguments.authority, &arguments.folder, &identity, validity)?;
        }
    }
    Ok(())
}
