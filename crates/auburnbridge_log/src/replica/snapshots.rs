//! Snapshots: taking one, dropping the records before it, and sending it to a member that lags
//! behind the records in memory.

use std::sync::Arc;

use auburnbridge_types::VmId;

use super::Replica;
use super::leader::Flow;
use crate::message::Round;
use crate::record_log::RecordLog;
use crate::{
    Body, LogIndex, MAX_SNAPSHOT_BYTES, Output, ReplicaId, SNAPSHOT_CHUNK_BYTES, Snapshot,
    SnapshotMeta, Term,
};

/// A snapshot that arrives in chunks.
#[derive(Clone, Debug)]
pub(super) struct IncomingSnapshot {
    /// Term of the leader that sends it; two leaders may encode a state differently.
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

    pub(super) fn ask_for_snapshot(&mut self) {
        let records = self.applied.0 - self.snapshot_index().0;
        if self.snapshot_asked || records < self.config.snapshot_after_records {
            return;
        }
        self.snapshot_asked = true;
        self.outputs.push(Output::SnapshotWanted {
            index: self.applied,
        });
    }

    pub(super) fn snapshot_taken(&mut self, index: LogIndex, data: Arc<[u8]>) {
        self.snapshot_asked = false;
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
        self.writer.mark_snapshot();
    }

    /// Drops records that the synced snapshot covers, except some for slow followers.
    pub(super) fn compact_log(&mut self) {
        let through = self.snapshot_index().0;
        let through = through.saturating_sub(self.config.retained_records);
        if through > self.log.base_index().0 && through <= self.writer.synced().0 {
            self.log.compact(LogIndex(through));
        }
    }

    pub(super) fn send_snapshot_chunk(&mut self, vm: VmId, replica: ReplicaId, round: Round) {
        let Some(snapshot) = self.snapshot.clone() else {
            return;
        };
        let Some(progress) = self.progress_mut(replica) else {
            return;
        };
        let current = snapshot.meta.index;
        let offset = match progress.flow {
            Flow::Snapshot { index, received } if index == current => received,
            Flow::Snapshot { .. } | Flow::Probe | Flow::Stream => 0,
        };
        progress.flow = Flow::Snapshot {
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
        counts: bool,
        round: Round,
    ) {
        let Some(progress) = self.progress_mut(sender) else {
            return;
        };
        progress.note_answer(counts, round);
        let Flow::Snapshot {
            index: current,
            received: known,
        } = &mut progress.flow
        else {
            return;
        };
        if *current != index || *known == received {
            return;
        }
        *known = received;
        self.send_records(sender, true);
    }

    pub(super) fn handle_snapshot_chunk(
        &mut self,
        from: &VmId,
        sender: ReplicaId,
        meta: &SnapshotMeta,
        (total, offset): (u64, u64),
        data: &[u8],
        round: Round,
    ) {
        let index = meta.index;
        if index > self.commit {
            let received = self.collect_chunk(meta, total, offset, data);
            if received < total {
                let reply = Body::SnapshotReply {
                    index,
                    received,
                    counts: self.counts(),
                    round,
                };
                return self.send_synced(from.clone(), sender, reply);
            }
            self.install_incoming();
        }
        let reply = Body::AppendReply {
            matched: Some(index),
            hint: index,
            counts: self.counts(),
            round,
        };
        self.send_synced(from.clone(), sender, reply);
    }

    /// Adds a chunk and returns the number of bytes held.
    fn collect_chunk(&mut self, meta: &SnapshotMeta, total: u64, offset: u64, data: &[u8]) -> u64 {
        let term = self.hard.term;
        let same = self.incoming.as_ref().is_some_and(|incoming| {
            incoming.term == term && incoming.meta == *meta && incoming.total == total
        });
        if !same {
            self.incoming = Some(IncomingSnapshot {
                term,
                meta: meta.clone(),
                total,
                data: Vec::new(),
            });
        }
        let Some(incoming) = &mut self.incoming else {
            return 0;
        };
        let held = incoming.data.len() as u64;
        if offset == held && total <= MAX_SNAPSHOT_BYTES as u64 {
            incoming.data.extend_from_slice(data);
        }
        incoming.data.len() as u64
    }

    fn install_incoming(&mut self) {
        let Some(incoming) = self.incoming.take() else {
            return;
        };
        let meta = incoming.meta;
        // A log that already has the record needs no new state, only the news of the commit.
        if self.log.term(meta.index) == Some(meta.term) {
            self.commit = self.commit.max(meta.index);
            return;
        }
        let data: Arc<[u8]> = incoming.data.into();
        self.log = RecordLog::new(Some(&meta));
        self.commit = meta.index;
        self.applied = meta.index;
        self.snapshot_asked = false;
        self.writer.mark_replaced(meta.index);
        self.snapshot = Some(Snapshot {
            meta: meta.clone(),
            data: data.clone(),
        });
        self.outputs.push(Output::InstallSnapshot { meta, data });
    }
}
