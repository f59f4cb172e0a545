//! Measures calls with 200-byte bodies on loopback: the round-trip time of single calls, and the
//! calls per second with 64 in flight.
//!
//! Run it with `cargo run --release -p auburnbridge_peer --example round_trip`.

use std::error::Error;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::task;
use auburnbridge_peer::keys::{KeyRing, Validity, create_authority, issue};
use auburnbridge_peer::{
    Handler, Options, PeerAddress, PeerError, PeerIdentity, PeerServer, PeerTransport, Role,
    Transport,
};
use auburnbridge_types::{BoxFuture, Clock, Millis, RuntimeClock};
use hdrhistogram::Histogram;

const BODY_BYTES: usize = 200;
const WARM_UP_CALLS: usize = 1_000;
const MEASURED_CALLS: usize = 20_000;
const IN_FLIGHT: usize = 64;
const CALLS_PER_TASK: usize = 3_000;
const TIMEOUT: Millis = Millis(5_000);
const HOUR: Millis = Millis(60 * 60 * 1_000);

struct Echo;

impl Handler for Echo {
    fn handle(&self, _from: &PeerIdentity, body: Vec<u8>) -> BoxFuture<'_, Option<Vec<u8>>> {
        Box::pin(async move { Some(body) })
    }
}

#[async_std::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let folder = tempfile::tempdir()?;
    let validity = Validity::starting_at(RuntimeClock.now(), HOUR);
    create_authority(&folder.path().join("authority"), validity)?;
    let keys = |vm: &str| -> Result<Arc<KeyRing>, Box<dyn Error>> {
        let identity = PeerIdentity {
            vm: vm.parse()?,
            role: Role::Entry,
        };
        let process = folder.path().join(vm);
        issue(
            &folder.path().join("authority"),
            &process,
            &identity,
            validity,
        )?;
        Ok(KeyRing::load(&process, RuntimeClock.now())?)
    };
    let local = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = PeerServer::bind(local, keys("server")?, Arc::new(Echo), Options::default())?;
    let to = PeerAddress {
        vm: "server".parse()?,
        address: server.address(),
    };
    let transport = Arc::new(PeerTransport::new(keys("client")?, Options::default()));
    measure_round_trip(&transport, &to).await?;
    measure_rate(&transport, &to).await?;
    server.close().await;
    Ok(())
}

async fn measure_round_trip(
    transport: &PeerTransport,
    to: &PeerAddress,
) -> Result<(), Box<dyn Error>> {
    let mut micros = Histogram::<u64>::new(3)?;
    for call in 0..WARM_UP_CALLS + MEASURED_CALLS {
        let start = Instant::now();
        transport.call(to, vec![7; BODY_BYTES], TIMEOUT).await?;
        if call >= WARM_UP_CALLS {
            micros.record(as_micros(start.elapsed()))?;
        }
    }
    println!(
        "one call in flight: p50 {} us, p99 {} us over {MEASURED_CALLS} calls",
        micros.value_at_quantile(0.5),
        micros.value_at_quantile(0.99)
    );
    Ok(())
}

async fn measure_rate(
    transport: &Arc<PeerTransport>,
    to: &PeerAddress,
) -> Result<(), Box<dyn Error>> {
    let start = Instant::now();
    let tasks: Vec<_> = (0..IN_FLIGHT)
        .map(|_| task::spawn(call_repeatedly(Arc::clone(transport), to.clone())))
        .collect();
    for task in tasks {
        task.await?;
    }
    let calls = (IN_FLIGHT * CALLS_PER_TASK) as u128;
    let rate = calls * 1_000_000 / start.elapsed().as_micros().max(1);
    println!("{IN_FLIGHT} calls in flight: {rate} calls/s over {calls} calls");
    Ok(())
}

async fn call_repeatedly(transport: Arc<PeerTransport>, to: PeerAddress) -> Result<(), PeerError> {
    for _ in 0..CALLS_PER_TASK {
        transport.call(&to, vec![7; BODY_BYTES], TIMEOUT).await?;
    }
    Ok(())
}

fn as_micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
