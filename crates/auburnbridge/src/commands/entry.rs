//! `auburnbridge entry`: runs an entry.

use std::path::PathBuf;

use argh::FromArgs;
use async_std::task;
use auburnbridge_entry::{EntryOptions, RunningEntry};
use auburnbridge_settings::{EntrySettings, Settings};

use crate::commands::peer_addresses;
use crate::failure::Failure;
use crate::signals::StopSignals;

/// Runs an entry, which forwards callers' requests by the fleet's rules.
#[derive(FromArgs)]
#[argh(subcommand, name = "entry")]
pub(crate) struct EntryArguments {
    /// settings file of this entry
    #[argh(option)]
    settings: PathBuf,
}

pub(crate) fn run(arguments: &EntryArguments) -> Result<(), Failure> {
    let settings = EntrySettings::load(&arguments.settings)?;
    let mut signals = StopSignals::new()?;
    let options = EntryOptions {
        vm: settings.vm,
        data_centre: settings.data_centre,
        caller_address: settings.caller_address,
        announce_address: settings.announce_address,
        peer_address: settings.peer_address,
        keys: settings.keys,
        keepers: peer_addresses(&settings.keepers),
        entries: peer_addresses(&settings.entries),
        balancer_lag: settings.balancer_lag,
        shutdown_limit: settings.shutdown_limit,
        request_head_limit: settings.request_head_limit,
        request_body_limit: settings.request_body_limit,
        answer_memory: settings.answer_memory,
        connections_per_target: settings.connections_per_target as usize,
        statsd_address: settings.metrics_address,
        operator_address: settings.operator_address,
    };
    task::block_on(async {
        let entry = RunningEntry::start(options)
            .await
            .map_err(|report| Failure::from_report(&report))?;
        signals.next().await;
        match entry.stop(async { signals.next().await }).await {
            0 => Ok(()),
            remaining => Err(Failure::new(format!(
                "{remaining} requests were still in flight at the shutdown limit"
            ))),
        }
    })
}
