//! `auburnbridge rules`: reads and changes a fleet's rules through the administration API.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;
use auburnbridge_rules::Rules;
use auburnbridge_types::{Clock, IdempotencyKey, RuntimeClock};

use crate::commands::api;
use crate::failure::Failure;

const RULES_PATH: &str = "/auburnbridge/rules";
const STATUS_PATH: &str = "/auburnbridge/status";
const HISTORY_PATH: &str = "/auburnbridge/rules/history";
const EDIT_ID_HEADER: &str = "Auburnbridge-Edit-Id";

/// Reads and changes the rules of a running fleet.
#[derive(FromArgs)]
#[argh(subcommand, name = "rules")]
pub(crate) struct RulesArguments {
    #[argh(subcommand)]
    command: RulesCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum RulesCommand {
    Get(GetArguments),
    Put(PutArguments),
    Status(StatusArguments),
    History(HistoryArguments),
}

/// Prints the rules.
#[derive(FromArgs)]
#[argh(subcommand, name = "get")]
struct GetArguments {
    /// administration address of a keeper
    #[argh(option)]
    address: SocketAddr,
    /// file with the operator's key
    #[argh(option)]
    key_file: PathBuf,
}

/// Replaces the rules by those of a file.
#[derive(FromArgs)]
#[argh(subcommand, name = "put")]
struct PutArguments {
    /// administration address of a keeper
    #[argh(option)]
    address: SocketAddr,
    /// file with the operator's key
    #[argh(option)]
    key_file: PathBuf,
    /// rules file
    #[argh(option)]
    file: PathBuf,
    /// revision on which the file is based (default: the one in force)
    #[argh(option)]
    revision: Option<u64>,
    /// id of the edit (UUID version 7); give it to resend an edit whose answer was lost
    #[argh(option)]
    edit_id: Option<IdempotencyKey>,
}

/// Prints the revision in force on each VM.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
struct StatusArguments {
    /// administration address of a keeper
    #[argh(option)]
    address: SocketAddr,
    /// file with the operator's key
    #[argh(option)]
    key_file: PathBuf,
}

/// Prints the most recently accepted edits.
#[derive(FromArgs)]
#[argh(subcommand, name = "history")]
struct HistoryArguments {
    /// administration address of a keeper
    #[argh(option)]
    address: SocketAddr,
    /// file with the operator's key
    #[argh(option)]
    key_file: PathBuf,
}

pub(crate) fn run(arguments: RulesArguments) -> Result<(), Failure> {
    let body = match arguments.command {
        RulesCommand::Get(arguments) => {
            let key = api::read_key(&arguments.key_file)?;
            get(arguments.address, RULES_PATH, &key)
        }
        RulesCommand::Status(arguments) => {
            let key = api::read_key(&arguments.key_file)?;
            get(arguments.address, STATUS_PATH, &key)
        }
        RulesCommand::History(arguments) => {
            let key = api::read_key(&arguments.key_file)?;
            get(arguments.address, HISTORY_PATH, &key)
        }
        RulesCommand::Put(arguments) => put(&arguments),
    }?;
    println!("{body}");
    Ok(())
}

fn get(address: SocketAddr, path: &str, key: &str) -> Result<String, Failure> {
    let response = api::call(address, &api::request("GET", path, Some(key)))?;
    api::success_body(&response)
}

fn put(arguments: &PutArguments) -> Result<String, Failure> {
    let path = arguments.file.display();
    let text = fs::read_to_string(&arguments.file)
        .map_err(|error| Failure::new(format!("{path}: can't be read: {error}")))?;
    if let Err(errors) = Rules::parse(&text) {
        let lines: Vec<String> = errors
            .iter()
            .map(|error| format!("{path}:{error}"))
            .collect();
        return Err(Failure::new(lines.join("\n")));
    }
    let key = api::read_key(&arguments.key_file)?;
    let expected = match arguments.revision {
        Some(revision) => format!("\"{revision}\""),
        None => current_revision(arguments.address, &key)?,
    };
    let edit_id = arguments.edit_id.unwrap_or_else(new_edit_id);
    let mut req = api::request("PUT", RULES_PATH, Some(&key));
    req.headers.append("If-Match", expected);
    req.headers.append(EDIT_ID_HEADER, edit_id.to_string());
    req.headers.append("Content-Type", "text/plain");
    req.body = text.into_bytes().into();
    let response = api::call(arguments.address, &req).map_err(|failure| {
        Failure::new(format!("{failure}; send it again with --edit-id {edit_id}"))
    })?;
    api::success_body(&response)
}

/// Entity tag of the rules in force.
fn current_revision(address: SocketAddr, key: &str) -> Result<String, Failure> {
    let response = api::call(address, &api::request("GET", RULES_PATH, Some(key)))?;
    api::success_body(&response)?;
    response
        .headers
        .text("ETag")
        .map(str::to_owned)
        .ok_or_else(|| Failure::new(format!("{address}: the answer has no ETag")))
}

fn new_edit_id() -> IdempotencyKey {
    IdempotencyKey::from_parts(RuntimeClock.now(), rand::random())
}
