//! Settings of the role `entry`.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use auburnbridge_types::{ByteSize, DataCentre, Millis, VmId};

use crate::declare::{Declaration, Settings, settings};
use crate::lists::PeerLocation;
use crate::validator::Validator;

settings! {
    /// Settings of an entry.
    EntrySettings, "entry" {
        /// Name of this VM, as in its certificate.
        vm: VmId [required],
        /// Data centre of this VM.
        data_centre: DataCentre [required],
        /// TCP address for callers and for the platform's readiness checks.
        caller_address: SocketAddr [required],
        /// TCP address for the announcements of targets.
        announce_address: SocketAddr [required],
        /// UDP address for messages of the fleet's other processes.
        peer_address: SocketAddr [required],
        /// TCP address at which operators read the targets and their states; without it, they are
        /// not served.
        operator_address: Option<SocketAddr> [optional],
        /// Folder with `authority.pem`, `certificate.pem` and `key.pem`.
        keys: PathBuf [required],
        /// All keepers.
        keepers: Vec<PeerLocation> [required] ["1" to "14"],
        /// Some other entries, from which this entry discovers the remaining ones.
        entries: Vec<PeerLocation> [default "[]"] ["0" to "64"],
        /// Time for which the load balancer may still send requests after a change of readiness.
        balancer_lag: Millis [default "5s"] ["0s" to "5min"],
        /// Longest duration of a graceful shutdown.
        shutdown_limit: Millis [default "30s"] ["1s" to "10min"],
        /// Largest head of a request.
        request_head_limit: ByteSize [default "32KiB"] ["1KiB" to "1MiB"],
        /// Largest body of a request.
        request_body_limit: ByteSize [default "1MiB"] ["0B" to "64MiB"],
        /// Memory for the responses of all requests in progress.
        answer_memory: ByteSize [default "64MiB"] ["1MiB" to "4GiB"],
        /// Largest number of connections to one target.
        connections_per_target: u32 [default "20"] ["1" to "350"],
        /// UDP address of a statsd server; without it, no metrics are sent.
        metrics_address: Option<SocketAddr> [optional],
    }
}

impl Settings for EntrySettings {
    const ROLE: &'static str = "entry";
    const OPTIONS: &'static [Declaration] = Self::DECLARATIONS;

    fn read(validator: &mut Validator<'_>) -> Option<Self> {
        Self::read_options(validator)
    }

    fn check(&self, validator: &mut Validator<'_>) {
        if self.balancer_lag >= self.shutdown_limit {
            validator.report(
                "balancer_lag",
                "`balancer_lag` leaves no time within `shutdown_limit` for requests in progress",
                "lower it or raise `shutdown_limit`",
            );
        }
        let mut listeners = vec![
            ("caller_address", self.caller_address),
            ("announce_address", self.announce_address),
        ];
        listeners.extend(
            self.operator_address
                .map(|address| ("operator_address", address)),
        );
        validator.check_distinct_addresses(&listeners);
        validator.check_excludes_self("entries", &self.vm, &self.entries);
    }

    fn resolve_paths(&mut self, folder: &Path) {
        self.keys = folder.join(&self.keys);
    }
}
