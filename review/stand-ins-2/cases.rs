//! The cases. Each returns whether its rule was broken.

use std::collections::BTreeSet;

use super::*;

const SAFE_ROUTE: Route<'static> = Route {
    prefix: "/orders/",
    kind: "safe",
    service: "stock",
    target_latency: "800ms",
    timeout: "1500ms",
    max_attempts: 2,
};

/// What clients have seen: time, path, status.
type Outcomes = Mutex<Vec<(Instant, String, u16)>>;

/// Case 6, DRAIN: a request that waits in the gateway goes to a server that has left, because its
/// service is no longer in the configuration.
pub(crate) fn drained_server_of_a_removed_service(
    record: &Arc<Record>,
    with_trouble: bool,
) -> Fallible<bool> {
    let mut fleet = Fleet::start(record, 3, 1)?;
    let old = fleet.add_server("old", 3)?;
    fleet.add_server("new", 3)?;
    let old = fleet.servers[old].0.clone();
    sleep_s(2.0);
    let slips = |service| Route {
        prefix: "/slips/",
        kind: "unsafe",
        service,
        target_latency: "10s",
        timeout: "12s",
        max_attempts: 2,
    };
    let orders = Route {
        service: "new",
        ..SAFE_ROUTE
    };
    fleet.configure(&document(1, &[orders, slips("old")], &["old", "new"]))?;
    fleet.start_heartbeats();
    fleet.await_service("/orders/first")?;
    // The old server is warm, and all of its slots are used, after its first seconds.
    sleep_s(5.0);
    let gateway = fleet.gateway(0);
    for number in 0..3 {
        let status = send(
            gateway,
            "POST",
            &format!("/slips/warm-{number}"),
            &format!("w-{number}"),
            50,
            12_000,
        );
        record.note(&format!("POST /slips/warm-{number}: {status}"));
    }
    let mut clients = Vec::new();
    for number in 1..=4 {
        let record = Arc::clone(record);
        clients.push(thread::spawn(move || {
            let path = format!("/slips/{number}");
            let attempt = format!("s-{number}");
            record.note(&format!("{attempt} POST {path} sent"));
            let status = send(gateway, "POST", &path, &attempt, 4_500, 12_000);
            record.note(&format!("{attempt} POST {path}: {status}"));
        }));
        sleep_s(0.1);
    }
    let services: &[&str] = if with_trouble {
        &["new"]
    } else {
        &["old", "new"]
    };
    fleet.configure(&document(2, &[orders, slips("new")], services))?;
    sleep_s(0.2);
    fleet.silence(&old.id);
    let body = old.heartbeat("draining", 1_000_000);
    let path = format!("/instances/{}", old.id);
    if !fleet.order("PUT", &path, &body, Duration::from_secs(5)) {
        return Err("the departure was not acknowledged".to_owned());
    }
    let acknowledged = unix_millis();
    record.note(&format!("{} reported draining, acknowledged", old.id));
    // The fourth request must still wait in the gateway.
    let has_free_slot = fleet
        .server_events()
        .iter()
        .any(|(_, event, _, attempt, _)| event == "answered" && attempt.starts_with("s-"));
    if has_free_slot {
        return Err("the orders were acknowledged too late".to_owned());
    }
    // The server serves for the drain time and 2.6 s longer, when it is done with what it had.
    let ending = fleet.servers[0].1.take();
    let ended = thread::spawn({
        let (record, id) = (Arc::clone(record), old.id.clone());
        move || {
            thread::sleep(DRAIN + Duration::from_millis(2_600));
            drop(ending);
            record.note(&format!("{id} has ended"));
        }
    });
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }
    ended.join().map_err(|_| "the server did not end")?;
    let mut broken = false;
    for (at, event, id, attempt, path) in fleet.server_events() {
        if id != old.id || event != "arrived" {
            continue;
        }
        let after = at as i64 - acknowledged as i64;
        record.note(&format!(
            "{attempt} {path} reached {id} {after} ms after the acknowledgement"
        ));
        broken |= after > DRAIN.as_millis() as i64;
    }
    Ok(broken)
}

/// Case 7, DRAIN: one entry of another writer, with a number too large, makes the departure of its
/// server be acknowledged and ignored.
pub(crate) fn odd_entry_hides_a_departure(
    record: &Arc<Record>,
    with_trouble: bool,
) -> Fallible<bool> {
    let mut fleet = Fleet::start(record, 3, 1)?;
    for _ in 0..3 {
        fleet.add_server("stock", 3)?;
    }
    sleep_s(2.0);
    let holds = Route {
        prefix: "/holds/",
        kind: "unsafe",
        ..SAFE_ROUTE
    };
    fleet.configure(&document(1, &[SAFE_ROUTE, holds], &["stock"]))?;
    fleet.start_heartbeats();
    fleet.await_service("/orders/first")?;
    sleep_s(3.5);
    let leaving = fleet.servers[0].0.clone();
    let path = format!("/instances/{}", leaving.id);
    if with_trouble {
        // The writer counts the start in microseconds.
        let odd = Server {
            born: leaving.born * 1_000,
            ..leaving.clone()
        };
        let body = odd.heartbeat("ready", 1);
        let answer = call(
            fleet.control(0),
            "PUT",
            &path,
            "Content-Type: application/json\r\n",
            &body,
            Duration::from_secs(1),
        );
        record.note(&format!(
            "PUT {path} of another writer: {body}: {:?}",
            answer.map(|answer| answer.status())
        ));
    }
    // The server goes on with its own heartbeats, then it leaves.
    sleep_s(4.0);
    fleet.silence(&leaving.id);
    sleep_s(0.2);
    let seq_no = fleet.beats.seq_no.fetch_add(1, Ordering::SeqCst) + 1;
    let body = leaving.heartbeat("draining", seq_no);
    if !fleet.order("PUT", &path, &body, Duration::from_secs(5)) {
        return Err("the departure was not acknowledged".to_owned());
    }
    let acknowledged = unix_millis();
    record.note(&format!("PUT {path}: {body}: acknowledged"));
    // The server serves for the drain time and two seconds longer, then it ends.
    let ending = fleet.servers[0].1.take();
    let ended = thread::spawn({
        let record = Arc::clone(record);
        move || {
            thread::sleep(DRAIN + Duration::from_secs(2));
            drop(ending);
            record.note("the server has ended");
        }
    });
    let lost = Arc::new(AtomicU64::new(0));
    let mut clients = Vec::new();
    for number in 0..150 {
        let (gateway, record) = (fleet.gateway(0), Arc::clone(record));
        let lost = Arc::clone(&lost);
        clients.push(thread::spawn(move || {
            let (path, attempt) = (format!("/holds/{number}"), format!("h-{number}"));
            let status = send(gateway, "POST", &path, &attempt, 300, 1_500);
            record.detail(&format!("{attempt} POST {path}: {status}"));
            if status == 502 {
                lost.fetch_add(1, Ordering::SeqCst);
            }
        }));
        sleep_s(0.04);
    }
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }
    ended.join().map_err(|_| "the server did not end")?;
    let mut late = 0;
    for (at, event, id, attempt, _) in fleet.server_events() {
        let after = at as i64 - acknowledged as i64;
        if id == leaving.id && event == "run" && after > DRAIN.as_millis() as i64 {
            record.detail(&format!(
                "{attempt} runs at {id} {after} ms after the acknowledgement"
            ));
            late += 1;
        }
    }
    record.note(&format!(
        "{late} requests ran at {} later than {DRAIN:?} after its departure was acknowledged; {} were cut off by its end (502)",
        leaving.id,
        lost.load(Ordering::SeqCst)
    ));
    Ok(late > 0)
}
/// Case 8, CONFIG: two servers crash at the same moment while both run a lookup of the same path.
pub(crate) fn crashes_refuse_a_shared_path(
    record: &Arc<Record>,
    with_trouble: bool,
) -> Fallible<bool> {
    const SERVERS: usize = 14;
    let mut fleet = Fleet::start(record, 3, 2)?;
    for _ in 0..SERVERS {
        fleet.add_server("stock", 3)?;
    }
    sleep_s(2.0);
    fleet.configure(&document(1, &[SAFE_ROUTE], &["stock"]))?;
    fleet.start_heartbeats();
    fleet.await_service("/orders/first")?;
    let board = Route {
        prefix: "/board/",
        ..SAFE_ROUTE
    };
    fleet.configure(&document(2, &[SAFE_ROUTE, board], &["stock"]))?;
    sleep_s(2.5);

    let ended = Arc::new(AtomicBool::new(false));
    let outcomes: Arc<Outcomes> = Arc::default();
    let mut clients = Vec::new();
    for client in 0..40 {
        let gateway = fleet.gateway(client % 2);
        let (ended, outcomes, record) = (
            Arc::clone(&ended),
            Arc::clone(&outcomes),
            Arc::clone(record),
        );
        clients.push(thread::spawn(move || {
            let mut number = 0;
            while !ended.load(Ordering::SeqCst) {
                number += 1;
                // Four in five clients poll the same page.
                let path = if client % 5 == 4 {
                    format!("/orders/{client}-{number}")
                } else {
                    "/board/today".to_owned()
                };
                let attempt = format!("c{client}-{number}");
                let sent = Instant::now();
                let status = send(gateway, "GET", &path, &attempt, 200, 1_500);
                record.detail(&format!("{attempt} GET {path}: {status}"));
                outcomes.lock().unwrap().push((sent, path, status));
                sleep_s(if status == 200 { 0.02 } else { 0.5 });
            }
        }));
    }
    sleep_s(4.0);
    if with_trouble {
        // A crash may come at any moment and to any server; this one comes to two servers while both
        // run a lookup of the page.
        let end = Instant::now() + Duration::from_secs(5);
        let killed = loop {
            let running = servers_that_run_the_page(&fleet);
            if let [first, .., second] = running.as_slice() {
                break [*first, *second];
            }
            if Instant::now() >= end {
                return Err("no two servers ran the page at the same time".to_owned());
            }
        };
        for position in killed {
            if let Some(process) = fleet.servers[position].1.as_mut() {
                process.kill();
            }
        }
        for position in killed {
            let id = fleet.servers[position].0.id.clone();
            fleet.silence(&id);
            record.note(&format!("server {id} crashed"));
        }
        sleep_s(4.0);
        for position in killed {
            fleet.restart_server(position)?;
        }
        record.note("both servers are back");
    } else {
        sleep_s(4.0);
    }
    sleep_s(8.0);
    record.note("steady state: the next 10 s are counted");
    let from = Instant::now();
    sleep_s(10.0);
    ended.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }
    let count = |prefix: &str| {
        let outcomes = outcomes.lock().unwrap();
        let counted = outcomes
            .iter()
            .filter(|(sent, path, _)| *sent >= from && path.starts_with(prefix));
        let served = counted
            .clone()
            .filter(|(_, _, status)| *status == 200)
            .count();
        (served, counted.count())
    };
    let (orders, board) = (count("/orders/"), count("/board/"));
    record.note(&format!(
        "first route: {} of {} served; route added later: {} of {} served",
        orders.0, orders.1, board.0, board.1
    ));
    if orders.1 < 20 || board.1 < 20 {
        return Err("too few requests".to_owned());
    }
    let share = |(served, sent): (usize, usize)| served as f64 / sent as f64;
    Ok(share(board) < share(orders) / 4.0)
}

/// Positions of the servers that are at work on lookups of the page that clients share.
fn servers_that_run_the_page(fleet: &Fleet) -> Vec<usize> {
    let mut running = BTreeSet::new();
    for (_, event, id, attempt, path) in fleet.server_events() {
        if path == "/board/today" && event == "run" {
            running.insert((id, attempt));
        } else if path == "/board/today" && event != "arrived" {
            running.remove(&(id, attempt));
        }
    }
    // Two at least, since one may end before the crash.
    let runs_two = |id: &str| {
        running
            .iter()
            .filter(|(running_id, _)| running_id == id)
            .count()
            >= 2
    };
    let servers = fleet.servers.iter().enumerate();
    servers
        .filter(|(_, (server, _))| runs_two(&server.id))
        .map(|(position, _)| position)
        .collect()
}

/// Case 9, BUDGET: gateways that are restarted one after the other forget which request crashes
/// servers.
pub(crate) fn restarts_forget_crashes(record: &Arc<Record>, with_trouble: bool) -> Fallible<bool> {
    const GATEWAYS: usize = 4;
    const SERVERS: usize = 10;
    let mut fleet = Fleet::start(record, 3, GATEWAYS)?;
    for _ in 0..SERVERS {
        fleet.add_server("stock", 3)?;
    }
    sleep_s(2.0);
    fleet.configure(&document(1, &[SAFE_ROUTE], &["stock"]))?;
    fleet.start_heartbeats();
    fleet.await_service("/orders/first")?;
    sleep_s(3.5);
    let mut number = 0;
    let mut send_poison = |fleet: &mut Fleet, gateway: usize| -> Fallible<()> {
        number += 1;
        let attempt = format!("p-{number}");
        let status = send(
            fleet.gateway(gateway),
            "GET",
            "/orders/crash",
            &attempt,
            5,
            1_500,
        );
        record.note(&format!(
            "{attempt} GET /orders/crash at gateway {gateway}: {status}"
        ));
        sleep_s(2.0);
        for position in 0..SERVERS {
            let has_ended = match fleet.servers[position].1.as_mut() {
                Some(process) => process.0.try_wait().map_err(text)?.is_some(),
                None => false,
            };
            if has_ended {
                let id = fleet.servers[position].0.id.clone();
                fleet.silence(&id);
                record.note(&format!("server {id} had crashed and is back"));
                fleet.restart_server(position)?;
            }
        }
        Ok(())
    };
    send_poison(&mut fleet, 0)?;
    for gateway in 0..GATEWAYS {
        if with_trouble {
            if let Some(mut process) = fleet.gateways[gateway].take() {
                process.signal("TERM")?;
                let stopped = Instant::now();
                while process.0.try_wait().map_err(text)?.is_none() {
                    if stopped.elapsed() > Duration::from_secs(6) {
                        process.kill();
                    }
                    thread::sleep(Duration::from_millis(20));
                }
                record.note(&format!("gateway {gateway} stopped after SIGTERM"));
            }
            fleet.gateways[gateway] = Some(fleet.start_gateway(gateway)?);
        }
        // In touch again a contact window after its start.
        thread::sleep(CONTACT_WINDOW + Duration::from_millis(700));
        send_poison(&mut fleet, gateway)?;
    }
    let runs: Vec<(u64, String, String)> = fleet
        .server_events()
        .into_iter()
        .filter(|(_, event, _, _, path)| event == "run" && path == "/orders/crash")
        .map(|(at, _, id, attempt, _)| (at, id, attempt))
        .collect();
    for (position, (at, id, attempt)) in runs.iter().enumerate() {
        record.note(&format!(
            "crash {}: {attempt} on {id}, {} ms after the first",
            position + 1,
            at - runs[0].0
        ));
    }
    let window = CONTACT_WINDOW.as_millis() as u64;
    let late = match runs.get(2) {
        Some((third, ..)) => runs.iter().filter(|(at, ..)| *at > third + window).count(),
        None => 0,
    };
    record.note(&format!(
        "{late} arrivals later than {window} ms after the third crash (bound 3)"
    ));
    Ok(late > 3)
}

/// Case 10, GONE: a client that has sent many lookups ahead leaves, and its lookups go on.
pub(crate) fn departed_client_keeps_its_lookups(
    record: &Arc<Record>,
    with_trouble: bool,
) -> Fallible<bool> {
    const SENT_AHEAD: usize = 20;
    const CLIENTS: usize = 4;
    const WORK_MS: i64 = 1_200;
    let mut fleet = Fleet::start(record, 3, 1)?;
    for _ in 0..4 {
        fleet.add_server("stock", 3)?;
    }
    sleep_s(2.0);
    let lookups = Route {
        target_latency: "5s",
        timeout: "6s",
        ..SAFE_ROUTE
    };
    fleet.configure(&document(1, &[lookups], &["stock"]))?;
    fleet.start_heartbeats();
    fleet.await_service("/orders/first")?;
    sleep_s(4.0);
    let mut closed = Vec::new();
    for client in 0..CLIENTS {
        let mut stream = TcpStream::connect(fleet.gateway(0)).map_err(text)?;
        let mut bytes = String::new();
        for number in 0..SENT_AHEAD {
            bytes += &format!(
                "GET /orders/{client}-{number} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: g{client}-{number}\r\nDeadline-Ms: 6000\r\nWork-Ms: {WORK_MS}\r\n\r\n"
            );
        }
        stream.write_all(bytes.as_bytes()).map_err(text)?;
        sleep_s(0.3);
        if with_trouble {
            drop(stream);
            record.note(&format!(
                "client {client} sent {SENT_AHEAD} lookups and left"
            ));
            closed.push(unix_millis());
        } else {
            let mut reader = BufReader::new(stream);
            for _ in 0..SENT_AHEAD {
                Message::read(&mut reader).map_err(text)?;
            }
            record.note(&format!("client {client} got {SENT_AHEAD} answers"));
            closed.push(unix_millis());
        }
        sleep_s(6.0);
    }
    let client_of = |attempt: &str| -> Option<usize> {
        let (client, _) = attempt.strip_prefix('g')?.split_once('-')?;
        client.parse().ok()
    };
    let (mut late, mut lasting, mut still_at_work) = (0, 0, 0);
    let events = fleet.server_events();
    for (at, event, id, attempt, _) in &events {
        let Some(client) = client_of(attempt) else {
            continue;
        };
        let after = *at as i64 - closed[client] as i64;
        record.detail(&format!(
            "{attempt} {event} at {id}, {after} ms after the client left"
        ));
        if event == "arrived" && after > 500 {
            late += 1;
        }
        if event == "run" && after <= 0 && after + WORK_MS > 500 {
            lasting += 1;
            let ends = events.iter().find(|(_, end, _, other, _)| {
                other == attempt && (end == "answered" || end == "cancelled")
            });
            let ended_after = ends.map(|(at, ..)| *at as i64 - closed[client] as i64);
            if ended_after.is_none_or(|after| after > 500) {
                still_at_work += 1;
            }
        }
    }
    record.note(&format!(
        "{late} requests reached a server over 0.5 s after their client had left; of {lasting} that would have lasted so long, servers were still at work on {still_at_work}"
    ));
    Ok(late > 10 || still_at_work * 4 > lasting)
}
