//! Generates the faults of a seed: when which process or link gets which fault.

use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::proxy::Link;
use super::{CONTROLS, GATEWAYS, TARGETS};

/// Time within which faults begin.
const FAULT_WINDOW_MS: u64 = 9_000;
/// Number of faults drawn per seed; those that overlap another at the same process are dropped.
const FAULT_COUNT: usize = 14;
/// Time for which a keeper without data counts as lost after its start, as the operators define it.
const CATCH_UP_MS: u64 = 4_000;
/// Time after its start within which a process may not handle signals yet.
const STARTUP_MS: u64 = 500;
/// Time that a target needs to leave and come back; its link gets no fault meanwhile.
const DEPARTURE_MS: u64 = 5_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Role {
    Control,
    Gateway,
    Target,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    Kill,
    Start,
    Freeze,
    Thaw,
    Terminate,
    Reload,
    /// Kills the process and removes its data folder.
    RemoveData,
    /// Kills the process and removes its data folder; it starts at another address.
    Move,
    Link(Link),
    /// The target announces its departure and comes back under another name.
    Leave,
}

#[derive(Clone, Debug)]
pub struct Step {
    pub at: Duration,
    pub role: Role,
    pub number: u8,
    pub action: Action,
}

/// Schedule of a seed under construction.
struct Schedule<'a> {
    rng: &'a mut ChaCha8Rng,
    steps: Vec<Step>,
    /// Ends of the faults of each process and link, in milliseconds.
    fault_ends: Vec<(Role, u8, u64)>,
    /// Time before which no other keeper may lose its data, in milliseconds.
    data_loss_blocked_until: u64,
}

/// Returns the steps of a seed in the order of their times.
pub fn generate(rng: &mut ChaCha8Rng) -> Vec<Step> {
    let mut times: Vec<u64> = (0..FAULT_COUNT)
        .map(|_| rng.random_range(0..FAULT_WINDOW_MS))
        .collect();
    times.sort_unstable();
    let mut schedule = Schedule {
        rng,
        steps: Vec::new(),
        fault_ends: Vec::new(),
        data_loss_blocked_until: 0,
    };
    for at in times {
        schedule.draw_fault(at);
    }
    schedule.steps.sort_by_key(|step| step.at);
    schedule.steps
}

impl Schedule<'_> {
    fn draw_fault(&mut self, at: u64) {
        let end = at + self.rng.random_range(100..2_500);
        match self.rng.random_range(0..14) {
            0..=3 => self.draw_link(at, end),
            4..=6 => self.draw_process(at, end, Role::Gateway),
            7..=9 => self.draw_process(at, end, Role::Control),
            10 => self.kill_all_controls(at, end),
            11 | 12 => self.move_control(at, end),
            _ => self.draw_departure(at),
        }
    }

    fn is_free(&self, role: Role, number: u8, at: u64) -> bool {
        self.fault_ends
            .iter()
            .all(|(other, of, until)| (*other, *of) != (role, number) || *until < at)
    }

    fn push(&mut self, at: u64, role: Role, number: u8, action: Action) {
        self.steps.push(Step {
            at: Duration::from_millis(at),
            role,
            number,
            action,
        });
    }

    fn target(&mut self) -> u8 {
        u8::try_from(self.rng.random_range(0..TARGETS)).expect("fewer than 256 targets")
    }

    fn draw_link(&mut self, at: u64, end: u64) {
        let number = self.target();
        if !self.is_free(Role::Target, number, at) {
            return;
        }
        let link = [
            Link::Slow,
            Link::Silent,
            Link::NoAnswers,
            Link::Reset,
            Link::Refused,
        ][self.rng.random_range(0..5)];
        self.push(at, Role::Target, number, Action::Link(link));
        self.push(end, Role::Target, number, Action::Link(Link::Open));
        self.fault_ends.push((Role::Target, number, end));
    }

    fn draw_process(&mut self, at: u64, end: u64, role: Role) {
        let count = if role == Role::Control {
            CONTROLS
        } else {
            GATEWAYS
        };
        let number = self.rng.random_range(0..count);
        if !self.is_free(role, number, at) {
            return;
        }
        let others_run = (0..count).all(|other| other == number || self.is_free(role, other, at));
        let (action, end_action) = match self.rng.random_range(0..8) {
            0 | 1 => (Action::Kill, Some(Action::Start)),
            2..=4 => (Action::Freeze, Some(Action::Thaw)),
            5 => (Action::Reload, None),
            6 if role == Role::Control && others_run && self.data_loss_blocked_until < at => {
                self.data_loss_blocked_until = end + CATCH_UP_MS;
                (Action::RemoveData, Some(Action::Start))
            }
            _ => (Action::Terminate, Some(Action::Start)),
        };
        self.push(at, role, number, action);
        // A graceful stop that waits for requests delays later steps, but keeps their order.
        if let Some(end_action) = end_action {
            self.push(end, role, number, end_action);
        }
        self.fault_ends.push((role, number, end + STARTUP_MS));
    }

    /// Kills all keepers at the same time, unless one of them has a fault or is still catching up after
    /// the loss of its data.
    fn kill_all_controls(&mut self, at: u64, end: u64) {
        let all_free = (0..CONTROLS).all(|number| self.is_free(Role::Control, number, at));
        if !all_free || self.data_loss_blocked_until >= at {
            return;
        }
        for number in 0..CONTROLS {
            self.push(at, Role::Control, number, Action::Kill);
            self.push(end, Role::Control, number, Action::Start);
            let until = end + STARTUP_MS;
            self.fault_ends.push((Role::Control, number, until));
        }
    }

    /// Replaces a keeper at another address, unless another one has a fault or is still catching up after
    /// the loss of its data.
    fn move_control(&mut self, at: u64, end: u64) {
        let all_free = (0..CONTROLS).all(|number| self.is_free(Role::Control, number, at));
        if !all_free || self.data_loss_blocked_until >= at {
            return;
        }
        let number = self.rng.random_range(0..CONTROLS);
        self.data_loss_blocked_until = end + CATCH_UP_MS;
        self.push(at, Role::Control, number, Action::Move);
        self.push(end, Role::Control, number, Action::Start);
        self.fault_ends
            .push((Role::Control, number, end + STARTUP_MS));
    }

    fn draw_departure(&mut self, at: u64) {
        let number = self.target();
        if self.is_free(Role::Target, number, at) {
            self.push(at, Role::Target, number, Action::Leave);
            self.fault_ends
                .push((Role::Target, number, at + DEPARTURE_MS));
        }
    }
}
