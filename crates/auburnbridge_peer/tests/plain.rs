//! Tests of the plain transport: matching of replies to calls, order of messages, and unresponsive
//! connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_std::io::{ReadExt, WriteExt};
use async_std::net::TcpListener;
use async_std::task::{self, block_on};
use auburnbridge_peer::plain::{PlainServer, PlainTransport};
use auburnbridge_peer::{Handler, Options, PeerAddress, PeerError, PeerIdentity, Role, Transport};
use auburnbridge_types::{BoxFuture, ByteSize, Millis};
use futures_lite::future::zip;
use parking_lot::Mutex;

/// Replies with the body, to `slow` after 300 ms. Gives no reply to `nothing` and to bodies that
/// start with `m`, and records the latter.
#[derive(Default)]
struct Echo {
    messages: Mutex<Vec<(PeerIdentity, Vec<u8>)>>,
}

impl Handler for Echo {
    fn handle(&self, from: &PeerIdentity, body: Vec<u8>) -> BoxFuture<'_, Option<Vec<u8>>> {
        let from = from.clone();
        Box::pin(async move {
            match body.as_slice() {
                b"nothing" => None,
                b"slow" => {
                    task::sleep(Duration::from_millis(300)).await;
                    Some(body)
                }
                [b'm', ..] => {
                    self.messages.lock().push((from, body));
                    None
                }
                _ => Some(body),
            }
        })
    }
}

fn identity() -> PeerIdentity {
    PeerIdentity {
        vm: "10.0.0.1".parse().unwrap(),
        role: Role::Keeper,
    }
}

fn options() -> Options {
    Options::builder()
        .connect_timeout(Millis(200))
        .initial_backoff(Millis(10))
        .max_backoff(Millis(20))
        .message_limit(ByteSize(1_000))
        .build()
}

async fn start() -> (PlainServer, Arc<Echo>, PlainTransport, PeerAddress) {
    let echo = Arc::new(Echo::default());
    let handler = Arc::clone(&echo) as Arc<dyn Handler>;
    let local: SocketAddr = "127.0.0.1:0".parse().unwrap();
    let server = PlainServer::bind(local, handler, options()).await.unwrap();
    let to = PeerAddress {
        vm: "10.0.0.2".parse().unwrap(),
        address: server.address(),
    };
    let transport = PlainTransport::new(identity(), options());
    (server, echo, transport, to)
}

/// Guards against a slow call that delays others, and against replies that reach the wrong call.
#[test]
fn replies_belong_to_their_calls() {
    block_on(async {
        let (_server, _echo, transport, to) = start().await;
        let transport = Arc::new(transport);
        let slow = {
            let (transport, to) = (Arc::clone(&transport), to.clone());
            task::spawn(async move { transport.call(&to, b"slow".to_vec(), Millis(2_000)).await })
        };
        for number in 0..50_u8 {
            let body = vec![b'c', number];
            let reply = transport.call(&to, body.clone(), Millis(1_000)).await;
            assert_eq!(reply, Ok(body));
        }
        assert_eq!(slow.await, Ok(b"slow".to_vec()));
        let none = transport
            .call(&to, b"nothing".to_vec(), Millis(1_000))
            .await;
        assert_eq!(none, Err(PeerError::NoReply));
        let timed_out = transport.call(&to, b"slow".to_vec(), Millis(20)).await;
        assert_eq!(timed_out, Err(PeerError::TimedOut));
    });
}

/// Guards against reordered one-way messages, and against a server that doesn't know the sender.
#[test]
fn messages_keep_their_order() {
    block_on(async {
        let (_server, echo, transport, to) = start().await;
        for number in 0..100_u8 {
            transport.send(&to, vec![b'm', number]);
        }
        // The reply to a call shows that the messages before it were handled.
        transport
            .call(&to, b"c".to_vec(), Millis(1_000))
            .await
            .unwrap();
        let messages = echo.messages.lock();
        assert_eq!(messages.len(), 100);
        for (number, (from, body)) in messages.iter().enumerate() {
            assert_eq!(*from, identity());
            assert_eq!(body[1] as usize, number);
        }
    });
}

/// Guards against sending a body that the server would refuse only after reading it.
#[test]
fn long_body_is_refused_before_it_is_sent() {
    block_on(async {
        let (_server, _echo, transport, to) = start().await;
        let long = transport.call(&to, vec![b'c'; 1_001], Millis(1_000)).await;
        let size = ByteSize(1_001);
        assert_eq!(long, Err(PeerError::TooLarge { size }));
    });
}

/// Guards against a call that hangs although nothing listens, and against a link that doesn't
/// recover after the server is back.
#[test]
fn refused_connection_fails_fast_and_recovers() {
    block_on(async {
        let (server, echo, transport, to) = start().await;
        server.close().await;
        let call = transport.call(&to, b"c".to_vec(), Millis(1_000)).await;
        assert!(
            matches!(call, Err(PeerError::Unreachable { .. })),
            "{call:?}"
        );
        let handler = Arc::clone(&echo) as Arc<dyn Handler>;
        let _server = PlainServer::bind(to.address, handler, options())
            .await
            .unwrap();
        task::sleep(Duration::from_millis(50)).await;
        let call = transport.call(&to, b"c".to_vec(), Millis(1_000)).await;
        assert_eq!(call, Ok(b"c".to_vec()));
    });
}

/// Guards against a part of a reply that is taken for the whole one because the connection ended.
#[test]
fn reply_that_breaks_off_is_no_reply() {
    // Length of what follows, kind of a reply, number of the first call, body.
    const REPLY: &[u8] = b"\0\0\0\x0d\x03\0\0\0\0\0\0\0\x01body";
    block_on(async {
        for cut in 0..=REPLY.len() {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let to = PeerAddress {
                vm: "10.0.0.2".parse().unwrap(),
                address: listener.local_addr().unwrap(),
            };
            let transport = PlainTransport::new(identity(), options());
            let server = async {
                let (mut stream, _) = listener.accept().await.unwrap();
                stream.write_all(&REPLY[..cut]).await.unwrap();
            };
            let call = transport.call(&to, b"c".to_vec(), Millis(2_000));
            let (reply, ()) = zip(call, server).await;
            if cut == REPLY.len() {
                assert_eq!(reply, Ok(b"body".to_vec()));
            } else {
                let is_lost = matches!(reply, Err(PeerError::ConnectionLost { .. }));
                assert!(is_lost, "cut at {cut}: {reply:?}");
            }
        }
    });
}

/// Guards against keeping an open connection whose peer no longer answers.
#[test]
fn silent_connection_is_replaced() {
    block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let to = PeerAddress {
            vm: "10.0.0.2".parse().unwrap(),
            address: listener.local_addr().unwrap(),
        };
        let transport = Arc::new(PlainTransport::new(identity(), options()));
        let caller = {
            let transport = Arc::clone(&transport);
            task::spawn(async move {
                for _ in 0..30 {
                    let _ = transport.call(&to, b"c".to_vec(), Millis(100)).await;
                }
            })
        };
        let (mut first, _) = listener.accept().await.unwrap();
        // Reads all frames and never answers.
        let reader = task::spawn(async move {
            let mut buf = [0; 256];
            while let Ok(1..) = first.read(&mut buf).await {}
        });
        let second = async_std::future::timeout(Duration::from_secs(4), listener.accept()).await;
        assert!(
            second.is_ok(),
            "the unresponsive connection was not replaced"
        );
        caller.cancel().await;
        reader.cancel().await;
    });
}
