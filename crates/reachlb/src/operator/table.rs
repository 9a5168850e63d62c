//! Plain-text tables.

use serde_json::Value;

/// Formats rows below a header. Each column is as wide as its longest cell.
pub fn table(header: &[&str], rows: &[Vec<String>]) -> String {
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column)).map(|cell| cell.chars().count());
        cells.chain([header[column].len()]).max().unwrap_or_default()
    };
    let widths: Vec<_> = (0..header.len()).map(width).collect();
    let line = |cells: &mut dyn Iterator<Item = &str>| {
        let cells = cells.zip(&widths).map(|(cell, width)| format!("{cell:width$}"));
        let mut line = cells.collect::<Vec<_>>().join("  ").trim_end().to_owned();
        line.push('\n');
        line
    };
    let mut text = line(&mut header.iter().copied());
    rows.iter().for_each(|row| text.push_str(&line(&mut row.iter().map(String::as_str))));
    text
}

/// Formats a JSON value as a cell. `null` becomes `-`.
pub fn cell(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::Bool(value) => if *value { "yes" } else { "no" }.to_owned(),
        Value::String(text) => text.clone(),
        Value::Number(number) => match number.as_f64().filter(|_| number.is_f64()) {
            Some(fraction) => format!("{fraction:.1}"),
            None => number.to_string(),
        },
        other => other.to_string(),
    }
}

/// Formats the given fields of a list of JSON objects as a table.
pub fn table_of(list: &Value, fields: &[&str]) -> String {
    let rows: Vec<Vec<String>> = list
        .as_array()
        .into_iter()
        .flatten()
        .map(|row| fields.iter().map(|field| cell(&row[field])).collect())
        .collect();
    table(fields, &rows)
}

/// Formats a duration in milliseconds for people to read.
pub fn duration(ms: u64) -> String {
    match ms {
        0..1000 => format!("{ms} ms"),
        1000..120_000 => format!("{:.1} s", ms as f64 / 1000.0),
        120_000..7_200_000 => format!("{} min", ms / 60_000),
        _ => format!("{} h", ms / 3_600_000),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    #[test]
    fn columns_are_aligned() {
        let list = json!([{ "a": "long one", "b": 2.04, "c": true }, { "a": 7, "b": null, "c": false }]);
        assert_eq!(
            table_of(&list, &["a", "b", "c"]),
            "a         b    c\nlong one  2.0  yes\n7         -    no\n"
        );
    }
}
