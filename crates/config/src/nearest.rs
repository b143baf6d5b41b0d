//! Finds the known name that is most similar to an unknown one.

/// Maximum edit distance of a suggestion.
const MAX_DISTANCE: usize = 3;

/// Returns the known name with the smallest edit distance, if it is similar enough.
pub fn nearest<'a>(name: &str, known: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    let with_distance = known.into_iter().map(|k| (distance(name, k), k));
    let (edits, best) = with_distance.min()?;
    let is_near = edits <= MAX_DISTANCE && edits < best.len();
    is_near.then_some(best)
}

/// Returns the Levenshtein distance.
fn distance(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, ca) in a.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, cb) in b.iter().enumerate() {
            let replace = diagonal + usize::from(ca != *cb);
            diagonal = row[j + 1];
            row[j + 1] = replace.min(diagonal + 1).min(row[j] + 1);
        }
    }
    row[b.len()]
}
