//! Settings of the role `control`: a keeper that serves a platform's control interface and
//! discovers the other keepers through seeds.

use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};

use auburnbridge_types::{ByteSize, DataCentre, Millis};

use crate::declare::{Declaration, Settings, settings};
use crate::keeper::check_heartbeats;
use crate::validator::Validator;

settings! {
    /// Settings of a keeper with a control interface.
    ControlSettings, "control" {
        /// IP address of this VM, which is also its name among the keepers.
        vm_address: IpAddr [required],
        /// Data centre of this VM.
        data_centre: DataCentre [required],
        /// TCP port for the fleet's other processes, the same on all keepers. Messages on it are
        /// neither authenticated nor encrypted.
        peer_port: u32 [required] ["1" to "65535"],
        /// TCP address of the control interface.
        control_address: SocketAddr [required],
        /// Folder for the persistent state of this keeper.
        data_folder: PathBuf [required],
        /// Control addresses of some keepers. The first one founds the group.
        seeds: Vec<SocketAddr> [required] ["1" to "16"],
        /// Whether the first of the seeds may found the group; `true` only for the first start of a
        /// fleet.
        founds_group: bool [required],
        /// Number of keepers that may be lost at the same time, with their data folders. The group
        /// accepts no commands until the remaining voters would still be a majority, that is until
        /// it has `2 * tolerated_losses + 1` voters.
        tolerated_losses: u32 [default "1"] ["0" to "7"],
        /// Time from the loss of a keeper until it no longer counts as a member of the group. The
        /// leader removes a keeper that has not replied for three quarters of it, unless fewer than
        /// `2 * tolerated_losses + 1` voters would remain. A removed keeper that runs again joins
        /// again.
        replacement_limit: Millis [default "4s"] ["100ms" to "1h"],
        /// Largest body of a request to the control interface.
        body_limit: ByteSize [default "16MiB"] ["64KiB" to "32MiB"],
        /// Number of log entries between two snapshots.
        snapshot_every: u64 [default "2000"] ["100" to "10000000"],
        /// Size at which a log segment is closed and a new one is started.
        segment_size: ByteSize [default "4MiB"] ["1MiB" to "1GiB"],
        /// Time without contact from the leader after which a keeper starts an election; the actual
        /// time is chosen at random, up to twice this value.
        election_timeout: Millis [default "350ms"] ["100ms" to "10s"],
        /// Interval between the heartbeats of the leader.
        heartbeat_interval: Millis [default "100ms"] ["10ms" to "3s"],
        /// TCP address that serves metrics at the path `/metrics`; without it, they are not served.
        metrics_address: Option<SocketAddr> [optional],
        /// Largest number of log lines below the level of warnings that are written per second;
        /// further lines are dropped and counted.
        log_lines_per_second: u64 [default "2000"] ["10" to "1000000"],
    }
}

impl Settings for ControlSettings {
    const ROLE: &'static str = "control";
    const OPTIONS: &'static [Declaration] = Self::DECLARATIONS;

    fn read(validator: &mut Validator<'_>) -> Option<Self> {
        Self::read_options(validator)
    }

    fn check(&self, validator: &mut Validator<'_>) {
        check_heartbeats(validator, self.heartbeat_interval, self.election_timeout);
    }

    fn resolve_paths(&mut self, folder: &Path) {
        self.data_folder = folder.join(&self.data_folder);
    }
}
