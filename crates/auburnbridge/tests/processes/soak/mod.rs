//! Randomized soak test: a fleet of real processes under overlapping faults, injected from outside.
//!
//! Signals kill, freeze, stop and reload processes, data folders are removed, and keepers are replaced
//! at other addresses. The connections to targets pass through loopback proxies that delay, reset or
//! silence them, in one direction or both. Meanwhile callers send lookups and orders, an operator
//! publishes versions, and targets announce themselves and leave. [`record::Record`] holds what callers
//! received and what targets ran, and lists all violated guarantees.
//!
//! `SOAK_SEEDS=20 SOAK_FIRST_SEED=1000 cargo test -p auburnbridge --test processes -- --ignored
//! fresh_seeds` runs other seeds. A seed that fails is added to [`CI_SEEDS`] with its cause.
//!
//! Not covered: cut connections between keepers and gateways, since processes identify each other by
//! the addresses of their VMs (frozen processes stand in for that); storage faults other than the loss
//! of a whole data folder; and changes of the wall clock, which no process uses.

mod callers;
mod operator;
mod proxy;
mod record;
mod schedule;
mod targets;
mod versions;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::platform_fleet::{PlatformFleet, eventually};
use record::Record;
use schedule::{Action, Role, Step};
use targets::SoakTarget;

pub const CONTROLS: u8 = 3;
pub const GATEWAYS: u8 = 2;
pub const TARGETS: usize = 4;
const CALLERS: usize = 6;
/// First VM number of the soak's fleet, whose VMs no other test uses.
const FIRST_VM: u8 = 200;
/// Time within which everything must be served again after the faults; the operators require it.
const RECOVERY: Duration = Duration::from_secs(15);

/// Seeds that CI runs. A seed that fails is added with its cause.
const CI_SEEDS: [u64; 2] = [
    1,
    // Two keepers are replaced at other addresses, and both stayed voters of the group.
    4001,
];

/// State that the threads of one run share.
pub struct Soak {
    pub record: Record,
    pub targets: Vec<SoakTarget>,
    /// Set when all threads must end.
    pub is_over: AtomicBool,
}

impl Soak {
    pub fn is_over(&self) -> bool {
        self.is_over.load(Ordering::SeqCst)
    }
}

/// Runs one seed and returns the violated guarantees.
fn run(seed: u64) -> Vec<String> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let steps = schedule::generate(&mut rng);
    let mut fleet = PlatformFleet::start(FIRST_VM, CONTROLS, GATEWAYS);
    let soak = Arc::new(Soak {
        record: Record::default(),
        targets: (0..TARGETS).map(|_| SoakTarget::start()).collect(),
        is_over: AtomicBool::new(false),
    });
    let addresses = fleet.addresses();
    let mut threads = vec![operator::start(&soak, &addresses, seed)];
    threads.extend(targets::start_announcing(&soak, &addresses, seed));
    eventually("the fleet serves nothing", || {
        (0..GATEWAYS).all(|gateway| fleet.send(gateway, "GET", "/lookups/first") == Some(200))
    });
    threads.extend((0..CALLERS).map(|caller| callers::start(&soak, &addresses, seed, caller)));
    threads.extend((0..GATEWAYS).map(|gateway| versions::start(&soak, &addresses, gateway)));
    apply_steps(&steps, &mut fleet, &soak);
    end_faults(&mut fleet, &soak);
    let faults_ended = Instant::now();
    let is_served = || {
        let version = soak.record.newest_acknowledged();
        (0..GATEWAYS).all(|gateway| {
            let serves = |path: &str| fleet.send(gateway, "POST", path) == Some(200);
            serves("/orders/last") && serves(&format!("/v{version}/last"))
        })
    };
    while !is_served() {
        if faults_ended.elapsed() > RECOVERY {
            soak.record.record_violation(
                "not all gateways serve the newest version after the recovery time",
            );
            break;
        }
        thread::sleep(Duration::from_millis(100));
    }
    soak.is_over.store(true, Ordering::SeqCst);
    for thread in threads {
        thread.join().expect("a soak thread panicked");
    }
    let version = fleet.call_any("GET", crate::wire::CONFIG, "", 200);
    soak.record.check_final_configuration(&version);
    soak.record
        .take_all_runs(soak.targets.iter().map(|target| target.runs.as_ref()));
    let violations = soak.record.violations();
    println!(
        "seed={seed} {} violations={}",
        soak.record.summary(),
        violations.len()
    );
    if !violations.is_empty() {
        for step in &steps {
            println!("  {step:?}");
        }
        println!("  logs kept in {}", fleet.keep_files().display());
    }
    violations
}

fn apply_steps(steps: &[Step], fleet: &mut PlatformFleet, soak: &Arc<Soak>) {
    let start = Instant::now();
    for step in steps {
        thread::sleep(step.at.saturating_sub(start.elapsed()));
        soak.record.record_fault(step);
        apply_step(step, fleet, soak);
    }
}

fn apply_step(step: &Step, fleet: &mut PlatformFleet, soak: &Arc<Soak>) {
    let number = usize::from(step.number);
    if step.role == Role::Target {
        let target = &soak.targets[number];
        match step.action {
            Action::Link(mode) => target.proxy.set(mode),
            Action::Leave => target.leave(),
            _ => unreachable!("targets have only link faults and departures"),
        }
        return;
    }
    if step.action == Action::RemoveData {
        fleet.controls[number].kill();
        std::fs::remove_dir_all(fleet.data_folder(step.number)).unwrap();
        fleet.write_control_settings(step.number, false);
        return;
    }
    if step.action == Action::Move {
        fleet.move_control(step.number);
        return;
    }
    let process = match step.role {
        Role::Control => &mut fleet.controls[number],
        Role::Gateway | Role::Target => &mut fleet.gateways[number],
    };
    match step.action {
        Action::Kill => process.kill(),
        Action::Start => process.restart(),
        Action::Freeze => process.freeze(),
        Action::Thaw => process.thaw(),
        Action::Reload => process.reload(),
        Action::Terminate => {
            process.terminate();
            if !process.wait() {
                soak.record
                    .record_violation("a process that was asked to stop ended with an error");
            }
        }
        Action::Link(_) | Action::Leave | Action::RemoveData | Action::Move => {
            unreachable!("handled above")
        }
    }
}

/// Opens all links and checks that all processes run, since the schedule ends each fault that it
/// begins.
fn end_faults(fleet: &mut PlatformFleet, soak: &Arc<Soak>) {
    for target in &soak.targets {
        target.proxy.set(proxy::Link::Open);
    }
    for process in fleet.controls.iter_mut().chain(&mut fleet.gateways) {
        assert!(
            process.is_running(),
            "a process was left stopped by the schedule or ended by itself"
        );
    }
}

fn run_seeds(seeds: impl Iterator<Item = u64>) {
    let mut failed = Vec::new();
    for seed in seeds {
        let violations = run(seed);
        if !violations.is_empty() {
            failed.push((seed, violations));
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}

/// Guards against violations of the guarantees to callers, operators and targets under overlapping
/// faults.
#[test]
fn ci_seeds() {
    run_seeds(CI_SEEDS.into_iter());
}

/// Runs `SOAK_SEEDS` seeds (default 5) from `SOAK_FIRST_SEED` on (default 1000).
#[test]
#[ignore = "takes a quarter of a minute per seed; run it by hand"]
fn fresh_seeds() {
    let variable = |name: &str, default: u64| {
        std::env::var(name).map_or(default, |text| text.parse().expect("a number"))
    };
    let first = variable("SOAK_FIRST_SEED", 1_000);
    run_seeds(first..first + variable("SOAK_SEEDS", 5));
}
