//! Suggestions for misspelt words.

/// The candidate with the fewest edits from `word`, if it is at most a third of the word away.
pub(crate) fn nearest<'a>(
    word: &str,
    candidates: impl IntoIterator<Item = &'a str>,
) -> Option<&'a str> {
    let limit = word.chars().count().div_ceil(3);
    candidates
        .into_iter()
        .map(|candidate| (distance(word, candidate), candidate))
        .filter(|(edits, _)| *edits <= limit)
        .min_by_key(|(edits, _)| *edits)
        .map(|(_, candidate)| candidate)
}

/// Levenshtein distance, computed with one row of the table.
fn distance(left: &str, right: &str) -> usize {
    let right: Vec<char> = right.chars().collect();
    let mut row: Vec<usize> = (0..=right.len()).collect();
    for (row_number, left_char) in left.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = row_number + 1;
        for (column, right_char) in right.iter().enumerate() {
            let substituted = diagonal + usize::from(left_char != *right_char);
            diagonal = row[column + 1];
            row[column + 1] = substituted.min(diagonal + 1).min(row[column] + 1);
        }
    }
    row[right.len()]
}
