//! Formats responses as aligned tables or as JSON.

use std::io::Write;

use serde_json::Value;

use crate::Failure;
use crate::run::Session;

/// A table column: its heading and the JSON field that it shows.
pub(crate) type Column = (&'static str, &'static str);

/// Prints `value` as indented JSON.
pub(crate) fn write_json(out: &mut dyn Write, value: &Value) -> Result<(), Failure> {
    Ok(writeln!(out, "{value:#}")?)
}

/// Prints a heading and one line for each row, with the columns aligned.
pub(crate) fn write_table(
    out: &mut dyn Write,
    columns: &[Column],
    rows: &[Value],
) -> Result<(), Failure> {
    let heading = columns.iter().map(|(name, _)| (*name).to_owned()).collect();
    let mut lines: Vec<Vec<String>> = vec![heading];
    let format_row = |row: &Value| {
        columns
            .iter()
            .map(|(_, field)| format_value(&row[*field]))
            .collect()
    };
    lines.extend(rows.iter().map(format_row));
    let column_width = |i: usize| lines.iter().map(|l| l[i].chars().count()).max();
    let widths: Vec<usize> = (0..columns.len()).filter_map(column_width).collect();
    for line in &lines {
        let mut text = String::new();
        for (value, width) in line.iter().zip(&widths) {
            text.push_str(&format!("{value:<width$}  "));
        }
        writeln!(out, "{}", text.trim_end())?;
    }
    Ok(())
}

/// Prints the array in `response[field]` as a table, or the whole response with `--json`.
pub(crate) fn write_rows(
    session: &mut Session<'_>,
    response: &Value,
    field: &str,
    columns: &[Column],
) -> Result<(), Failure> {
    if session.json {
        return write_json(session.out, response);
    }
    let rows = response[field].as_array().map_or(&[][..], Vec::as_slice);
    write_table(session.out, columns, rows)
}

/// Formats a JSON value for a table: `-` for an absent one, and short forms of resource amounts and
/// of states with a reason.
pub(crate) fn format_value(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) if text.is_empty() => "-".to_owned(),
        Value::String(text) => replace_control_chars(text),
        Value::Object(map) if map.contains_key("cpu") => format_resources(value),
        Value::Object(map) => match (map.get("state"), map.get("why")) {
            (Some(state), Some(why)) => format!("{}: {}", format_value(state), format_value(why)),
            (Some(state), None) => format_value(state),
            _ => replace_control_chars(&value.to_string()),
        },
        other => replace_control_chars(&other.to_string()),
    }
}

/// Formats an amount of resources in cores, GiB and accelerators.
fn format_resources(value: &Value) -> String {
    let amount_of = |field: &str| value[field].as_u64().unwrap_or(0);
    let cores = amount_of("cpu") as f64 / 1_000.0;
    let memory = amount_of("mem") as f64 / 1_024.0;
    match amount_of("gpu") {
        0 => format!("{cores:.1}c {memory:.1}G"),
        gpu => format!("{cores:.1}c {memory:.1}G {gpu}gpu"),
    }
}

/// Replaces control characters. Names and reasons come from other users and must not reach the
/// terminal as escape sequences.
pub(crate) fn replace_control_chars(text: &str) -> String {
    let replace = |c: char| if c.is_control() { '\u{fffd}' } else { c };
    text.chars().map(replace).collect()
}

/// Prints an error. With `--json`, a refusal is printed as the JSON that the cell returned;
/// otherwise the error is printed as text, with the problems of a document and the version that is
/// in force.
pub(crate) fn write_failure(
    err: &mut dyn Write,
    json: bool,
    failure: &Failure,
) -> Result<(), Failure> {
    let raw = match failure {
        Failure::Refused { raw, .. } => raw,
        _ => &Value::Null,
    };
    if json && !raw.is_null() {
        return Ok(writeln!(err, "{raw}")?);
    }
    writeln!(
        err,
        "zinniactl: {}",
        replace_control_chars(&failure.to_string())
    )?;
    for problem in raw["problems"].as_array().into_iter().flatten() {
        let path = format_value(&problem["path"]);
        writeln!(err, "  {path}: {}", format_value(&problem["message"]))?;
    }
    let in_force = &raw["winner"];
    if !in_force.is_null() {
        let version = format_value(&in_force["version"]);
        let hash = format_value(&in_force["hash"]);
        writeln!(err, "  document in force: version {version}, hash {hash}")?;
    }
    Ok(())
}
