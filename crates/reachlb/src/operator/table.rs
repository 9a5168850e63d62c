//! Tables for human eyes.

use serde_json::Value;

/// Rows under a head, columns as wide as their longest cell.
pub fn table(head: &[&str], rows: &[Vec<String>]) -> String {
    let wide = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column)).map(|cell| cell.chars().count());
        cells.chain([head[column].len()]).max().unwrap_or_default()
    };
    let widths: Vec<_> = (0..head.len()).map(wide).collect();
    let line = |cells: &mut dyn Iterator<Item = &str>| {
        let cells = cells.zip(&widths).map(|(cell, width)| format!("{cell:width$}"));
        let mut line = cells.collect::<Vec<_>>().join("  ").trim_end().to_owned();
        line.push('\n');
        line
    };
    let mut text = line(&mut head.iter().copied());
    rows.iter().for_each(|row| text.push_str(&line(&mut row.iter().map(String::as_str))));
    text
}

/// A value of an answer as a cell; nothing where there is none.
pub fn cell(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::Bool(set) => if *set { "yes" } else { "no" }.to_owned(),
        Value::String(text) => text.clone(),
        Value::Number(number) => match number.as_f64().filter(|_| number.is_f64()) {
            Some(fraction) => format!("{fraction:.1}"),
            None => number.to_string(),
        },
        other => other.to_string(),
    }
}

/// A table of some fields of a list of objects.
pub fn of(list: &Value, fields: &[&str]) -> String {
    let rows: Vec<Vec<String>> = list
        .as_array()
        .into_iter()
        .flatten()
        .map(|row| fields.iter().map(|field| cell(&row[field])).collect())
        .collect();
    table(fields, &rows)
}

/// A span of ms as people say it.
pub fn ago(ms: u64) -> String {
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
    fn columns_stand_under_each_other() {
        let list = json!([{ "a": "long one", "b": 2.04, "c": true }, { "a": 7, "b": null, "c": false }]);
        assert_eq!(of(&list, &["a", "b", "c"]), "a         b    c\nlong one  2.0  yes\n7         -    no\n");
    }
}
