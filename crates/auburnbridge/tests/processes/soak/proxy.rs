//! A loopback proxy before one target, whose link can be harmed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_std::io::{ReadExt, WriteExt};
use async_std::net::TcpStream;
use async_std::task;
use futures_lite::FutureExt;
use parking_lot::Mutex;

use crate::platform_fleet::accept_each;

const SLOW: Duration = Duration::from_millis(150);
/// Interval at which held bytes look whether the link is open again.
const HOLD: Duration = Duration::from_millis(20);

/// State of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Link {
    Open,
    /// Each piece of bytes is late.
    Slow,
    /// No bytes pass.
    Silent,
    /// Requests pass and answers don't.
    NoAnswers,
    /// A connection that carries bytes is closed.
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
    let requests = copy(caller.clone(), target.clone(), &link, Direction::Request);
    let answers = copy(target, caller, &link, Direction::Answer);
    // Either end closes both.
    requests.or(answers).await;
}

async fn copy(mut from: TcpStream, mut to: TcpStream, link: &Mutex<Link>, direction: Direction) {
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
                Link::Silent => task::sleep(HOLD).await,
                Link::NoAnswers if direction == Direction::Answer => task::sleep(HOLD).await,
                Link::Reset => return,
                Link::Slow => {
                    task::sleep(SLOW).await;
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
