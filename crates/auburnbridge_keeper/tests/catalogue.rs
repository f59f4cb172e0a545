//! Tests what gateways learn from a keeper: permanent departures, complete lists, and the cached view
//! with which a keeper starts.

use std::sync::Arc;

use async_std::task::block_on;
use auburnbridge_config::VersionedDocument;
use auburnbridge_keeper::{
    CachedView, Catalogue, CommitObserver, LeavingTarget, ViewCache, read_view,
};
use auburnbridge_membership::{AnnouncedState, Announcement, Verdict};
use auburnbridge_messages::{GatewayLocation, KeeperGossip, WatchReply, WatchRequest};
use auburnbridge_types::{
    Clock, ConfigVersion, Incarnation, Millis, PausedClock, Sequence, Slots, TargetId, Timestamp,
    VmId,
};

const START: Timestamp = Timestamp(1_000_000);

fn announcement(target: &str, incarnation: u64, sequence: u64) -> Announcement {
    Announcement {
        service: "stock".parse().unwrap(),
        target: target.parse().unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
        data_centre: "north".parse().unwrap(),
        incarnation: Incarnation(incarnation),
        sequence: Sequence(sequence),
        slots: Slots(3),
        state: AnnouncedState::Ready,
    }
}

fn leaving(target: &str, incarnation: u64, sequence: u64) -> Announcement {
    Announcement {
        state: AnnouncedState::Leaving,
        ..announcement(target, incarnation, sequence)
    }
}

fn catalogue(clock: &PausedClock) -> Catalogue {
    Catalogue::new(Arc::new(clock.clone()) as Arc<dyn Clock>, 7)
}

fn target_id(target: &str) -> TargetId {
    target.parse().unwrap()
}

fn document(version: u64, bytes: &[u8]) -> VersionedDocument {
    VersionedDocument {
        version: ConfigVersion(version),
        document: bytes.into(),
    }
}

/// Reply to a gateway whose last reply was `earlier`.
fn watch(catalogue: &Catalogue, earlier: Option<&WatchReply>) -> WatchReply {
    let watch = WatchRequest {
        version: earlier.and_then(|watched| Some(watched.document.as_ref()?.version)),
        position: earlier.map(|watched| watched.position),
        wait: Millis(0),
        address: "10.0.0.9:7".parse().unwrap(),
        data_centre: "north".parse().unwrap(),
    };
    let vm: VmId = "10.0.0.9".parse().unwrap();
    block_on(catalogue.watch(&vm, watch))
}

fn targets_and_states(watched: &WatchReply) -> Vec<(&str, AnnouncedState)> {
    let mut targets: Vec<(&str, AnnouncedState)> = watched
        .targets
        .iter()
        .map(|target| (target.target.as_str(), target.state))
        .collect();
    targets.sort_unstable();
    targets
}

/// Guards against a list that lacks targets or departures, and against sending the whole list again
/// when only a few targets changed.
#[test]
fn gateway_gets_the_full_list_first_and_then_only_changes() {
    let clock = PausedClock::new(START);
    let catalogue = catalogue(&clock);
    catalogue.announce(announcement("t-1", 5, 1));
    catalogue.announce(announcement("t-2", 5, 1));
    catalogue.departed(&leaving("t-2", 5, 2));
    let first = watch(&catalogue, None);
    assert_eq!(
        targets_and_states(&first),
        [
            ("t-1", AnnouncedState::Ready),
            ("t-2", AnnouncedState::Leaving)
        ]
    );
    // A renewal is not a change.
    catalogue.announce(announcement("t-1", 5, 2));
    catalogue.announce(announcement("t-3", 5, 1));
    let second = watch(&catalogue, Some(&first));
    assert_eq!(
        targets_and_states(&second),
        [("t-3", AnnouncedState::Ready)]
    );
    assert_eq!(targets_and_states(&watch(&catalogue, Some(&second))), []);
}

/// Guards against lost targets after a gateway switches keepers: its position counts the changes of
/// the previous keeper's process and means nothing in the list of this one.
#[test]
fn position_of_another_process_gets_the_full_list() {
    let clock = PausedClock::new(START);
    let (old, new) = (
        catalogue(&clock),
        Catalogue::new(Arc::new(clock.clone()), 8),
    );
    old.announce(announcement("t-1", 5, 1));
    new.announce(announcement("t-2", 5, 1));
    let watched = watch(&old, None);
    assert_eq!(
        targets_and_states(&watch(&new, Some(&watched))),
        [("t-2", AnnouncedState::Ready)]
    );
}

/// Guards against a departed target that reappears through a late announcement of the same
/// incarnation, and against a later incarnation that is treated as departed.
#[test]
fn departure_applies_to_one_incarnation() {
    let clock = PausedClock::new(START);
    let catalogue = catalogue(&clock);
    catalogue.current_as_of(clock.now());
    catalogue.announce(announcement("t-1", 5, 1));
    let LeavingTarget::Present(departure) = catalogue.find_leaving(&target_id("t-1"), None) else {
        panic!("t-1 is not present");
    };
    assert!(!catalogue.has_departed(&departure));
    catalogue.departed(&departure);
    assert!(catalogue.has_departed(&departure));
    assert_eq!(
        catalogue.find_leaving(&target_id("t-1"), None),
        LeavingTarget::Departed
    );
    assert_eq!(
        catalogue.announce(announcement("t-1", 5, 9)),
        Verdict::Outdated
    );
    assert_eq!(
        catalogue.announce(announcement("t-1", 6, 1)),
        Verdict::Accepted
    );
    assert_eq!(
        catalogue.find_leaving(&target_id("t-1"), Some(Incarnation(5))),
        LeavingTarget::Departed
    );
    assert!(matches!(
        catalogue.find_leaving(&target_id("t-1"), Some(Incarnation(6))),
        LeavingTarget::Present(_)
    ));
    assert_eq!(
        catalogue.find_leaving(&target_id("t-2"), None),
        LeavingTarget::Unknown
    );
}

/// Guards against the acknowledgement of a departure that isn't recorded: a keeper that was cut off knows
/// only the departure of an earlier incarnation.
#[test]
fn departure_of_an_unknown_incarnation_is_not_acknowledged() {
    let clock = PausedClock::new(START);
    let catalogue = catalogue(&clock);
    let find = |incarnation| catalogue.find_leaving(&target_id("t-1"), incarnation);
    catalogue.announce(announcement("t-1", 5, 1));
    assert_eq!(find(Some(Incarnation(6))), LeavingTarget::Unknown);
    catalogue.departed(&leaving("t-1", 5, 2));
    assert_eq!(find(Some(Incarnation(6))), LeavingTarget::Unknown);
    assert_eq!(find(Some(Incarnation(5))), LeavingTarget::Departed);
}

/// Guards against the same where the call states no incarnation.
#[test]
fn keeper_without_leader_contact_acknowledges_no_departure_of_the_newest_incarnation() {
    let clock = PausedClock::new(START);
    let catalogue = catalogue(&clock);
    let find = || catalogue.find_leaving(&target_id("t-1"), None);
    catalogue.announce(announcement("t-1", 5, 1));
    assert_eq!(find(), LeavingTarget::Unknown);
    catalogue.current_as_of(clock.now());
    assert!(matches!(find(), LeavingTarget::Present(_)));
    catalogue.departed(&leaving("t-1", 5, 2));
    assert_eq!(find(), LeavingTarget::Departed);
    clock.advance(Millis(2_000));
    assert_eq!(find(), LeavingTarget::Unknown);
}

/// Guards against a departure that takes effect before a quorum has recorded it, because another
/// keeper forwarded it.
#[test]
fn departure_forwarded_by_another_keeper_is_ignored() {
    let clock = PausedClock::new(START);
    let catalogue = catalogue(&clock);
    catalogue.announce(announcement("t-1", 5, 1));
    catalogue.merge(KeeperGossip {
        targets: vec![leaving("t-1", 5, 2), announcement("t-2", 5, 1)],
        gateways: Vec::new(),
    });
    assert_eq!(
        targets_and_states(&watch(&catalogue, None)),
        [
            ("t-1", AnnouncedState::Ready),
            ("t-2", AnnouncedState::Ready)
        ]
    );
}

/// Guards against an older configuration that replaces the cached one while the log is applied again
/// from its start.
#[test]
fn published_version_never_decreases() {
    let clock = PausedClock::new(START);
    let catalogue = catalogue(&clock);
    catalogue.load_view(CachedView {
        document: Some(document(9, &[9])),
        targets: vec![announcement("t-1", 5, 1)],
    });
    catalogue.published(&document(8, &[8]));
    assert_eq!(watch(&catalogue, None).document.unwrap().version.0, 9);
    catalogue.published(&document(10, &[10]));
    assert_eq!(watch(&catalogue, None).document.unwrap().version.0, 10);
}

/// Guards against gateways that take the state of a partitioned keeper for current.
#[test]
fn reply_states_the_age_of_the_applied_state() {
    let clock = PausedClock::new(START);
    let catalogue = catalogue(&clock);
    assert_eq!(watch(&catalogue, None).confirmed_before, None);
    catalogue.current_as_of(START);
    clock.advance(Millis(700));
    assert_eq!(watch(&catalogue, None).confirmed_before, Some(Millis(700)));
}

/// Guards against a restarted keeper that lists a departed target as ready until the election, against
/// one that acknowledges the departure although the record may be uncommitted, and against a cached
/// view that turns such a record into a departure.
#[test]
fn departure_in_the_log_takes_effect_before_it_is_known_to_be_committed() {
    let clock = PausedClock::new(START);
    let catalogue = catalogue(&clock);
    catalogue.announce(announcement("t-1", 5, 1));
    catalogue.may_have_departed(&leaving("t-1", 5, 1));
    assert_eq!(
        catalogue.announce(announcement("t-1", 5, 2)),
        Verdict::Outdated
    );
    let listed = watch(&catalogue, None);
    assert_eq!(
        targets_and_states(&listed),
        [("t-1", AnnouncedState::Leaving)]
    );
    let departure = leaving("t-1", 5, 3);
    assert!(!catalogue.has_departed(&departure));
    assert!(matches!(
        catalogue.find_leaving(&target_id("t-1"), Some(Incarnation(5))),
        LeavingTarget::Present(_)
    ));
    assert_eq!(catalogue.take_changed_view().unwrap().targets, []);
    catalogue.departed(&departure);
    assert!(catalogue.has_departed(&departure));
    assert_eq!(
        catalogue.find_leaving(&target_id("t-1"), Some(Incarnation(5))),
        LeavingTarget::Departed
    );
    assert_eq!(catalogue.take_changed_view().unwrap().targets.len(), 1);
    assert_eq!(
        catalogue.announce(announcement("t-1", 6, 1)),
        Verdict::Accepted
    );
}

/// Guards against stopped gateways that are still listed, and against gateways that the other keepers
/// are not told about.
#[test]
fn gateways_are_listed_while_they_watch() {
    let clock = PausedClock::new(START);
    let catalogue = catalogue(&clock);
    let other = GatewayLocation {
        vm: "10.0.0.8".parse().unwrap(),
        address: "10.0.0.8:7".parse().unwrap(),
        data_centre: "north".parse().unwrap(),
    };
    catalogue.merge(KeeperGossip {
        targets: Vec::new(),
        gateways: vec![other],
    });
    assert_eq!(watch(&catalogue, None).gateways.len(), 2);
    let unsent = catalogue.take_unsent().unwrap();
    assert_eq!(unsent.gateways.len(), 1);
    clock.advance(Millis(5_000));
    assert_eq!(watch(&catalogue, None).gateways.len(), 1);
}

/// Guards against a truncated file that is loaded as a view, as an interrupted write may leave one.
#[test]
fn cached_view_survives_a_restart_and_a_truncated_file_is_ignored() {
    let folder = tempfile::tempdir().unwrap();
    let clock = PausedClock::new(START);
    let catalogue = catalogue(&clock);
    catalogue.announce(announcement("t-1", 5, 1));
    catalogue.published(&document(3, &[1, 2, 3]));
    let view = catalogue.take_changed_view().unwrap();
    assert_eq!(catalogue.take_changed_view(), None);
    let cache = ViewCache::start(folder.path()).unwrap();
    assert!(cache.store(view.clone()));
    let stored = (0..500).find_map(|_| {
        std::thread::sleep(std::time::Duration::from_millis(2));
        read_view(folder.path())
    });
    assert_eq!(stored, Some(view));
    let path = folder.path().join("view.cache");
    let bytes = std::fs::read(&path).unwrap();
    for length in 0..bytes.len() {
        std::fs::write(&path, &bytes[..length]).unwrap();
        assert_eq!(read_view(folder.path()), None, "{length} bytes");
    }
}
