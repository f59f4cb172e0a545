//! `auburnbridge gateway`: runs a gateway.

use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::sync::Arc;

use argh::FromArgs;
use async_std::task;
use auburnbridge_gateway::{
    AccountLimitOptions, BodyOptions, GatewayOptions, RunningGateway, StopTimes, body_memory,
};
use auburnbridge_policy::account_limit::LimitTolerance;
use auburnbridge_policy::balance::ResendBudgetOptions;
use auburnbridge_settings::{GatewaySettings, Settings};
use auburnbridge_types::ByteRate;
use auburnbridge_utility::UtilityDialect;
use log::info;
use parking_lot::Mutex;

use crate::commands::{init_json_log, port, reload_settings};
use crate::failure::Failure;
use crate::signals::StopAndReloadSignals;

/// Runs a gateway, which forwards callers' requests along the routes published by a platform.
#[derive(FromArgs)]
#[argh(subcommand, name = "gateway")]
pub(crate) struct GatewayArguments {
    /// settings file of this gateway
    #[argh(option)]
    settings: PathBuf,
}

pub(crate) fn run(arguments: &GatewayArguments) -> Result<(), Failure> {
    let settings = GatewaySettings::load(&arguments.settings)?;
    init_json_log(settings.log_lines_per_second)?;
    let mut signals = StopAndReloadSignals::new()?;
    let seeds = Arc::new(Mutex::new(ip_addresses(&settings.seeds)));
    let stop_times = stop_times(&settings);
    let account_limits = account_limits(&settings)?;
    let options = GatewayOptions {
        vm: settings.vm_address.into(),
        data_centre: settings.data_centre,
        caller_address: settings.caller_address,
        readiness_address: settings.readiness_address,
        peer_address: SocketAddr::new(settings.vm_address, port(settings.peer_port)?),
        seeds: Arc::clone(&seeds),
        keeper_port: port(settings.keeper_port)?,
        dialect: Arc::new(UtilityDialect),
        stop_times,
        body_memory: body_memory(settings.body_memory, settings.vm_memory),
        bodies: BodyOptions {
            min_rate: ByteRate(settings.min_body_rate.0),
            in_flight_per_target: settings.body_bytes_per_target,
        },
        connections_per_target: settings.connections_per_target as usize,
        floor_share: settings.floor_share.0,
        even_load: settings.even_load,
        resend_budget: ResendBudgetOptions {
            ratio: settings.resend_share.0,
            allowance: f64::from(settings.resend_allowance),
            window: settings.resend_window,
        },
        account_limits,
        link_rate: settings.link_rate,
        metrics_address: settings.metrics_address,
    };
    task::block_on(async {
        let gateway = RunningGateway::start(options)
            .await
            .map_err(|report| Failure::from_report(&report))?;
        // Changes of other settings than the seeds take effect at the next start.
        let stopped = signals.reload_until_stop(|| {
            if let Some(settings) = reload_settings::<GatewaySettings>(&arguments.settings) {
                info!(seeds:? = settings.seeds; "settings reloaded");
                *seeds.lock() = ip_addresses(&settings.seeds);
            }
        });
        stopped.await;
        match gateway.stop().await {
            0 => Ok(()),
            remaining => Err(Failure::new(format!(
                "{remaining} requests were still in flight at the shutdown limit"
            ))),
        }
    })
}

fn account_limits(settings: &GatewaySettings) -> Result<Option<AccountLimitOptions>, Failure> {
    let Some(number) = settings.account_limit_port else {
        return Ok(None);
    };
    Ok(Some(AccountLimitOptions {
        address: SocketAddr::new(settings.vm_address, port(number)?),
        tolerance: LimitTolerance {
            window: settings.account_limit_window,
            overage: settings.account_limit_overage.0,
            slack: f64::from(settings.account_limit_slack),
        },
    }))
}

fn stop_times(settings: &GatewaySettings) -> StopTimes {
    let times = StopTimes {
        balancer_lag: settings.balancer_lag,
        shutdown_limit: settings.shutdown_limit,
    };
    match settings.stop_limit {
        Some(limit) => times.within(limit),
        None => times,
    }
}

fn ip_addresses(seeds: &[SocketAddr]) -> Vec<IpAddr> {
    seeds.iter().map(SocketAddr::ip).collect()
}
