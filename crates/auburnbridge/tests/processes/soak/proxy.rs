//! Loopback proxy in front of one target that injects faults into its connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_std::io::{ReadExt, WriteExt};
use async_std::net::TcpStream;
use async_std::task;
use futures_lite::FutureExt;
use parking_lot::Mutex;

use crate::platform_fleet::accept_each;

const SLOW_DELAY: Duration = Duration::from_millis(150);
/// Interval at which the state of a link that holds bytes back is checked.
const HOLD_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// State of the connections to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Link {
    Open,
    /// Each chunk of bytes is delayed.
    Slow,
    /// No bytes are forwarded.
    Silent,
    /// Requests are forwarded, answers are not.
    NoAnswers,
    /// A connection is closed when bytes arrive.
    Reset,
    /// New connections are closed at once.
    Refused,
}

#[derive(Clone, Copy, PartialEq)]
enum Direction {
    Request,
    Answer,
}

pub struct Proxy {
    pub address: SocketAddr,
    link: Arc<Mutex<Link>>,
}

impl Proxy {
    pub fn start(target: SocketAddr) -> Self {
        let link = Arc::new(Mutex::new(Link::Open));
        let shared = Arc::clone(&link);
        let address = accept_each(move |caller| relay(caller, target, Arc::clone(&shared)));
        Self { address, link }
    }

    pub fn set(&self, link: Link) {
        *self.link.lock() = link;
    }
}

async fn relay(caller: TcpStream, target: SocketAddr, link: Arc<Mutex<Link>>) {
    if *link.lock() == Link::Refused {
        return;
    }
    let Ok(target) = TcpStream::connect(target).await else {
        return;
    };
    let requests = forward(caller.clone(), target.clone(), &link, Direction::Request);
    let answers = forward(target, caller, &link, Direction::Answer);
    // The first direction that ends closes both connections.
    requests.or(answers).await;
}

async fn forward(mut from: TcpStream, mut to: TcpStream, link: &Mutex<Link>, direction: Direction) {
    let mut buf = vec![0; 4_096];
    loop {
        let Ok(length) = from.read(&mut buf).await else {
            return;
        };
        if length == 0 {
            return;
        }
        loop {
            let state = *link.lock();
            match state {
                Link::Silent => task::sleep(HOLD_POLL_INTERVAL).await,
                Link::NoAnswers if direction == Direction::Answer => {
                    task::sleep(HOLD_POLL_INTERVAL).await;
                }
                Link::Reset => return,
                Link::Slow => {
                    task::sleep(SLOW_DELAY).await;
                    break;
                }
                Link::Open | Link::NoAnswers | Link::Refused => break,
            }
        }
        if to.write_all(&buf[..length]).await.is_err() {
            return;
        }
    }
}
