//! Settings of the role `keeper`.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use auburnbridge_types::{ByteSize, DataCentre, Millis, VmId};

use crate::check::Checks;
use crate::declare::{Declaration, Settings, settings};
use crate::lists::{OperatorKey, PeerLocation};

/// Heartbeats that must fit into an election timeout, so that one lost packet starts no election.
const HEARTBEATS_PER_ELECTION: u64 = 3;

settings! {
    /// Settings of a keeper.
    KeeperSettings, "keeper" {
        /// Name of this VM, as its certificate has it.
        vm: VmId [required],
        /// Data centre of this VM.
        data_centre: DataCentre [required],
        /// UDP address for our other processes.
        peer_address: SocketAddr [required],
        /// TCP address of the administration API; without it, the API is off.
        operator_address: Option<SocketAddr> [optional],
        /// Folder with `authority.pem`, `certificate.pem` and `key.pem`.
        keys: PathBuf [required],
        /// Folder for the state of this keeper.
        data_folder: PathBuf [required],
        /// The initial members of the group.
        members: Vec<PeerLocation> [required] ["1" to "9"],
        /// Keys of the operators that may use the administration API.
        operator_keys: Vec<OperatorKey> [default "[]"] ["0" to "256"],
        /// Log entries between two snapshots.
        snapshot_every: u64 [default "10000"] ["100" to "10000000"],
        /// Size at which a segment of the log is closed.
        segment_size: ByteSize [default "16MiB"] ["1MiB" to "1GiB"],
        /// Silence of the leader after which a keeper stands for election; up to twice this, at
        /// random.
        election_timeout: Millis [default "300ms"] ["100ms" to "10s"],
        /// Interval between the heartbeats of a leader.
        heartbeat_interval: Millis [default "75ms"] ["10ms" to "3s"],
        /// UDP address of a statsd server; without it, no metrics are sent.
        metrics_address: Option<SocketAddr> [optional],
    }
}

impl Settings for KeeperSettings {
    const ROLE: &'static str = "keeper";
    const OPTIONS: &'static [Declaration] = Self::DECLARATIONS;

    fn read(checks: &mut Checks<'_>) -> Option<Self> {
        Self::read_options(checks)
    }

    fn check(&self, checks: &mut Checks<'_>) {
        check_heartbeats(checks, self.heartbeat_interval, self.election_timeout);
        if self.operator_address.is_some() && self.operator_keys.is_empty() {
            checks.refuse(
                "operator_address",
                "no operator could use the administration API",
                "add a key to `operator_keys` or remove `operator_address`",
            );
        }
        let own = self.members.iter().find(|member| member.vm == self.vm);
        if own.is_some_and(|member| member.address.port() != self.peer_address.port()) {
            checks.refuse(
                "members",
                "the address of this VM has another port than `peer_address`",
                "write the same port in both",
            );
        }
    }

    fn resolve_paths(&mut self, folder: &Path) {
        self.keys = folder.join(&self.keys);
        self.data_folder = folder.join(&self.data_folder);
    }
}

/// Records a heartbeat interval that is too long for the election timeout.
pub(crate) fn check_heartbeats(checks: &mut Checks<'_>, interval: Millis, timeout: Millis) {
    if interval.0 * HEARTBEATS_PER_ELECTION > timeout.0 {
        checks.refuse(
            "heartbeat_interval",
            "`heartbeat_interval` is over a third of `election_timeout`",
            "lower it or raise `election_timeout`",
        );
    }
}
