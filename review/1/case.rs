//! The control machines are replaced one after the other; then no majority of the voters is left.

#[path = "../harness.rs"]
mod harness;

use std::time::{Duration, Instant};

use harness::*;

/// `catch_up` of the deployment, after which a new machine no longer counts as lost.
const CATCH_UP: Duration = Duration::from_secs(4);
/// `recovery` of the deployment.
const RECOVERY: Duration = Duration::from_secs(15);
const REPLACEMENTS: usize = 4;

fn main() {
    run(case)
}

fn case(record: &Record, _: &std::path::Path) -> bool {
    let mut fleet = Fleet::start(5, 1, None);
    let mut alive = vec![0, 1, 2, 3, 4];
    if fleet.publish(record, &configuration(1), &alive, Duration::from_secs(15)).is_none() {
        cannot_run(record, "the first configuration isn't acknowledged");
    }
    sleep_ms(5000);
    for replacement in 0..REPLACEMENTS {
        if has_trouble() {
            let lost = alive.remove(0);
            fleet.controls[lost].end();
            record.say(&format!("control-{lost} is gone for good"));
            sleep_ms(1000);
            let new = 5 + replacement;
            fleet.seeds = alive[..3].to_vec();
            fleet.start_control(new, false);
            alive.push(new);
            record.say(&format!("control-{new} starts with an empty disk at another address"));
        } else {
            sleep_ms(1000);
        }
        std::thread::sleep(CATCH_UP + CONTACT_WINDOW);
        let version = 2 + u32::try_from(replacement).unwrap();
        let acked = fleet.publish(record, &configuration(version), &alive, Duration::from_secs(4));
        record.say(&format!("version {version}, acknowledged by: {acked:?}"));
    }
    // All five control machines run, and none was lost later than `catch_up` ago.
    let start = Instant::now();
    let mut is_read = false;
    while !is_read && start.elapsed() < RECOVERY + CONTACT_WINDOW {
        for number in &alive {
            let answer = call(fleet.control(*number), "GET", "/config", &[], b"", 1000);
            let status = answer.map(|answer| answer.status);
            record.line(&format!("GET /config at control-{number}: {status:?}"));
            is_read |= status == Some(200);
        }
        sleep_ms(200);
    }
    for number in &alive {
        let exit = fleet.controls[*number].exit();
        record.line(&format!("control-{number}: {}", exit.unwrap_or("runs".to_owned())));
    }
    record.say(&format!("the configuration can be read back: {is_read}"));
    !is_read
}
