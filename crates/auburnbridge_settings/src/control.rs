//! Settings of the role `control`: a keeper that serves a platform's control interface and finds the
//! other keepers by itself.

use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};

use auburnbridge_types::{ByteSize, DataCentre, Millis};

use crate::check::Checks;
use crate::declare::{Declaration, Settings, settings};
use crate::keeper::check_heartbeats;

settings! {
    /// Settings of a keeper with a control interface.
    ControlSettings, "control" {
        /// IP address of this VM, which is also its name among the keepers.
        vm_address: IpAddr [required],
        /// Data centre of this VM.
        data_centre: DataCentre [required],
        /// TCP port for our other processes, the same on all keepers. Messages on it are neither
        /// authenticated nor encrypted.
        peer_port: u32 [required] ["1" to "65535"],
        /// TCP address of the control interface.
        control_address: SocketAddr [required],
        /// Folder for the state of this keeper.
        data_folder: PathBuf [required],
        /// Control addresses of some keepers. The first one founds the group.
        seeds: Vec<SocketAddr> [required] ["1" to "16"],
        /// Whether the first of the seeds may found a group: only at the first start of a fleet.
        founds_group: bool [required],
        /// Keepers that may be lost at once with their data folders. The group takes no orders before
        /// it has a majority beside them.
        tolerated_losses: u32 [default "1"] ["0" to "7"],
        /// Longest body of a call of the control interface.
        body_limit: ByteSize [default "16MiB"] ["64KiB" to "32MiB"],
        /// Log entries between two snapshots.
        snapshot_every: u64 [default "2000"] ["100" to "10000000"],
        /// Size at which a segment of the log is closed.
        segment_size: ByteSize [default "4MiB"] ["1MiB" to "1GiB"],
        /// Silence of the leader after which a keeper stands for election; up to twice this, at
        /// random.
        election_timeout: Millis [default "350ms"] ["100ms" to "10s"],
        /// Interval between the heartbeats of a leader.
        heartbeat_interval: Millis [default "100ms"] ["10ms" to "3s"],
        /// TCP address of the metrics, at the path `/metrics`; without it, they are not served.
        metrics_address: Option<SocketAddr> [optional],
        /// Log lines below the level of warnings that are written in a second; more are dropped and
        /// counted.
        log_lines_per_second: u64 [default "2000"] ["10" to "1000000"],
    }
}

impl Settings for ControlSettings {
    const ROLE: &'static str = "control";
    const OPTIONS: &'static [Declaration] = Self::DECLARATIONS;

    fn read(checks: &mut Checks<'_>) -> Option<Self> {
        Self::read_options(checks)
    }

    fn check(&self, checks: &mut Checks<'_>) {
        check_heartbeats(checks, self.heartbeat_interval, self.election_timeout);
    }

    fn resolve_paths(&mut self, folder: &Path) {
        self.data_folder = folder.join(&self.data_folder);
    }
}
