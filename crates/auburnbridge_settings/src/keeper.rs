//! Settings of the role `keeper`.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use auburnbridge_types::{ByteSize, DataCentre, Millis, VmId};

use crate::declare::{Declaration, Settings, settings};
use crate::lists::{OperatorKey, PeerLocation};
use crate::validator::Validator;

/// Heartbeat intervals that must fit into an election timeout, so that a single lost packet doesn't
/// trigger an election.
const MIN_HEARTBEATS_PER_ELECTION_TIMEOUT: u64 = 3;

settings! {
    /// Settings of a keeper.
    KeeperSettings, "keeper" {
        /// Name of this VM, as in its certificate.
        vm: VmId [required],
        /// Data centre of this VM.
        data_centre: DataCentre [required],
        /// UDP address for messages of the fleet's other processes.
        peer_address: SocketAddr [required],
        /// TCP address of the administration API; without it, the API is off.
        operator_address: Option<SocketAddr> [optional],
        /// Folder with `authority.pem`, `certificate.pem` and `key.pem`.
        keys: PathBuf [required],
        /// Folder for the persistent state of this keeper.
        data_folder: PathBuf [required],
        /// Initial members of the keeper group.
        members: Vec<PeerLocation> [required] ["1" to "9"],
        /// Keys of the operators that may use the administration API.
        operator_keys: Vec<OperatorKey> [default "[]"] ["0" to "256"],
        /// Number of log entries between two snapshots.
        snapshot_every: u64 [default "10000"] ["100" to "10000000"],
        /// Size at which a log segment is closed and a new one is started.
        segment_size: ByteSize [default "16MiB"] ["1MiB" to "1GiB"],
        /// Time without contact from the leader after which a keeper starts an election; the actual
        /// time is chosen at random, up to twice this value.
        election_timeout: Millis [default "300ms"] ["100ms" to "10s"],
        /// Interval between the heartbeats of the leader.
        heartbeat_interval: Millis [default "75ms"] ["10ms" to "3s"],
        /// UDP address of a statsd server; without it, no metrics are sent.
        metrics_address: Option<SocketAddr> [optional],
    }
}

impl Settings for KeeperSettings {
    const ROLE: &'static str = "keeper";
    const OPTIONS: &'static [Declaration] = Self::DECLARATIONS;

    fn read(validator: &mut Validator<'_>) -> Option<Self> {
        Self::read_options(validator)
    }

    fn check(&self, validator: &mut Validator<'_>) {
        check_heartbeats(validator, self.heartbeat_interval, self.election_timeout);
        if self.operator_address.is_some() && self.operator_keys.is_empty() {
            validator.report(
                "operator_address",
                "no operator could use the administration API",
                "add a key to `operator_keys` or remove `operator_address`",
            );
        }
        let own = self.members.iter().find(|member| member.vm == self.vm);
        if own.is_some_and(|member| member.address.port() != self.peer_address.port()) {
            validator.report(
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

/// Reports a heartbeat interval that is too long for the election timeout.
pub(crate) fn check_heartbeats(validator: &mut Validator<'_>, interval: Millis, timeout: Millis) {
    if interval.0 * MIN_HEARTBEATS_PER_ELECTION_TIMEOUT > timeout.0 {
        validator.report(
            "heartbeat_interval",
            "`heartbeat_interval` is more than a third of `election_timeout`",
            "lower it or raise `election_timeout`",
        );
    }
}
