//! Tables with aligned columns.

/// Prints a header and rows; each column is as wide as its widest cell.
pub fn print(header: &[&str], rows: &[Vec<String>]) {
    let header: Vec<String> = header.iter().map(|&cell| cell.to_owned()).collect();
    let width = |column: usize| {
        let cells = rows.iter().chain([&header]).filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..header.len()).map(width).collect();
    for row in std::iter::once(&header).chain(rows) {
        let cells: Vec<String> =
            row.iter().zip(&widths).map(|(cell, &width)| format!("{cell:width$}")).collect();
        outln!("{}", cells.join("  ").trim_end());
    }
}
