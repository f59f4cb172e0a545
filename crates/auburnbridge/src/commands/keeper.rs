//! `auburnbridge keeper`: runs a keeper.

use std::path::PathBuf;
use std::time::Duration;

use argh::FromArgs;
use async_std::task;
use auburnbridge_keeper::{CommitCounts, Keeper, KeeperOptions, PeerSecurity};
use auburnbridge_log::Config;
use auburnbridge_operator::{KeyDigest, OperatorKey, OperatorKeys};
use auburnbridge_peer::PeerAddress;
use auburnbridge_rules::TeamScope;
use auburnbridge_settings::{KeeperSettings, ServiceScope, Settings};
use futures_lite::FutureExt;

use crate::commands::peer_addresses;
use crate::failure::Failure;
use crate::signals::StopSignals;

/// Interval at which the keeper's thread is checked for failure.
const FAILURE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Runs a keeper, which holds a replica of the fleet's state.
#[derive(FromArgs)]
#[argh(subcommand, name = "keeper")]
pub(crate) struct KeeperArguments {
    /// settings file of this keeper
    #[argh(option)]
    settings: PathBuf,
}

pub(crate) fn run(arguments: &KeeperArguments) -> Result<(), Failure> {
    let settings = KeeperSettings::load(&arguments.settings)?;
    let mut signals = StopSignals::new()?;
    let own = PeerAddress {
        vm: settings.vm,
        address: settings.peer_address,
    };
    let options = KeeperOptions {
        heartbeat_interval: settings.heartbeat_interval,
        log: Config::builder()
            .election_timeout(settings.election_timeout)
            .heartbeat_interval(settings.heartbeat_interval)
            .snapshot_after_records(settings.snapshot_every)
            .build(),
        segment_size: settings.segment_size,
        statsd_address: settings.metrics_address,
        operator_address: settings.operator_address,
        operator_keys: operator_keys(&settings.operator_keys)?,
        ..KeeperOptions::new(
            own,
            PeerSecurity::MutualTls(settings.keys),
            settings.data_folder,
            peer_addresses(&settings.members),
        )
    };
    let counts = task::block_on(run_keeper(options, signals.next()))?;
    log::info!(
        "keeper stopped syncs={} records={}",
        counts.syncs,
        counts.records
    );
    Ok(())
}

/// Runs a keeper until `stopped` completes or the keeper fails.
pub(super) async fn run_keeper(
    options: KeeperOptions,
    stopped: impl Future<Output = ()>,
) -> Result<CommitCounts, Failure> {
    let keeper = Keeper::start(options)
        .await
        .map_err(|report| Failure::from_report(&report))?;
    let ended = async {
        while !keeper.has_ended() {
            task::sleep(FAILURE_CHECK_INTERVAL).await;
        }
    };
    stopped.or(ended).await;
    keeper
        .stop()
        .await
        .map_err(|report| Failure::from_report(&report))
}

fn operator_keys(keys: &[auburnbridge_settings::OperatorKey]) -> Result<OperatorKeys, Failure> {
    let keys: Result<Vec<OperatorKey>, Failure> = keys
        .iter()
        .map(|key| {
            Ok(OperatorKey {
                digest: KeyDigest(key.sha256.0),
                author: key.name.parse()?,
                // If a team has the operator's name, its `team` lines apply to the key.
                team: key.name.parse().ok(),
                scopes: match &key.services {
                    ServiceScope::All => vec![TeamScope::All],
                    ServiceScope::Listed(names) => {
                        names.iter().cloned().map(TeamScope::Service).collect()
                    }
                },
            })
        })
        .collect();
    keys.map(OperatorKeys::new)
}
