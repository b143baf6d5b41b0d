//! Medians over runs and their output.

/// Returns the median, or 0 if there are no values.
pub fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}

/// Prints a row of columns under a name.
pub fn row(name: &str, columns: &[(&str, f64)]) {
    let columns: Vec<_> = columns
        .iter()
        .map(|(key, value)| format!("{key}={value:.2}"))
        .collect();
    println!("{name:<13} {}", columns.join(" "));
}
