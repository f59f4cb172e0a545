//! Suggestions for misspelled words.

/// The candidate with the smallest edit distance from `word`, if the distance is at most a third of
/// the word's length, rounded up.
pub(crate) fn nearest<'a>(
    word: &str,
    candidates: impl IntoIterator<Item = &'a str>,
) -> Option<&'a str> {
    let limit = word.chars().count().div_ceil(3);
    candidates
        .into_iter()
        .map(|candidate| (edit_distance(word, candidate), candidate))
        .filter(|(edits, _)| *edits <= limit)
        .min_by_key(|(edits, _)| *edits)
        .map(|(_, candidate)| candidate)
}

/// Levenshtein distance, computed in place in one row of the table.
fn edit_distance(left: &str, right: &str) -> usize {
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
