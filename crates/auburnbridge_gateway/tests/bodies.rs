//! Tests the decisions about bodies under load, without a network.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use auburnbridge_gateway::{BodyBudgets, BodyInFlight, TargetBodies, body_memory};
use auburnbridge_http::MemoryBudget;
use auburnbridge_types::ByteSize;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const KIB: u64 = 1024;
const MIB: u64 = 1024 * KIB;
const UPLOAD: ByteSize = ByteSize(60 * KIB);
const LOOKUP: ByteSize = ByteSize(300);

fn target(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 8_000 + number))
}

/// Guards against a budget for bodies that is larger than the VM's memory, and against one that
/// overrides what the operator set.
#[test]
fn bodies_get_a_quarter_of_the_vm_unless_configured() {
    let mib = |count| ByteSize(count * MIB);
    assert_eq!(body_memory(None, Some(mib(384))), mib(96));
    assert_eq!(body_memory(None, Some(mib(112))), mib(28));
    assert_eq!(body_memory(Some(mib(64)), Some(mib(384))), mib(64));
    assert_eq!(body_memory(None, None), mib(128));
}

/// Guards against uploads that prevent responses from being read, whose requests have run, and the
/// reverse.
#[test]
fn requests_and_responses_have_separate_memory() {
    let budgets = BodyBudgets::new(&MemoryBudget::new(ByteSize(28 * MIB)));
    assert_eq!(budgets.requests.limit(), ByteSize(14 * MIB));
    assert_eq!(budgets.responses.limit(), ByteSize(14 * MIB));
    // Sixteen callers at their limit fill the memory for requests and no more.
    assert_eq!(budgets.connection_limit().0 * 16, 14 * MIB);
    assert!(budgets.requests.has_room(ByteSize(14 * MIB)));
    assert!(!budgets.requests.has_room(ByteSize(14 * MIB + 1)));
    assert!(!budgets.requests.has_room(ByteSize(u64::MAX)));
}

/// A gateway on a link of 14 Mbit/s that serves uploads of 60 KB beside small requests. Time passes in
/// steps of a millisecond; an upload is in flight on its target from its start until the response.
struct UploadLoad {
    rng: StdRng,
    bodies: Arc<TargetBodies>,
    in_flight: Vec<(u64, SocketAddr, BodyInFlight)>,
    waiting: usize,
}

impl UploadLoad {
    fn start(&mut self, now_ms: u64, targets: &[SocketAddr], work_ms: u64) -> bool {
        let first = self.rng.random_range(0..targets.len());
        let in_turn = targets.iter().cycle().skip(first).take(targets.len());
        for target in in_turn {
            if let Some(body) = self.bodies.begin(*target, UPLOAD) {
                self.in_flight.push((now_ms + work_ms, *target, body));
                return true;
            }
        }
        false
    }

    fn most_on_one_target(&self) -> u64 {
        let mut bytes: HashMap<SocketAddr, u64> = HashMap::new();
        for (_, target, _) in &self.in_flight {
            *bytes.entry(*target).or_default() += UPLOAD.0;
        }
        bytes.into_values().max().unwrap_or_default()
    }
}

/// Guards against uploads of 60 KB, at twice their usual rate beside small requests on a 14 Mbit/s
/// link, that pile up on one target while others have none, against uploads that wait although a
/// target has room, and against small requests that wait behind them.
#[test]
fn uploads_at_twice_their_usual_rate_spread_over_the_targets() {
    const LIMIT: ByteSize = ByteSize(512 * KIB);
    const TARGETS: u16 = 4;
    // 66 uploads a second on 33 gateways are 2 on each, and 17 if one has half of the callers; at
    // twice that rate and 14 Mbit/s, one upload arrives every 34 ms at the earliest.
    const INTERVAL_MS: u64 = 34;
    // Targets at a tenth of their speed.
    const WORK_MS: u64 = 2_000;
    for seed in 1..=5 {
        let targets: Vec<SocketAddr> = (0..TARGETS).map(target).collect();
        let mut load = UploadLoad {
            rng: StdRng::seed_from_u64(seed),
            bodies: Arc::new(TargetBodies::new(LIMIT)),
            in_flight: Vec::new(),
            waiting: 0,
        };
        let mut saturated_ms = 0;
        for now_ms in 0..20_000 {
            load.in_flight.retain(|(end_ms, ..)| *end_ms > now_ms);
            load.waiting += usize::from(now_ms % INTERVAL_MS == 0);
            while load.waiting > 0 && load.start(now_ms, &targets, WORK_MS) {
                load.waiting -= 1;
            }
            assert!(load.most_on_one_target() <= LIMIT.0, "seed {seed}");
            if load.waiting > 0 {
                let fit = usize::from(TARGETS) * usize::try_from(LIMIT.0 / UPLOAD.0).unwrap();
                assert_eq!(load.in_flight.len(), fit, "seed {seed}");
                saturated_ms += 1;
            }
            assert!(!TargetBodies::is_counted(LOOKUP));
        }
        assert!(saturated_ms > 0, "the load doesn't reach the limit");
    }
}

/// Guards against a body over the limit that no target ever takes, and against one that is sent to a
/// target together with others.
#[test]
fn body_over_the_limit_is_alone_on_its_target() {
    let bodies = Arc::new(TargetBodies::new(ByteSize(512 * KIB)));
    let large = ByteSize(64 * MIB);
    let small = bodies.begin(target(1), UPLOAD).unwrap();
    assert!(bodies.begin(target(1), large).is_none());
    let alone = bodies.begin(target(2), large).unwrap();
    assert!(bodies.begin(target(2), UPLOAD).is_none());
    drop((small, alone));
    assert!(bodies.begin(target(1), large).is_some());
    assert!(bodies.begin(target(2), UPLOAD).is_some());
}
