//! Draws the faults of a seed: what happens when to which process or link.

use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::proxy::Link;
use super::{CONTROLS, GATEWAYS, TARGETS};

/// Faults begin within this time.
const LENGTH_MS: u64 = 9_000;
/// Faults of one seed.
const FAULTS: usize = 14;
/// Time for which an emptied keeper counts as lost after its start, as the operators say.
const CATCH_UP_MS: u64 = 4_000;
/// Time after its start from which a process handles signals.
const SIGNALS_READY_MS: u64 = 500;
/// Time that a target needs to leave and come back, at which its link has no fault.
const LEAVING_MS: u64 = 5_000;

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
    /// Ends the process and removes its folder.
    Empty,
    Link(Link),
    /// The target announces that it leaves, and comes back under another name.
    Leave,
}

#[derive(Clone, Debug)]
pub struct Step {
    pub at: Duration,
    pub role: Role,
    pub number: u8,
    pub action: Action,
}

/// The steps of a seed while they are drawn.
struct Schedule<'a> {
    rng: &'a mut ChaCha8Rng,
    steps: Vec<Step>,
    /// Until when each process and link has a fault, in milliseconds.
    busy: Vec<(Role, u8, u64)>,
    /// Until then no second disk may be lost.
    disk_busy: u64,
}

/// The steps of a seed, in the order of their times.
pub fn draw(rng: &mut ChaCha8Rng) -> Vec<Step> {
    let mut times: Vec<u64> = (0..FAULTS)
        .map(|_| rng.random_range(0..LENGTH_MS))
        .collect();
    times.sort_unstable();
    let mut schedule = Schedule {
        rng,
        steps: Vec::new(),
        busy: Vec::new(),
        disk_busy: 0,
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
        match self.rng.random_range(0..12) {
            0..=3 => self.draw_link(at, end),
            4..=6 => self.draw_process(at, end, Role::Gateway),
            7..=9 => self.draw_process(at, end, Role::Control),
            10 => self.kill_all_controls(at, end),
            _ => self.draw_departure(at),
        }
    }

    fn is_free(&self, role: Role, number: u8, at: u64) -> bool {
        self.busy
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
        u8::try_from(self.rng.random_range(0..TARGETS)).expect("a few targets")
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
        self.busy.push((Role::Target, number, end));
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
        let (action, last_action) = match self.rng.random_range(0..8) {
            0 | 1 => (Action::Kill, Some(Action::Start)),
            2..=4 => (Action::Freeze, Some(Action::Thaw)),
            5 => (Action::Reload, None),
            6 if role == Role::Control && others_run && self.disk_busy < at => {
                self.disk_busy = end + CATCH_UP_MS;
                (Action::Empty, Some(Action::Start))
            }
            _ => (Action::Terminate, Some(Action::Start)),
        };
        self.push(at, role, number, action);
        // A stop that waits for requests delays the steps behind it, but not their order.
        if let Some(last_action) = last_action {
            self.push(end, role, number, last_action);
        }
        self.busy.push((role, number, end + SIGNALS_READY_MS));
    }

    /// All keepers are killed at the same moment, unless one is emptied or still catching up.
    fn kill_all_controls(&mut self, at: u64, end: u64) {
        let all_free = (0..CONTROLS).all(|number| self.is_free(Role::Control, number, at));
        if !all_free || self.disk_busy >= at {
            return;
        }
        for number in 0..CONTROLS {
            self.push(at, Role::Control, number, Action::Kill);
            self.push(end, Role::Control, number, Action::Start);
            let until = end + SIGNALS_READY_MS;
            self.busy.push((Role::Control, number, until));
        }
    }

    fn draw_departure(&mut self, at: u64) {
        let number = self.target();
        if self.is_free(Role::Target, number, at) {
            self.push(at, Role::Target, number, Action::Leave);
            self.busy.push((Role::Target, number, at + LEAVING_MS));
        }
    }
}
