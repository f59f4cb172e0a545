//! Line-based diff between two texts.

use auburnbridge_rules::{LineEdit, file_lines};

use crate::delta::MAX_DELTA_LINE_EDITS;

/// Returns the line edits that turn `old` into `new`, or `None` if the differing range is longer
/// than [`MAX_DELTA_LINE_EDITS`] lines.
///
/// The lines between the common prefix and the common suffix are replaced one by one. If distant
/// lines change, the result may be longer than a minimal edit script, but it needs no search.
pub(crate) fn diff_lines(old: &str, new: &str) -> Option<Vec<LineEdit>> {
    let old: Vec<&str> = file_lines(old).collect();
    let new: Vec<&str> = file_lines(new).collect();
    let common_prefix = old.iter().zip(&new).take_while(|(a, b)| a == b).count();
    let (old, new) = (&old[common_prefix..], &new[common_prefix..]);
    let pairs_from_end = old.iter().rev().zip(new.iter().rev());
    let common_suffix = pairs_from_end.take_while(|(a, b)| a == b).count();
    let (old, new) = (
        &old[..old.len() - common_suffix],
        &new[..new.len() - common_suffix],
    );
    if old.len().max(new.len()) > MAX_DELTA_LINE_EDITS {
        return None;
    }
    let number = |index: usize| {
        let line = u32::try_from(common_prefix + index + 1);
        line.expect("the maximum file size keeps the line count within u32")
    };
    let paired = old.len().min(new.len());
    let replaced = (0..paired)
        .filter(|index| old[*index] != new[*index])
        .map(|index| LineEdit::Replace {
            line: number(index),
            text: new[index].to_owned(),
        });
    let inserted = (paired..new.len()).map(|index| LineEdit::Insert {
        line: number(index),
        text: new[index].to_owned(),
    });
    // Each removal shifts the next line to the same number.
    let removed = (paired..old.len()).map(|_| LineEdit::Remove {
        line: number(paired),
    });
    Some(replaced.chain(inserted).chain(removed).collect())
}
