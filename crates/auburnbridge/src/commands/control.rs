//! `auburnbridge control`: runs a keeper with a platform's control interface.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use argh::FromArgs;
use async_std::task;
use auburnbridge_keeper::{ControlOptions, KeeperOptions, MembershipPolicy, PeerSecurity};
use auburnbridge_log::Config;
use auburnbridge_operator::OperatorKeys;
use auburnbridge_peer::PeerAddress;
use auburnbridge_settings::{ControlSettings, Settings};
use auburnbridge_types::Millis;
use auburnbridge_utility::UtilityDialect;
use log::info;
use parking_lot::Mutex;

use crate::commands::keeper::run_keeper;
use crate::commands::{init_json_log, port, reload_settings};
use crate::failure::Failure;
use crate::signals::StopAndReloadSignals;

/// Runs a keeper, which holds a replica of the fleet's state, with a platform's control interface.
#[derive(FromArgs)]
#[argh(subcommand, name = "control")]
pub(crate) struct ControlArguments {
    /// settings file of this keeper
    #[argh(option)]
    settings: PathBuf,
}

pub(crate) fn run(arguments: &ControlArguments) -> Result<(), Failure> {
    let settings = ControlSettings::load(&arguments.settings)?;
    init_json_log(settings.log_lines_per_second)?;
    let mut signals = StopAndReloadSignals::new()?;
    let peer_port = port(settings.peer_port)?;
    let keepers = Arc::new(Mutex::new(keeper_addresses(&settings.seeds, peer_port)));
    let options = KeeperOptions {
        vm: settings.vm_address.into(),
        peer_address: SocketAddr::new(settings.vm_address, peer_port),
        security: PeerSecurity::Unprotected,
        data_folder: settings.data_folder,
        keepers: Arc::clone(&keepers),
        may_found_group: settings.founds_group,
        membership_policy: MembershipPolicy {
            admits_new_vms: true,
            min_voters: 2 * settings.tolerated_losses as usize + 1,
            reply_limit: Some(reply_limit(settings.replacement_limit)),
        },
        vms_named_by_ip: true,
        heartbeat_interval: settings.heartbeat_interval,
        control: Some(ControlOptions {
            address: settings.control_address,
            dialect: Arc::new(UtilityDialect),
            body_limit: settings.body_limit,
            metrics_address: settings.metrics_address,
        }),
        log: Config::builder()
            .election_timeout(settings.election_timeout)
            .heartbeat_interval(settings.heartbeat_interval)
            .snapshot_after_records(settings.snapshot_every)
            .build(),
        segment_size: settings.segment_size,
        statsd_address: None,
        operator_address: None,
        operator_keys: OperatorKeys::new(Vec::new()),
    };
    // Changes of other settings than the seeds take effect at the next start.
    let stopped = signals.reload_until_stop(|| {
        if let Some(settings) = reload_settings::<ControlSettings>(&arguments.settings) {
            info!(seeds:? = settings.seeds; "settings reloaded");
            *keepers.lock() = keeper_addresses(&settings.seeds, peer_port);
        }
    });
    let counts = task::block_on(run_keeper(options, stopped))?;
    info!(syncs = counts.syncs, records = counts.records; "keeper stopped");
    Ok(())
}

/// Time without a reply after which a keeper is removed. The rest of `replacement_limit` is for the
/// election that its loss may cause, and for the commit of the removal.
fn reply_limit(replacement_limit: Millis) -> Millis {
    Millis(replacement_limit.0 * 3 / 4)
}

/// Peer addresses of the keepers with these control addresses.
fn keeper_addresses(seeds: &[SocketAddr], peer_port: u16) -> Vec<PeerAddress> {
    seeds
        .iter()
        .map(|seed| PeerAddress::from_ip(seed.ip(), peer_port))
        .collect()
}
