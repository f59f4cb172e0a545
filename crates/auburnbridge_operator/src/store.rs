//! Interface through which the API reaches the rest of the process.

use std::sync::Arc;

use auburnbridge_config::{Edit, EditReply, HistoryEntry};
use auburnbridge_rules::Rules;
use auburnbridge_types::{
    BoxFuture, DataCentre, Incarnation, Revision, ServiceName, Slots, TargetId, VmId,
};
use serde::Serialize;

/// Access to the replicated rules and the state of the fleet.
pub trait ConfigStore: Send + Sync {
    /// Returns the rules that this process has applied, with their revision. They may lag behind the
    /// log.
    fn rules(&self) -> BoxFuture<'_, Result<CurrentRules, StoreError>>;

    /// Returns the accepted edits, oldest first.
    fn history(&self) -> BoxFuture<'_, Result<Vec<HistoryEntry>, StoreError>>;

    /// Returns the revision in force on each VM.
    fn status(&self) -> BoxFuture<'_, Result<FleetStatus, StoreError>>;

    /// Returns the targets that this process knows.
    fn targets(&self) -> BoxFuture<'_, Result<Vec<TargetStatus>, StoreError>>;

    /// Proposes an edit and waits until a quorum has committed and synced it.
    fn submit(&self, edit: Edit) -> BoxFuture<'_, Result<EditReply, StoreError>>;
}

/// Reason why the store returned no result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// The rules can't be read or changed at present; nothing was proposed.
    Unavailable,
    /// The edit was proposed, but its outcome is unknown.
    OutcomeUnknown,
}

/// The rules at one revision.
#[derive(Clone, Debug)]
pub struct CurrentRules {
    /// The revision.
    pub revision: Revision,
    /// The rules.
    pub rules: Arc<Rules>,
}

/// Revisions in force across the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct FleetStatus {
    /// The newest revision that this process knows.
    pub revision: Revision,
    /// The VMs that reported recently.
    pub vms: Vec<VmStatus>,
}

/// Status of one VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct VmStatus {
    /// The VM.
    pub vm: VmId,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its role, such as `entry`.
    pub role: String,
    /// Revision in force on the VM.
    pub revision: Revision,
    /// Age of its last report in milliseconds.
    pub reported_ms_ago: u64,
}

/// Status of one target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct TargetStatus {
    /// Service that the target provides.
    pub service: ServiceName,
    /// The target.
    pub target: TargetId,
    /// Announced address.
    pub address: String,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Incarnation of the target.
    pub incarnation: Incarnation,
    /// Announced slots.
    pub slots: Slots,
    /// State, such as `ready`, `leaving` or `ejected`.
    pub state: String,
}
