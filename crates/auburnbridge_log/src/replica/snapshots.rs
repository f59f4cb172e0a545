//! Snapshots: requesting one, compacting the log before it, and sending it to a member that needs
//! records that are no longer in memory.

use std::sync::Arc;

use auburnbridge_types::VmId;

use super::Replica;
use super::leader::ReplicationMode;
use crate::message::HeartbeatRound;
use crate::record_log::RecordLog;
use crate::{
    Body, LogIndex, MAX_SNAPSHOT_BYTES, Output, ReplicaId, SNAPSHOT_CHUNK_BYTES, Snapshot,
    SnapshotMeta, Term,
};

/// Partially received snapshot.
#[derive(Clone, Debug)]
pub(super) struct IncomingSnapshot {
    /// Term of the sending leader; two leaders may encode the same state differently.
    term: Term,
    meta: SnapshotMeta,
    total: u64,
    data: Vec<u8>,
}

impl Replica {
    fn snapshot_index(&self) -> LogIndex {
        self.snapshot
            .as_ref()
            .map_or(LogIndex(0), |snapshot| snapshot.meta.index)
    }

    pub(super) fn request_snapshot_when_due(&mut self) {
        let records = self.applied.0 - self.snapshot_index().0;
        if self.snapshot_requested || records < self.config.snapshot_after_records {
            return;
        }
        self.snapshot_requested = true;
        self.outputs.push(Output::TakeSnapshot {
            index: self.applied,
        });
    }

    pub(super) fn snapshot_taken(&mut self, index: LogIndex, data: Arc<[u8]>) {
        self.snapshot_requested = false;
        if index > self.applied || index <= self.snapshot_index() {
            return;
        }
        let (Some(term), Some(time)) = (self.log.term(index), self.log.time(index)) else {
            return;
        };
        let meta = SnapshotMeta {
            index,
            term,
            time,
            members: self.log.members_at(index).clone(),
        };
        self.snapshot = Some(Snapshot { meta, data });
        self.writes.mark_snapshot_dirty();
    }

    /// Compacts the records that the synced snapshot covers, except those retained for slow followers.
    pub(super) fn compact_log(&mut self) {
        let through = self.snapshot_index().0;
        let through = through.saturating_sub(self.config.retained_records);
        if through > self.log.base_index().0 && through <= self.writes.synced().0 {
            self.log.compact(LogIndex(through));
        }
    }

    pub(super) fn send_snapshot_chunk(
        &mut self,
        vm: VmId,
        replica: ReplicaId,
        round: HeartbeatRound,
    ) {
        let Some(snapshot) = self.snapshot.clone() else {
            return;
        };
        let Some(progress) = self.progress_mut(replica) else {
            return;
        };
        let current = snapshot.meta.index;
        let offset = match progress.mode {
            ReplicationMode::Snapshot { index, received } if index == current => received,
            ReplicationMode::Snapshot { .. } | ReplicationMode::Probe | ReplicationMode::Stream => {
                0
            }
        };
        progress.mode = ReplicationMode::Snapshot {
            index: current,
            received: offset,
        };
        let start = usize::try_from(offset)
            .unwrap_or(usize::MAX)
            .min(snapshot.data.len());
        let end = snapshot.data.len().min(start + SNAPSHOT_CHUNK_BYTES);
        let body = Body::SnapshotChunk {
            total: snapshot.data.len() as u64,
            offset: start as u64,
            data: snapshot.data[start..end].into(),
            meta: snapshot.meta,
            round,
        };
        self.send(vm, replica, body);
    }

    pub(super) fn handle_snapshot_reply(
        &mut self,
        sender: ReplicaId,
        index: LogIndex,
        received: u64,
        counts_in_quorum: bool,
        round: HeartbeatRound,
    ) {
        let Some(progress) = self.progress_mut(sender) else {
            return;
        };
        progress.record_reply(counts_in_quorum, round);
        let ReplicationMode::Snapshot {
            index: current,
            received: previous,
        } = &mut progress.mode
        else {
            return;
        };
        if *current != index || *previous == received {
            return;
        }
        *previous = received;
        self.send_records(sender, true);
    }

    pub(super) fn handle_snapshot_chunk(
        &mut self,
        from: &VmId,
        sender: ReplicaId,
        meta: &SnapshotMeta,
        (total, offset): (u64, u64),
        data: &[u8],
        round: HeartbeatRound,
    ) {
        let index = meta.index;
        if index > self.commit {
            let received = self.append_chunk(meta, total, offset, data);
            if received < total {
                let reply = Body::SnapshotReply {
                    index,
                    received,
                    counts: self.counts_in_quorum(),
                    round,
                };
                return self.send_after_sync(from.clone(), sender, reply);
            }
            self.install_incoming_snapshot();
        }
        let reply = Body::AppendReply {
            matched: Some(index),
            hint: index,
            counts: self.counts_in_quorum(),
            round,
        };
        self.send_after_sync(from.clone(), sender, reply);
    }

    /// Appends a chunk if it is the next one, and returns the number of bytes received so far.
    fn append_chunk(&mut self, meta: &SnapshotMeta, total: u64, offset: u64, data: &[u8]) -> u64 {
        let term = self.hard_state.term;
        let is_continuation = self.incoming_snapshot.as_ref().is_some_and(|incoming| {
            incoming.term == term && incoming.meta == *meta && incoming.total == total
        });
        if !is_continuation {
            self.incoming_snapshot = Some(IncomingSnapshot {
                term,
                meta: meta.clone(),
                total,
                data: Vec::new(),
            });
        }
        let Some(incoming) = &mut self.incoming_snapshot else {
            return 0;
        };
        let received = incoming.data.len() as u64;
        if offset == received && total <= MAX_SNAPSHOT_BYTES as u64 {
            incoming.data.extend_from_slice(data);
        }
        incoming.data.len() as u64
    }

    fn install_incoming_snapshot(&mut self) {
        let Some(incoming) = self.incoming_snapshot.take() else {
            return;
        };
        let meta = incoming.meta;
        // If the log already contains the record, only the commit index advances.
        if self.log.term(meta.index) == Some(meta.term) {
            self.commit = self.commit.max(meta.index);
            return;
        }
        let data: Arc<[u8]> = incoming.data.into();
        self.log = RecordLog::new(Some(&meta));
        self.commit = meta.index;
        self.applied = meta.index;
        self.snapshot_requested = false;
        self.writes.mark_log_replaced(meta.index);
        self.snapshot = Some(Snapshot {
            meta: meta.clone(),
            data: data.clone(),
        });
        self.outputs.push(Output::InstallSnapshot { meta, data });
    }
}
