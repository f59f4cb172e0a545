//! `auburnbridge targets`: lists the targets that an entry knows.

use std::net::SocketAddr;

use argh::FromArgs;

use crate::commands::api;
use crate::failure::Failure;

/// Prints the targets that an entry knows, with the reason why each one is in use or not.
#[derive(FromArgs)]
#[argh(subcommand, name = "targets")]
pub(crate) struct TargetsArguments {
    /// administration address of an entry
    #[argh(option)]
    address: SocketAddr,
}

pub(crate) fn run(arguments: &TargetsArguments) -> Result<(), Failure> {
    let req = api::request("GET", "/auburnbridge/targets", None);
    let response = api::call(arguments.address, &req)?;
    println!("{}", api::success_body(&response)?);
    Ok(())
}
