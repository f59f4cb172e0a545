//! A control machine that is cut off acknowledges the departure of an upstream that it doesn't know.

#[path = "../harness.rs"]
mod harness;

use std::time::{Duration, Instant};

use harness::*;

/// Number of the control process that is cut off.
const CUT_OFF: usize = 4;

fn main() {
    run(case)
}

fn case(record: &Record, _: &std::path::Path) -> bool {
    let fleet = Fleet::start(5, 2, Some(CUT_OFF));
    let proxy = Proxy::default();
    for number in (0..5).filter(|number| *number != CUT_OFF) {
        let ip = fleet.control_ip(number);
        proxy.forward((ip, fleet.hidden_port).into(), (ip, fleet.peer_port).into(), None);
    }
    let ip = fleet.control_ip(CUT_OFF);
    // The gateways reach the machine that is cut off.
    proxy.forward((ip, fleet.peer_port).into(), (ip, fleet.hidden_port).into(), Some(" entry"));

    let others: Vec<usize> = (0..5).filter(|number| *number != CUT_OFF).collect();
    if fleet.publish(record, &configuration(1), &others, Duration::from_secs(15)).is_none() {
        cannot_run(record, "the first configuration isn't acknowledged");
    }
    let controls: Vec<_> = others.iter().map(|number| fleet.control(*number)).collect();
    let steady: Vec<Upstream> = (0..2)
        .map(|number| Upstream::start(record, &format!("i-steady{number}"), 20))
        .collect();
    for upstream in &steady {
        upstream.keep_beating(controls.clone());
    }
    let first = Upstream::start(record, "i-7f3a91c2", 20);
    first.keep_beating(controls.clone());
    fleet.wait_ready(record);
    sleep_ms(3000);

    // The upstream leaves in order: draining, gone, ended. All control machines learn of it.
    if first.drain(&controls).is_none() {
        cannot_run(record, "the first departure isn't acknowledged");
    }
    sleep_ms(2500);
    first.delete(&controls);
    first.end();
    sleep_ms(2000);

    let cut_at = Instant::now();
    if has_trouble() {
        proxy.cut(true);
        record.say(&format!("control-{CUT_OFF} is cut off from the other control machines"));
    }
    sleep_ms(1000);
    // It starts again under the id that it had, and registers with a machine of the majority.
    let second = Upstream::start(record, "i-7f3a91c2", 20);
    second.keep_beating(controls);
    send_for(record, &fleet, Duration::from_secs(5));
    let served = second.runs.lock().unwrap().len();
    record.say(&format!("the new incarnation has run {served} requests"));
    if served == 0 {
        cannot_run(record, "the new incarnation got no request");
    }

    // It leaves by saying that it is gone, first to the machine that is cut off, then to others.
    let order: Vec<_> = [CUT_OFF, 0, 1, 2, 3].map(|number| fleet.control(number)).into();
    let Some((by, acked)) = second.delete(&order) else {
        cannot_run(record, "the departure isn't acknowledged");
    };
    let by = [CUT_OFF, 0, 1, 2, 3][by];
    record.say(&format!("its departure is acknowledged by control-{by}"));
    sleep_ms(2300);
    // Requests from here on are sent later than `drain` after the acknowledgement, and the core has
    // been stable since `contact_window` after the cut.
    assert!(acked.elapsed() > DRAIN && cut_at.elapsed() > CONTACT_WINDOW);
    let sent_from = Instant::now();
    send_for(record, &fleet, Duration::from_secs(4));
    let late = second.runs.lock().unwrap().iter().filter(|run| run.at >= sent_from).count();
    record.say(&format!("{late} requests that were sent later than `drain` after the acknowledgement ran at it"));
    late > 0
}

/// Sends requests to both gateways for `time`.
fn send_for(record: &Record, fleet: &Fleet, time: Duration) {
    let start = Instant::now();
    while start.elapsed() < time {
        for number in 0..fleet.gateways.len() {
            caller_request(record, fleet.gateway(number), "POST", "/hold/1");
            caller_request(record, fleet.gateway(number), "GET", "/look/1");
        }
        sleep_ms(30);
    }
}
