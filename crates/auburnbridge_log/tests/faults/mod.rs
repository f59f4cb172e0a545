//! Random faults, with which schedules reach many states in few actions.

use auburnbridge_log::{Input, MemberChange};
use rand::Rng;

use crate::cluster::{Cluster, Process};

/// Asks a leader, which may be one of an older term, to add, promote or remove a node.
pub fn change_members_at_leader(cluster: &mut Cluster, node: usize, kind: usize) {
    let leads = |process: &Process| process.replica.is_leader();
    let leaders: Vec<_> = (0..cluster.nodes.len())
        .filter(|node| cluster.nodes[*node].process.as_ref().is_some_and(leads))
        .collect();
    if leaders.is_empty() {
        return;
    }
    let leader = leaders[cluster.rng.random_range(0..leaders.len())];
    let id = cluster.nodes[node].id;
    match kind {
        0 => cluster.add_learner(leader, node),
        1 => cluster.change(leader, MemberChange::Promote(id)),
        _ => cluster.change(leader, MemberChange::Remove(id)),
    }
}

/// Advances time by 30 ms per round, with lost, duplicated and delayed messages, slow disks and
/// crashes.
pub fn run_with_random_faults(cluster: &mut Cluster, rounds: usize) {
    for _ in 0..rounds {
        cluster.now += 30;
        let node = cluster.rng.random_range(0..cluster.nodes.len());
        match cluster.rng.random_range(0..28) {
            0 => cluster.crash(node),
            1..4 => cluster.start(node),
            4..10 => cluster.propose(node),
            10 => {
                let other = cluster.rng.random_range(0..cluster.nodes.len());
                cluster.cut_links.insert((node, other));
            }
            11 => cluster.cut_links.clear(),
            12 => cluster.step(node, Input::Resign),
            13 => cluster.isolate(node),
            14..17 => {
                let kind = cluster.rng.random_range(0..3);
                change_members_at_leader(cluster, node, kind);
            }
            _ => {}
        }
        for node in 0..cluster.nodes.len() {
            cluster.step(node, Input::Tick);
            if cluster.rng.random_bool(0.6) {
                cluster.sync(node);
            }
        }
        for _ in 0..cluster.queue.len() {
            let position = cluster.rng.random_range(0..cluster.queue.len());
            match cluster.rng.random_range(0..10) {
                0 => drop(cluster.queue.remove(position)),
                1 => cluster.queue.push(cluster.queue[position].clone()),
                2 => {}
                _ => cluster.deliver(position),
            }
            if cluster.queue.is_empty() {
                break;
            }
        }
        let excess = cluster.queue.len().saturating_sub(60);
        cluster.queue.drain(..excess);
    }
}
