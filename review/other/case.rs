//! One of the three seeds is lost at the first start; the group of control machines never forms.

#[path = "../harness.rs"]
mod harness;

use std::time::{Duration, Instant};

use harness::*;

/// `ack_timeout` of the deployment.
const ACK_TIMEOUT: Duration = Duration::from_secs(4);
/// `recovery` of the deployment, for which the script goes on.
const RECOVERY: Duration = Duration::from_secs(15);
/// Number of the seed that is lost; it is not the first one in the settings.
const LOST: usize = 1;

fn main() {
    run(case)
}

fn case(record: &Record, _: &std::path::Path) -> bool {
    let fleet = Fleet::start(5, 2, None);
    let mut alive = vec![0, 1, 2, 3, 4];
    if has_trouble() {
        fleet.controls[LOST].end();
        alive.retain(|number| *number != LOST);
        record.say(&format!("control-{LOST} is killed right after its start and stays away"));
    }
    // The operator sends the first configuration until it is accepted.
    sleep_ms(8000);
    let stable_from = Instant::now();
    let upstream = Upstream::start(record, "i-7f3a91c2", 20);
    upstream.keep_beating(alive.iter().map(|number| fleet.control(*number)).collect());
    let limit = ACK_TIMEOUT + RECOVERY;
    let acked = fleet.publish(record, &configuration(1), &alive, limit);
    let took = stable_from.elapsed();
    record.say(&format!("the first configuration, acknowledged by: {acked:?}, after {took:.1?}"));
    sleep_ms(2500);
    let mut served = 0;
    for _ in 0..10 {
        for number in 0..fleet.gateways.len() {
            let (_, answer) = caller_request(record, fleet.gateway(number), "GET", "/look/1");
            served += u32::from(answer.is_some_and(|answer| answer.status == 200));
        }
    }
    record.say(&format!("served {served} of 20 requests"));
    for number in &alive {
        let exit = fleet.controls[*number].exit();
        record.line(&format!("control-{number}: {}", exit.unwrap_or("runs".to_owned())));
    }
    acked.is_none() || took > ACK_TIMEOUT
}
