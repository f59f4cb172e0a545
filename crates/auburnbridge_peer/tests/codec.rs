//! Tests of the encoding of messages and of the queue of one-way messages.

use auburnbridge_peer::SendQueue;
use auburnbridge_peer::codec::{CodecError, FORMAT_VERSION, decode, encode};
use auburnbridge_types::{ByteSize, Millis, VmId};
use proptest::prelude::*;
use serde::{Deserialize, Serialize};

const LIMIT: ByteSize = ByteSize(1_000);

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Message {
    Empty,
    Fields {
        vm: VmId,
        wait: Millis,
        bodies: Vec<Vec<u8>>,
    },
    Text(Option<String>),
}

/// Guards against messages of another version or length that decode to a wrong value.
#[test]
fn unreadable_messages_are_refused() {
    let good = encode(&Message::Text(Some("text".to_owned())), LIMIT).unwrap();
    let size = ByteSize(good.len() as u64);
    let limit = ByteSize(size.0 - 1);
    let mut newer = good.clone();
    newer[0] = FORMAT_VERSION + 1;
    let longer = [&good[..], b"x"].concat();
    let cases = [
        (vec![], LIMIT, CodecError::Empty),
        (
            newer,
            LIMIT,
            CodecError::Version {
                found: FORMAT_VERSION + 1,
            },
        ),
        (longer, LIMIT, CodecError::TrailingBytes { count: 1 }),
        (good, limit, CodecError::TooLarge { size, limit }),
    ];
    for (message, limit, expected) in cases {
        assert_eq!(decode::<Message>(&message, limit), Err(expected));
    }
    let long = Message::Text(Some("x".repeat(1_000)));
    assert!(matches!(
        encode(&long, LIMIT),
        Err(CodecError::TooLarge { .. })
    ));
}

/// Guards against spending memory or time on a false length in the input.
#[test]
fn claimed_lengths_are_not_trusted() {
    const LARGEST_LENGTH: [u8; 10] = [255, 255, 255, 255, 255, 255, 255, 255, 255, 1];
    let messages = [
        // `Message::Fields` with a VM name, a wait and a false number of bodies.
        [&[FORMAT_VERSION, 1, 1, b'a', 5][..], &LARGEST_LENGTH].concat(),
        // `Message::Fields` with one body of a false length.
        [&[FORMAT_VERSION, 1, 1, b'a', 5, 1][..], &LARGEST_LENGTH].concat(),
        // `Message::Text` with a false length.
        [&[FORMAT_VERSION, 2, 1][..], &LARGEST_LENGTH].concat(),
    ];
    for message in messages {
        let decoded = decode::<Message>(&message, LIMIT);
        assert!(
            matches!(decoded, Err(CodecError::Malformed(_))),
            "{decoded:?}"
        );
    }
}

proptest! {
    /// Guards against decoding a message whose end is missing.
    #[test]
    fn cut_messages_are_refused(
        bodies in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..20), 0..10),
        cut in any::<prop::sample::Index>(),
    ) {
        let vm = "entry-1".parse().unwrap();
        let message = Message::Fields { vm, wait: Millis(75), bodies };
        let encoded = encode(&message, LIMIT).unwrap();
        let cut = cut.index(encoded.len());
        prop_assert!(decode::<Message>(&encoded[..cut], LIMIT).is_err());
        prop_assert_eq!(decode::<Message>(&encoded, LIMIT), Ok(message));
    }

    /// Guards against a panic on arbitrary input, and against a decoded value that doesn't survive
    /// another encoding and decoding.
    #[test]
    fn any_bytes_decode_or_fail(mut bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        if let Some(version) = bytes.first_mut() {
            *version = FORMAT_VERSION;
        }
        if let Ok(message) = decode::<Message>(&bytes, LIMIT) {
            let again = encode(&message, LIMIT).unwrap();
            prop_assert_eq!(decode::<Message>(&again, LIMIT), Ok(message));
        }
    }

    /// Guards against a queue that exceeds its limits, reorders messages or drops newer ones.
    #[test]
    fn queue_keeps_the_newest_messages_in_order(
        sizes in proptest::collection::vec(0_usize..40, 0..60),
        message_limit in 1_usize..10,
    ) {
        let byte_limit = ByteSize(100);
        let mut queue = SendQueue::new(message_limit, byte_limit);
        let messages: Vec<Vec<u8>> = sizes
            .iter()
            .enumerate()
            .map(|(number, size)| vec![u8::try_from(number).unwrap(); *size])
            .collect();
        let mut kept: Vec<Vec<u8>> = Vec::new();
        for message in messages {
            kept.push(message.clone());
            let dropped = queue.push(message);
            let is_within_limits = |kept: &[Vec<u8>]| {
                kept.len() <= message_limit && kept.concat().len() as u64 <= byte_limit.0
            };
            prop_assert!(dropped == 0 || !is_within_limits(&kept[dropped - 1..]));
            kept.drain(..dropped);
            prop_assert!(is_within_limits(&kept));
        }
        let left: Vec<Vec<u8>> = std::iter::from_fn(|| queue.pop()).collect();
        prop_assert_eq!(left, kept);
    }
}
