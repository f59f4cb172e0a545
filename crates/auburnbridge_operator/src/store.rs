//! What the API needs from the rest of the process.

use std::sync::Arc;

use auburnbridge_config::{Edit, EditReply, HistoryEntry};
use auburnbridge_rules::Rules;
use auburnbridge_types::{
    BoxFuture, DataCentre, Incarnation, Revision, ServiceName, Slots, TargetId, VmId,
};
use serde::Serialize;

/// Access to the replicated rules and to the state of the fleet.
pub trait ConfigStore: Send + Sync {
    /// The rules and their revision, as this process knows them; they may lag behind the log.
    fn rules(&self) -> BoxFuture<'_, Result<RulesInForce, StoreError>>;

    /// The accepted edits, oldest first.
    fn history(&self) -> BoxFuture<'_, Result<Vec<HistoryEntry>, StoreError>>;

    /// The revision in force on every VM.
    fn status(&self) -> BoxFuture<'_, Result<FleetStatus, StoreError>>;

    /// The targets that this process knows.
    fn targets(&self) -> BoxFuture<'_, Result<Vec<TargetStatus>, StoreError>>;

    /// Proposes an edit and waits until a quorum has committed and synced it.
    fn submit(&self, edit: Edit) -> BoxFuture<'_, Result<EditReply, StoreError>>;
}

/// Reason why the store gave no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// Nothing was proposed.
    Unavailable,
    /// The edit was proposed and its outcome is not known.
    OutcomeUnknown,
}

/// Rules at one revision.
#[derive(Clone, Debug)]
pub struct RulesInForce {
    /// The revision.
    pub revision: Revision,
    /// The rules.
    pub rules: Arc<Rules>,
}

/// Which VM has which revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct FleetStatus {
    /// The newest revision that this process knows.
    pub revision: Revision,
    /// Every VM that reported lately.
    pub vms: Vec<VmStatus>,
}

/// State of one VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct VmStatus {
    /// The VM.
    pub vm: VmId,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its role, such as `entry`.
    pub role: String,
    /// The revision in force on it.
    pub revision: Revision,
    /// Age of the report in milliseconds.
    pub reported_ms_ago: u64,
}

/// State of one target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct TargetStatus {
    /// The service that the target provides.
    pub service: ServiceName,
    /// The target.
    pub target: TargetId,
    /// Its address, as announced.
    pub address: String,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Number of its life.
    pub incarnation: Incarnation,
    /// Slots that it announced.
    pub slots: Slots,
    /// Its state, such as `ready`, `leaving` or `ejected`.
    pub state: String,
}
