//! Tests of the compression of configuration documents.

use auburnbridge_messages::{compress_document, decompress_document};

/// Guards against a corrupt document that makes a process allocate the size that it states.
#[test]
fn document_that_states_an_absurd_size_is_refused() {
    let document = b"{\"version\":\"00000001\"}".repeat(100);
    let compressed = compress_document(&document);
    assert_eq!(decompress_document(&compressed).unwrap(), document);
    for size in [u32::MAX, 1 << 30, 100] {
        let mut corrupt = compressed.clone();
        corrupt[..4].copy_from_slice(&size.to_le_bytes());
        assert!(decompress_document(&corrupt).is_err(), "{size}");
    }
    for length in 0..compressed.len() {
        assert!(decompress_document(&compressed[..length]).is_err());
    }
}
