//! Faults at random, for schedules that reach many states in few actions.

use auburnbridge_log::{Input, MemberChange};
use rand::Rng;

use crate::network::{Network, Process};

/// Asks a leader, perhaps one of an older term, to add, promote or remove a node.
pub fn change_at_leader(network: &mut Network, node: usize, kind: usize) {
    let leads = |process: &Process| process.replica.is_leader();
    let leaders: Vec<_> = (0..network.nodes.len())
        .filter(|node| network.nodes[*node].process.as_ref().is_some_and(leads))
        .collect();
    if leaders.is_empty() {
        return;
    }
    let leader = leaders[network.rng.random_range(0..leaders.len())];
    let id = network.nodes[node].id;
    match kind {
        0 => network.add_learner(leader, node),
        1 => network.change(leader, MemberChange::Promote(id)),
        _ => network.change(leader, MemberChange::Remove(id)),
    }
}

/// Lets time pass with links that lose, repeat and delay, slow disks and crashes.
pub fn storm(network: &mut Network, rounds: usize) {
    for _ in 0..rounds {
        network.now += 30;
        let node = network.rng.random_range(0..network.nodes.len());
        match network.rng.random_range(0..28) {
            0 => network.crash(node),
            1..4 => network.start(node),
            4..10 => network.propose(node),
            10 => {
                let other = network.rng.random_range(0..network.nodes.len());
                network.cuts.insert((node, other));
            }
            11 => network.cuts.clear(),
            12 => network.step(node, Input::Resign),
            13 => network.isolate(node),
            14..17 => {
                let kind = network.rng.random_range(0..3);
                change_at_leader(network, node, kind);
            }
            _ => {}
        }
        for node in 0..network.nodes.len() {
            network.step(node, Input::Tick);
            if network.rng.random_bool(0.6) {
                network.sync(node);
            }
        }
        for _ in 0..network.queue.len() {
            let position = network.rng.random_range(0..network.queue.len());
            match network.rng.random_range(0..10) {
                0 => drop(network.queue.remove(position)),
                1 => network.queue.push(network.queue[position].clone()),
                2 => {}
                _ => network.deliver(position),
            }
            if network.queue.is_empty() {
                break;
            }
        }
        let excess = network.queue.len().saturating_sub(60);
        network.queue.drain(..excess);
    }
}
