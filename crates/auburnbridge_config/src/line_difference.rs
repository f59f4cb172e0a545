//! Line edits between two texts.

use auburnbridge_rules::{LineEdit, file_lines};

use crate::delta::MAX_DELTA_EDITS;

/// The edits that turn `old` into `new`, or `None` when there are more than a delta holds.
///
/// The lines between the common start and the common end are replaced one by one. That is longer
/// than a minimal script when distant lines change, and needs no search.
pub(crate) fn line_edits(old: &str, new: &str) -> Option<Vec<LineEdit>> {
    let old: Vec<&str> = file_lines(old).collect();
    let new: Vec<&str> = file_lines(new).collect();
    let same_start = old.iter().zip(&new).take_while(|(a, b)| a == b).count();
    let (old, new) = (&old[same_start..], &new[same_start..]);
    let pairs_from_end = old.iter().rev().zip(new.iter().rev());
    let same_end = pairs_from_end.take_while(|(a, b)| a == b).count();
    let (old, new) = (&old[..old.len() - same_end], &new[..new.len() - same_end]);
    if old.len().max(new.len()) > MAX_DELTA_EDITS {
        return None;
    }
    let number = |index: usize| {
        let line = u32::try_from(same_start + index + 1);
        line.expect("the size of a file bounds its lines")
    };
    let shared = old.len().min(new.len());
    let replaced = (0..shared)
        .filter(|index| old[*index] != new[*index])
        .map(|index| LineEdit::Replace {
            line: number(index),
            text: new[index].to_owned(),
        });
    let inserted = (shared..new.len()).map(|index| LineEdit::Insert {
        line: number(index),
        text: new[index].to_owned(),
    });
    // Each removal moves the next line to the same number.
    let removed = (shared..old.len()).map(|_| LineEdit::Remove {
        line: number(shared),
    });
    Some(replaced.chain(inserted).chain(removed).collect())
}
