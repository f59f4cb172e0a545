//! Settings of the role `gateway`.

use std::net::{IpAddr, SocketAddr};
use std::path::Path;

use auburnbridge_types::{ByteSize, DataCentre, LinkRate, Millis};

use crate::declare::{Declaration, Settings, settings};
use crate::validator::Validator;
use crate::value::Share;

settings! {
    /// Settings of a gateway.
    GatewaySettings, "gateway" {
        /// IP address of this VM, which is also its name among the gateways.
        vm_address: IpAddr [required],
        /// Data centre of this VM.
        data_centre: DataCentre [required],
        /// TCP address for callers.
        caller_address: SocketAddr [required],
        /// TCP address for the platform's readiness checks.
        readiness_address: SocketAddr [required],
        /// UDP port for messages of other gateways, which are neither authenticated nor encrypted.
        peer_port: u32 [required] ["1" to "65535"],
        /// TCP port at which keepers serve the fleet's other processes.
        keeper_port: u32 [required] ["1" to "65535"],
        /// Control addresses of some keepers.
        seeds: Vec<SocketAddr> [required] ["1" to "16"],
        /// Time for which the load balancer may still open connections after a change of readiness.
        balancer_lag: Millis [default "2500ms"] ["0s" to "5min"],
        /// Time after `balancer_lag` in which requests are sent to targets. Those that a target still
        /// works on at its end are answered within 2/55 of both times together, 200 ms with the defaults.
        shutdown_limit: Millis [default "3s"] ["100ms" to "10min"],
        /// Time after the signal to stop at which the platform kills the process. If it is set,
        /// `balancer_lag` lasts at most five twelfths of it, and requests in progress have until a
        /// twelfth before its end instead of `shutdown_limit`.
        stop_limit: Option<Millis> [optional],
        /// Memory of this VM, of which bodies get a quarter unless `body_memory` is set.
        vm_memory: Option<ByteSize> [optional] ["16MiB" to "16384GiB"],
        /// Memory for bodies, half of it for those of requests in progress and half for those of
        /// responses. Without it, a quarter of `vm_memory`, or 128 MiB if that isn't set either.
        body_memory: Option<ByteSize> [optional] ["1MiB" to "4GiB"],
        /// Bytes per second below which the body of a request is no longer waited for, and a
        /// response no longer written.
        min_body_rate: ByteSize [default "8KiB"] ["1B" to "1GiB"],
        /// Largest number of bytes of bodies over 16 KiB that this gateway has in flight on one
        /// target; a single body may be larger.
        body_bytes_per_target: ByteSize [default "1MiB"] ["16KiB" to "4GiB"],
        /// Largest number of connections to one target.
        connections_per_target: u32 [default "20"] ["1" to "350"],
        /// Share of a service's targets that receive requests even if they are suspected to be
        /// faulty.
        floor_share: Share [default "0.7"] ["0" to "1"],
        /// Whether requests are spread by the load that is expected from old reports of other gateways,
        /// and each gateway first uses slots that no other one does.
        even_load: bool [default "false"],
        /// Attempts after the first one of each request, as a share of the requests in a window of
        /// `resend_window`.
        resend_share: Share [default "0.1"] ["0" to "1"],
        /// Further attempts allowed in a window on top of `resend_share`, for all gateways
        /// together.
        resend_allowance: u32 [default "20"] ["0" to "1000000"],
        /// Length of the window of `resend_share` and `resend_allowance`.
        resend_window: Millis [default "10s"] ["1s" to "10min"],
        /// UDP port for messages of other gateways about the limits of client accounts, the same one
        /// on all of them; without it, limits are not applied.
        account_limit_port: Option<u32> [optional] ["1" to "65535"],
        /// Length of the window in which the requests of a client account are compared with its limit.
        account_limit_window: Millis [default "5s"] ["1s" to "10min"],
        /// Requests above the limit of a client account that are allowed in a window, as a share of the
        /// limit.
        account_limit_overage: Share [default "0.1"] ["0" to "1"],
        /// Further requests of a client account allowed in a window on top of its limit, for all
        /// gateways together.
        account_limit_slack: u32 [default "20"] ["0" to "1000000"],
        /// Rate of the VM's network link. If it is set, reports between gateways are kept to a small
        /// share of it: in a fleet that is large for its links, gateways form cells and report
        /// mostly within them. Without it, each gateway reports to all others.
        link_rate: Option<LinkRate> [optional] ["0.1Mbit/s" to "1000000Mbit/s"],
        /// TCP address that serves metrics at the path `/metrics`; without it, they are not served.
        metrics_address: Option<SocketAddr> [optional],
        /// Largest number of log lines below the level of warnings that are written per second;
        /// further lines are dropped and counted.
        log_lines_per_second: u64 [default "2000"] ["10" to "1000000"],
    }
}

impl Settings for GatewaySettings {
    const ROLE: &'static str = "gateway";
    const OPTIONS: &'static [Declaration] = Self::DECLARATIONS;

    fn read(validator: &mut Validator<'_>) -> Option<Self> {
        Self::read_options(validator)
    }

    fn check(&self, validator: &mut Validator<'_>) {
        validator.check_distinct_addresses(&[
            ("caller_address", self.caller_address),
            ("readiness_address", self.readiness_address),
        ]);
    }

    fn resolve_paths(&mut self, _folder: &Path) {}
}
