//! Tests of the QUIC transport over loopback.

mod fleet;

use std::net::UdpSocket;
use std::sync::Arc;

use async_channel::Sender;
use async_std::task;
use auburnbridge_peer::keys::KeyRing;
use auburnbridge_peer::{
    Delivery, Event, Observer, Options, PeerAddress, PeerError, PeerServer, PeerTransport,
    Transport,
};
use auburnbridge_types::{ByteSize, Clock, Millis};
use fleet::relay::{Direction, Relay};
use fleet::{DAY, Fleet, LONG, Recorder, address, loopback, rebind};
use futures_lite::future;

/// Guards against a lost or altered reply, and against a server that doesn't know the caller.
#[async_std::test]
async fn call_gets_its_reply() {
    let fleet = Fleet::new();
    let (recorder, seen) = Recorder::new();
    let keys = fleet.keys("authority", "b");
    let server = PeerServer::bind(loopback(), keys, recorder, fleet.options()).unwrap();
    let transport = fleet.transport(fleet.keys("authority", "a:1_A"));
    let to = address("b", &server);
    for body in ["one", "", "three"] {
        let reply = transport.call(&to, body.into(), LONG).await;
        assert_eq!(reply, Ok(body.as_bytes().to_vec()));
        assert_eq!(seen.recv().await.unwrap(), format!("a:1_A (entry): {body}"));
    }
}

/// Guards against accepting a certificate of another authority, of another VM or that has expired,
/// on either side of a call, and against an error that leaves the delivery of the call unknown.
#[async_std::test]
async fn unacceptable_certificates_are_refused() {
    let fleet = Fleet::new();
    fleet.add_authority("other");
    let good = |vm| fleet.keys("authority", vm);
    let cases = [
        (
            "client of another authority",
            "rejected",
            fleet.keys("other", "s1"),
            good("b1"),
        ),
        (
            "server of another authority",
            "rejected",
            good("a2"),
            fleet.keys("other", "b2"),
        ),
        ("wrong VM", "wrong-peer", good("a3"), good("c3")),
        (
            "expired client",
            "rejected",
            fleet.expired_keys("a4"),
            good("b4"),
        ),
        (
            "expired server",
            "rejected",
            good("a5"),
            fleet.expired_keys("b5"),
        ),
    ];
    for (case, expected, client_keys, server_keys) in cases {
        let (recorder, seen) = Recorder::new();
        let name = server_keys.current().identity().vm.to_string();
        let server = PeerServer::bind(loopback(), server_keys, recorder, fleet.options()).unwrap();
        let to = address(&name.replace('c', "b"), &server);
        let transport = fleet.transport(client_keys);
        let error = transport.call(&to, b"x".into(), LONG).await.unwrap_err();
        assert_eq!(<&str>::from(&error), expected, "{case}: {error}");
        assert_eq!(error.delivery(), Delivery::NotReceived, "{case}");
        assert!(seen.is_empty(), "{case}: the handler was called");
    }
}

/// Guards against bodies that exhaust memory, and against errors that state a wrong delivery.
#[async_std::test]
async fn bodies_over_the_limit_are_refused() {
    let fleet = Fleet::new();
    let limited = |limit| {
        let clock = Arc::new(fleet.clock.clone());
        Options::builder()
            .clock(clock)
            .message_limit(ByteSize(limit))
            .build()
    };
    let cases: [(&str, u64, u64, Vec<u8>, Delivery); 4] = [
        (
            "call over the limit of the client",
            99,
            9_999,
            vec![b'x'; 100],
            Delivery::NotReceived,
        ),
        (
            "call over the limit of the server",
            9_999,
            99,
            vec![b'x'; 100],
            Delivery::NotReceived,
        ),
        (
            "reply over the limit of the client",
            99,
            99_999,
            b"big".into(),
            Delivery::Received,
        ),
        (
            "reply over the limit of the server",
            99_999,
            99,
            b"big".into(),
            Delivery::Received,
        ),
    ];
    let (client_keys, server_keys) = (fleet.keys("authority", "a"), fleet.keys("authority", "b"));
    for (case, client_limit, server_limit, body, delivery) in cases {
        let (recorder, seen) = Recorder::new();
        let keys = Arc::clone(&server_keys);
        let server = PeerServer::bind(loopback(), keys, recorder, limited(server_limit)).unwrap();
        let transport = PeerTransport::new(Arc::clone(&client_keys), limited(client_limit));
        let to = address("b", &server);
        let error = transport.call(&to, body, LONG).await.unwrap_err();
        assert_eq!(error.delivery(), delivery, "{case}: {error}");
        assert_eq!(
            seen.len(),
            usize::from(delivery == Delivery::Received),
            "{case}"
        );
    }
}

/// Guards against reporting a missing reply as an empty one.
#[async_std::test]
async fn missing_reply_is_an_error() {
    let fleet = Fleet::new();
    let (recorder, _seen) = Recorder::new();
    let keys = fleet.keys("authority", "b");
    let server = PeerServer::bind(loopback(), keys, recorder, fleet.options()).unwrap();
    let transport = fleet.transport(fleet.keys("authority", "a"));
    let reply = transport
        .call(&address("b", &server), b"none".into(), LONG)
        .await;
    assert_eq!(reply, Err(PeerError::NoReply));
}

/// Guards against a client that keeps using a dead connection after its peer has restarted.
#[async_std::test]
async fn reconnects_after_a_restart_of_the_server() {
    let fleet = Fleet::new();
    let (recorder, _seen) = Recorder::new();
    let keys = fleet.keys("authority", "b");
    let bind = |address| {
        rebind(
            address,
            Arc::clone(&keys),
            recorder.clone(),
            fleet.options(),
        )
    };
    let server = bind(loopback()).await;
    let to = address("b", &server);
    let transport = fleet.transport(fleet.keys("authority", "a"));
    transport.call(&to, b"before".into(), LONG).await.unwrap();
    server.close().await;
    let _server = bind(to.address).await;
    // A call may still use the old connection until the client has processed its close.
    while let Err(error) = transport.call(&to, b"after".into(), LONG).await {
        assert_eq!(error.delivery(), Delivery::Unknown, "{error}");
    }
}

/// Guards against connecting again for each call after a failure: during the backoff, a call fails
/// immediately.
#[async_std::test]
async fn call_fails_immediately_during_the_backoff() {
    let fleet = Fleet::new();
    let (recorder, seen) = Recorder::new();
    let server = PeerServer::bind(
        loopback(),
        fleet.keys("authority", "impostor"),
        recorder.clone(),
        fleet.options(),
    )
    .unwrap();
    let to = address("b", &server);
    let transport = fleet.transport(fleet.keys("authority", "a"));
    let wrong_vm = transport.call(&to, b"x".into(), LONG).await.unwrap_err();
    server.close().await;
    let keys = fleet.keys("authority", "b");
    let _server = rebind(to.address, keys, recorder, fleet.options()).await;
    fleet.clock.advance(Millis(49));
    assert_eq!(transport.call(&to, b"x".into(), LONG).await, Err(wrong_vm));
    transport.send(&to, b"dropped".into());
    fleet.clock.advance(Millis(1));
    assert_eq!(
        transport.call(&to, b"x".into(), LONG).await,
        Ok(b"x".into())
    );
    assert_eq!(seen.len(), 1);
}

/// Guards against a call that outlives its timeout, and against an error that states a wrong
/// delivery: a call to an unresponsive address was not received, a slow handler may have its call.
#[async_std::test]
async fn timeout_error_states_whether_the_call_was_sent() {
    let fleet = Fleet::new();
    let (recorder, seen) = Recorder::new();
    let keys = fleet.keys("authority", "b");
    let server = PeerServer::bind(loopback(), keys, recorder, fleet.options()).unwrap();
    let transport = fleet.transport(fleet.keys("authority", "a"));

    let unresponsive = UdpSocket::bind(loopback()).unwrap();
    let to_unresponsive = PeerAddress {
        vm: "b".parse().unwrap(),
        address: unresponsive.local_addr().unwrap(),
    };
    let mut call = transport.call(&to_unresponsive, b"x".into(), Millis(100));
    assert!(future::poll_once(&mut call).await.is_none());
    fleet.clock.advance(Millis(100));
    assert_eq!(call.await.unwrap_err().delivery(), Delivery::NotReceived);

    let to = address("b", &server);
    let call = transport.call(&to, b"wait".into(), Millis(100));
    let (reply, ()) = future::zip(call, async {
        seen.recv().await.unwrap();
        fleet.clock.advance(Millis(100));
    })
    .await;
    assert_eq!(reply, Err(PeerError::TimedOut));
}

/// Guards against heartbeats that are delayed by a slow call, and against reordered messages.
#[async_std::test]
async fn one_way_messages_overtake_a_slow_call_in_order() {
    let fleet = Fleet::new();
    let (recorder, seen) = Recorder::new();
    let keys = fleet.keys("authority", "b");
    let server = PeerServer::bind(loopback(), keys, recorder, fleet.options()).unwrap();
    let transport = fleet.transport(fleet.keys("authority", "a"));
    let to = address("b", &server);
    let slow = transport.call(&to, b"wait".into(), LONG);
    let (reply, ()) = future::zip(slow, async {
        assert_eq!(seen.recv().await.unwrap(), "a (entry): wait");
        let bodies: Vec<String> = (0..100).map(|number| number.to_string()).collect();
        for body in &bodies {
            transport.send(&to, body.clone().into_bytes());
        }
        transport.send(&to, b"release".into());
        for body in &bodies {
            assert_eq!(seen.recv().await.unwrap(), format!("a (entry): {body}"));
        }
    })
    .await;
    assert_eq!(reply, Ok(b"wait".into()));
}

/// Guards against a connection that stays open after its certificate has expired or its authority
/// is no longer trusted, and against replaced keys that only take effect after a restart.
#[async_std::test]
async fn replaced_keys_take_effect_without_a_restart() {
    let fleet = Fleet::new();
    fleet.add_authority("new");
    let (recorder, seen) = Recorder::new();
    let server_keys = fleet.keys("authority", "b");
    let client_keys = fleet.keys("authority", "a");
    let keys = Arc::clone(&server_keys);
    let server = PeerServer::bind(loopback(), keys, recorder, fleet.options()).unwrap();
    let to = address("b", &server);
    let transport = fleet.transport(Arc::clone(&client_keys));
    let reload = |vm, keys: &KeyRing| {
        fleet.issue("new", vm, fleet.valid());
        keys.reload(fleet.clock.now()).unwrap();
    };
    assert!(transport.call(&to, b"1".into(), LONG).await.is_ok());

    reload("b", &server_keys);
    // The first call finds the connection closed; the second one fails in the handshake.
    for _ in 0..2 {
        assert!(transport.call(&to, b"2".into(), LONG).await.is_err());
    }
    reload("a", &client_keys);
    assert_eq!(
        transport.call(&to, b"3".into(), LONG).await,
        Ok(b"3".into())
    );

    fleet.clock.advance(DAY);
    fleet.clock.advance(Millis(1_000));
    assert!(transport.call(&to, b"4".into(), LONG).await.is_err());
    let bodies: Vec<String> = std::iter::from_fn(|| seen.try_recv().ok()).collect();
    assert_eq!(bodies, ["a (entry): 1", "a (entry): 3"]);
}

/// Guards against calls that hang on a closed transport.
#[async_std::test]
async fn closed_transport_refuses_calls() {
    let fleet = Fleet::new();
    let (recorder, _seen) = Recorder::new();
    let keys = fleet.keys("authority", "b");
    let server = PeerServer::bind(loopback(), keys, recorder, fleet.options()).unwrap();
    let transport = fleet.transport(fleet.keys("authority", "a"));
    let to = address("b", &server);
    transport.call(&to, b"x".into(), LONG).await.unwrap();
    transport.close().await;
    task::yield_now().await;
    let reply = transport.call(&to, b"x".into(), LONG).await;
    assert_eq!(reply, Err(PeerError::Closed));
}

/// Guards against a graceful stop that interrupts a running call, or that leaves it unknown whether
/// a refused call was handled.
#[async_std::test]
async fn stopping_server_answers_running_calls_only() {
    let fleet = Fleet::new();
    let (recorder, seen) = Recorder::new();
    let keys = fleet.keys("authority", "b");
    let server = PeerServer::bind(loopback(), keys, recorder, fleet.options()).unwrap();
    let transport = fleet.transport(fleet.keys("authority", "a"));
    let to = address("b", &server);
    let running = transport.call(&to, b"wait".into(), LONG);
    let (reply, (all_answered, ())) = future::zip(running, async {
        seen.recv().await.unwrap();
        future::zip(server.stop(LONG), async {
            let late = transport.call(&to, b"late".into(), LONG).await.unwrap_err();
            assert_eq!(late, PeerError::Stopping);
            assert_eq!(late.delivery(), Delivery::NotReceived);
            transport.send(&to, b"release".into());
        })
        .await
    })
    .await;
    assert_eq!(reply, Ok(b"wait".into()));
    assert!(all_answered);
}

/// Guards against a stop that waits forever for a stuck call.
#[async_std::test]
async fn stop_does_not_exceed_its_limit() {
    let fleet = Fleet::new();
    let (recorder, seen) = Recorder::new();
    let keys = fleet.keys("authority", "b");
    let server = PeerServer::bind(loopback(), keys, recorder, fleet.options()).unwrap();
    let transport = fleet.transport(fleet.keys("authority", "a"));
    let to = address("b", &server);
    let stuck_call = transport.call(&to, b"wait".into(), LONG);
    let (reply, all_answered) = future::zip(stuck_call, async {
        seen.recv().await.unwrap();
        let (all_answered, ()) = future::zip(server.stop(Millis(100)), async {
            fleet.clock.advance(Millis(100));
        })
        .await;
        all_answered
    })
    .await;
    assert!(!all_answered);
    assert_eq!(reply.unwrap_err().delivery(), Delivery::Unknown);
}

/// Guards against a call that hangs when packets are lost in one direction only. The clock of the
/// call's timeout is paused, so only the idle timeout of the connection can end the call.
#[async_std::test]
async fn link_blocked_in_one_direction_is_detected() {
    let check_direction = |direction| async move {
        let fleet = Fleet::new();
        let (recorder, _seen) = Recorder::new();
        let keys = fleet.keys("authority", "b");
        let server = PeerServer::bind(loopback(), keys, recorder, fleet.options()).unwrap();
        let relay = Relay::start(server.address()).await;
        let to = PeerAddress {
            vm: "b".parse().unwrap(),
            address: relay.address,
        };
        let transport = fleet.transport(fleet.keys("authority", "a"));
        assert!(transport.call(&to, b"before".into(), LONG).await.is_ok());
        relay.set_blocked(direction, true);
        let error = transport.call(&to, b"lost".into(), LONG).await.unwrap_err();
        assert_eq!(
            error.delivery(),
            Delivery::Unknown,
            "{direction:?}: {error}"
        );
        relay.set_blocked(direction, false);
        let reply = transport.call(&to, b"after".into(), LONG).await;
        assert_eq!(reply, Ok(b"after".into()), "{direction:?}");
    };
    future::zip(
        check_direction(Direction::ToServer),
        check_direction(Direction::ToClient),
    )
    .await;
}

struct EventCounts(Sender<String>);

impl Observer for EventCounts {
    fn observe(&self, event: &Event<'_>) {
        self.0
            .try_send(format!("{} {}", event.name(), event.count()))
            .unwrap();
    }
}

/// Guards against missing or miscounted events, on which the metrics rely.
#[async_std::test]
async fn events_are_observed() {
    let fleet = Fleet::new();
    let (recorder, seen) = Recorder::new();
    let (counts, observed) = async_channel::unbounded();
    let options = Options::builder()
        .clock(Arc::new(fleet.clock.clone()))
        .observer(Arc::new(EventCounts(counts)))
        .message_limit(ByteSize(100))
        .build();
    let keys = fleet.keys("authority", "b");
    let server = PeerServer::bind(loopback(), keys, recorder, fleet.options()).unwrap();
    let transport = PeerTransport::new(fleet.keys("authority", "a"), options);
    let to = address("b", &server);
    let wrong_vm = PeerAddress {
        vm: "c".parse().unwrap(),
        ..to.clone()
    };
    transport.call(&to, b"x".into(), LONG).await.unwrap();
    transport.call(&to, b"none".into(), LONG).await.unwrap_err();
    transport
        .call(&wrong_vm, b"x".into(), LONG)
        .await
        .unwrap_err();
    transport.send(&wrong_vm, b"x".into());
    transport.send(&to, vec![0; 101]);
    let events: Vec<String> = std::iter::from_fn(|| observed.try_recv().ok()).collect();
    let expected = [
        "connected 1",
        "call_ended 1",
        "call_ended 1",
        "connect_failed 1",
        "call_ended 1",
        "messages_dropped 1",
        "messages_dropped 1",
    ];
    assert_eq!(events, expected);
    assert_eq!(seen.len(), 2);
}

/// Guards against a client that exceeds the limit of concurrent calls or of connections, and
/// against calls that wait for a stream beyond their timeout.
#[async_std::test]
async fn calls_and_connections_are_limited() {
    let fleet = Fleet::new();
    let (recorder, seen) = Recorder::new();
    let options = Options::builder()
        .clock(Arc::new(fleet.clock.clone()))
        .concurrent_calls(1)
        .connection_limit(2)
        .build();
    let keys = fleet.keys("authority", "b");
    let server = PeerServer::bind(loopback(), keys, recorder, options).unwrap();
    let to = address("b", &server);
    let first = fleet.transport(fleet.keys("authority", "a"));
    // The second client must first prove its address, and the third one is over the limit.
    let second = fleet.transport(fleet.keys("authority", "c"));
    let third = fleet.transport(fleet.keys("authority", "d"));
    let running = first.call(&to, b"wait".into(), LONG);
    let (reply, ()) = future::zip(running, async {
        seen.recv().await.unwrap();
        let mut waiting = first.call(&to, b"x".into(), Millis(100));
        assert!(future::poll_once(&mut waiting).await.is_none());
        fleet.clock.advance(Millis(100));
        assert_eq!(waiting.await, Err(PeerError::Busy));
        assert!(second.call(&to, b"x".into(), LONG).await.is_ok());
        let error = third.call(&to, b"x".into(), LONG).await.unwrap_err();
        assert_eq!(<&str>::from(&error), "unreachable", "{error}");
        first.send(&to, b"release".into());
    })
    .await;
    assert_eq!(reply, Ok(b"wait".into()));
}

/// Guards against calls that together exceed the memory limit of a server, and against memory that
/// is not released after a call.
#[async_std::test]
async fn received_calls_share_a_memory_limit() {
    let fleet = Fleet::new();
    let (recorder, seen) = Recorder::new();
    let options = Options::builder()
        .clock(Arc::new(fleet.clock.clone()))
        .call_memory_limit(ByteSize(100))
        .build();
    let keys = fleet.keys("authority", "b");
    let server = PeerServer::bind(loopback(), keys, recorder, options).unwrap();
    let to = address("b", &server);
    let transport = fleet.transport(fleet.keys("authority", "a"));
    let running = transport.call(&to, b"wait".into(), LONG);
    let (reply, ()) = future::zip(running, async {
        seen.recv().await.unwrap();
        let over = transport.call(&to, vec![b'x'; 97], LONG).await.unwrap_err();
        assert_eq!(over, PeerError::Overloaded);
        assert_eq!(over.delivery(), Delivery::NotReceived);
        for _ in 0..3 {
            assert!(transport.call(&to, vec![b'x'; 96], LONG).await.is_ok());
        }
        transport.send(&to, b"release".into());
    })
    .await;
    assert_eq!(reply, Ok(b"wait".into()));
}
