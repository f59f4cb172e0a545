//! Tests of the published configuration and its encoding.

use auburnbridge_config::{PublishReply, PublishedConfig, VersionedDocument};
use auburnbridge_types::ConfigVersion;

fn document(version: u64, bytes: &[u8]) -> VersionedDocument {
    VersionedDocument {
        version: ConfigVersion(version),
        document: bytes.into(),
    }
}

/// Guards against a return to a lower version, and against different content for the version in
/// force.
#[test]
fn only_higher_versions_take_effect() {
    let mut published = PublishedConfig::default();
    assert_eq!(published.apply(document(3, b"a")), PublishReply::Accepted);
    for superseded in [document(2, b"b"), document(3, b"c")] {
        assert_eq!(published.apply(superseded), PublishReply::Superseded);
        assert_eq!(published.current(), Some(&document(3, b"a")));
    }
    assert_eq!(published.apply(document(4, b"d")), PublishReply::Accepted);
    assert_eq!(published.version(), Some(ConfigVersion(4)));
}

/// Guards against a change of the encoding, after which an upgraded keeper could not read its log,
/// its snapshots or its cached view.
#[test]
fn encoding_is_version_and_document_bytes() {
    let bytes = postcard::to_stdvec(&(300_u64, vec![1_u8, 2])).unwrap();
    assert_eq!(postcard::to_stdvec(&document(300, &[1, 2])).unwrap(), bytes);
    let mut published = PublishedConfig::default();
    published.apply(document(300, &[1, 2]));
    let stored = postcard::to_stdvec(&Some((300_u64, vec![1_u8, 2]))).unwrap();
    assert_eq!(
        postcard::from_bytes::<PublishedConfig>(&stored).unwrap(),
        published
    );
}
