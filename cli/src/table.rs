//! Prints tables with aligned columns.

/// Prints a head and rows; each column is as wide as its widest cell.
pub fn print(head: &[&str], rows: &[Vec<String>]) {
    let head: Vec<String> = head.iter().map(|&cell| cell.to_owned()).collect();
    let width = |column: usize| {
        let cells = rows.iter().chain([&head]).filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..head.len()).map(width).collect();
    for row in std::iter::once(&head).chain(rows) {
        let cells: Vec<String> =
            row.iter().zip(&widths).map(|(cell, &width)| format!("{cell:width$}")).collect();
        say!("{}", cells.join("  ").trim_end());
    }
}
