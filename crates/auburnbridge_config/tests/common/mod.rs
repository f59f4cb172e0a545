//! Edits used by the tests of this crate.

use auburnbridge_config::{Change, Edit, EditId, LineSelector};
use auburnbridge_types::{IdempotencyKey, Revision, Timestamp};

pub const START: Timestamp = Timestamp(1_800_000_000_000);
pub const SERVICE: &str = "service stock slots-floor 24 # asked by Meera";

/// An id that the operator created at `created`.
pub fn id(created: Timestamp, number: u32) -> EditId {
    let mut random = [0; 10];
    // The first bytes also contain the UUID version and variant.
    random[6..].copy_from_slice(&number.to_le_bytes());
    IdempotencyKey::from_parts(created, random).into()
}

pub fn edit(number: u32, expected: Option<u64>, change: Change) -> Edit {
    Edit {
        id: id(START, number),
        author: "Meera, ward office".parse().unwrap(),
        expected: expected.map(Revision),
        change,
    }
}

pub fn set(text: &str) -> Change {
    Change::SetLine {
        replaces: None,
        text: text.to_owned(),
    }
}

pub fn remove(key: &str) -> Change {
    Change::RemoveLine {
        line: LineSelector::Key(key.parse().unwrap()),
    }
}
