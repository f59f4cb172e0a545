//! Guards what gateways learn from a keeper: departures that stay, lists that are complete, and the
//! view with which a keeper begins.

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

fn announcement(target: &str, born: u64, sequence: u64) -> Announcement {
    Announcement {
        service: "stock".parse().unwrap(),
        target: target.parse().unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
        data_centre: "north".parse().unwrap(),
        incarnation: Incarnation(born),
        sequence: Sequence(sequence),
        slots: Slots(3),
        state: AnnouncedState::Ready,
    }
}

fn leaving(target: &str, born: u64, sequence: u64) -> Announcement {
    Announcement {
        state: AnnouncedState::Leaving,
        ..announcement(target, born, sequence)
    }
}

fn catalogue(clock: &PausedClock) -> Catalogue {
    Catalogue::new(Arc::new(clock.clone()) as Arc<dyn Clock>, 7)
}

fn name(target: &str) -> TargetId {
    target.parse().unwrap()
}

fn document(version: u64, bytes: &[u8]) -> VersionedDocument {
    VersionedDocument {
        version: ConfigVersion(version),
        document: bytes.into(),
    }
}

/// What a gateway gets that has `earlier`.
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

fn ids(watched: &WatchReply) -> Vec<(&str, AnnouncedState)> {
    let mut ids: Vec<(&str, AnnouncedState)> = watched
        .targets
        .iter()
        .map(|target| (target.target.as_str(), target.state))
        .collect();
    ids.sort_unstable();
    ids
}

/// Guards against a list that lacks targets or departures, and against one that is sent whole again.
#[test]
fn gateway_gets_the_whole_list_and_then_the_changes() {
    let clock = PausedClock::new(START);
    let catalogue = catalogue(&clock);
    catalogue.announce(announcement("t-1", 5, 1));
    catalogue.announce(announcement("t-2", 5, 1));
    catalogue.departed(&leaving("t-2", 5, 2));
    let first = watch(&catalogue, None);
    assert_eq!(
        ids(&first),
        [
            ("t-1", AnnouncedState::Ready),
            ("t-2", AnnouncedState::Leaving)
        ]
    );
    // Renewals are no news.
    catalogue.announce(announcement("t-1", 5, 2));
    catalogue.announce(announcement("t-3", 5, 1));
    let second = watch(&catalogue, Some(&first));
    assert_eq!(ids(&second), [("t-3", AnnouncedState::Ready)]);
    assert_eq!(ids(&watch(&catalogue, Some(&second))), []);
}

/// Guards against a position of another process that is taken for one of this.
#[test]
fn position_of_another_process_gets_the_whole_list() {
    let clock = PausedClock::new(START);
    let (old, new) = (
        catalogue(&clock),
        Catalogue::new(Arc::new(clock.clone()), 8),
    );
    old.announce(announcement("t-1", 5, 1));
    new.announce(announcement("t-2", 5, 1));
    let watched = watch(&old, None);
    assert_eq!(
        ids(&watch(&new, Some(&watched))),
        [("t-2", AnnouncedState::Ready)]
    );
}

/// Guards against a departed target that comes back by a late announcement of the same life, and
/// against a later life that is taken for the departed one.
#[test]
fn departure_ends_one_life() {
    let clock = PausedClock::new(START);
    let catalogue = catalogue(&clock);
    catalogue.announce(announcement("t-1", 5, 1));
    let LeavingTarget::Present(departure) = catalogue.leaving(&name("t-1"), None) else {
        panic!("the target is known");
    };
    assert!(!catalogue.has_departed(&departure));
    catalogue.departed(&departure);
    assert!(catalogue.has_departed(&departure));
    assert_eq!(
        catalogue.leaving(&name("t-1"), None),
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
        catalogue.leaving(&name("t-1"), Some(Incarnation(5))),
        LeavingTarget::Departed
    );
    assert!(matches!(
        catalogue.leaving(&name("t-1"), Some(Incarnation(6))),
        LeavingTarget::Present(_)
    ));
    assert_eq!(
        catalogue.leaving(&name("t-2"), None),
        LeavingTarget::Unknown
    );
}

/// Guards against departures that take effect before a quorum has them.
#[test]
fn departure_heard_from_another_keeper_is_not_taken() {
    let clock = PausedClock::new(START);
    let catalogue = catalogue(&clock);
    catalogue.announce(announcement("t-1", 5, 1));
    catalogue.merge(KeeperGossip {
        targets: vec![leaving("t-1", 5, 2), announcement("t-2", 5, 1)],
        gateways: Vec::new(),
    });
    assert_eq!(
        ids(&watch(&catalogue, None)),
        [
            ("t-1", AnnouncedState::Ready),
            ("t-2", AnnouncedState::Ready)
        ]
    );
}

/// Guards against a configuration that goes back when the log is applied again.
#[test]
fn published_version_never_goes_back() {
    let clock = PausedClock::new(START);
    let catalogue = catalogue(&clock);
    catalogue.begin_with(CachedView {
        document: Some(document(9, &[9])),
        targets: vec![announcement("t-1", 5, 1)],
    });
    catalogue.published(&document(8, &[8]));
    assert_eq!(watch(&catalogue, None).document.unwrap().version.0, 9);
    catalogue.published(&document(10, &[10]));
    assert_eq!(watch(&catalogue, None).document.unwrap().version.0, 10);
}

/// Guards against a keeper that is cut off and passes for one that is up to date.
#[test]
fn age_of_the_state_is_told() {
    let clock = PausedClock::new(START);
    let catalogue = catalogue(&clock);
    assert_eq!(watch(&catalogue, None).confirmed_before, None);
    catalogue.confirmed(START);
    clock.advance(Millis(700));
    assert_eq!(watch(&catalogue, None).confirmed_before, Some(Millis(700)));
}

/// Guards against gateways that are counted after their end, and against one that other keepers
/// don't hear of.
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
    let told = catalogue.take_unsent().unwrap();
    assert_eq!(told.gateways.len(), 1);
    clock.advance(Millis(5_000));
    assert_eq!(watch(&catalogue, None).gateways.len(), 1);
}

/// Guards against a torn file that is taken for a view.
#[test]
fn view_survives_a_restart_and_a_torn_one_is_dropped() {
    let folder = tempfile::tempdir().unwrap();
    let clock = PausedClock::new(START);
    let catalogue = catalogue(&clock);
    catalogue.announce(announcement("t-1", 5, 1));
    catalogue.published(&document(3, &[1, 2, 3]));
    let view = catalogue.changed_view().unwrap();
    assert_eq!(catalogue.changed_view(), None);
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
