//! Guards the published configuration and its form in the log.

use auburnbridge_config::{Publish, PublishReply, Published};
use auburnbridge_types::ConfigVersion;

fn order(version: u64, bytes: &[u8]) -> Publish {
    Publish {
        version: ConfigVersion(version),
        document: bytes.into(),
    }
}

/// Guards against a version that goes back, and against other content under the version in force.
#[test]
fn only_higher_versions_take_effect() {
    let mut published = Published::default();
    assert_eq!(published.apply(order(3, b"a")), PublishReply::Accepted);
    for superseded in [order(2, b"b"), order(3, b"c")] {
        assert_eq!(published.apply(superseded), PublishReply::Superseded);
        assert_eq!(published.current(), Some(&order(3, b"a")));
    }
    assert_eq!(published.apply(order(4, b"d")), PublishReply::Accepted);
    assert_eq!(published.version(), Some(ConfigVersion(4)));
}

/// Guards against an upgraded keeper that can't read the log, the snapshots or the cached view that
/// it wrote before.
#[test]
fn encoding_stays_that_of_a_number_and_bytes() {
    let bytes = postcard::to_stdvec(&(300_u64, vec![1_u8, 2])).unwrap();
    assert_eq!(postcard::to_stdvec(&order(300, &[1, 2])).unwrap(), bytes);
    let mut published = Published::default();
    published.apply(order(300, &[1, 2]));
    let stored = postcard::to_stdvec(&Some((300_u64, vec![1_u8, 2]))).unwrap();
    assert_eq!(
        postcard::from_bytes::<Published>(&stored).unwrap(),
        published
    );
}
