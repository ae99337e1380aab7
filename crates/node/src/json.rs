//! Reads files in JSON. An error names the field that is at fault, by its path, in one line that can be logged.

use anyhow::{Result, anyhow};
use serde::de::DeserializeOwned;

/// An error says at most so much, in characters: a file may be nothing but one long word.
const LONGEST_ERROR: usize = 400;

/// Reads a file that holds one value and nothing behind it.
pub fn read<T: DeserializeOwned>(text: &[u8]) -> Result<T> {
    let mut json = serde_json::Deserializer::from_slice(text);
    let value = serde_path_to_error::deserialize(&mut json)
        .map_err(|error| anyhow!(complaint(&error.path().to_string(), &error.inner().to_string())))?;
    json.end().map_err(|error| anyhow!(printable(&error.to_string())))?;
    Ok(value)
}

/// What is wrong and where. That a field is missing is told of the object that lacks it: the path goes on to the field.
fn complaint(path: &str, problem: &str) -> String {
    let object = if path == "." { "" } else { path };
    let missing = problem.strip_prefix("missing field `").and_then(|rest| rest.split('`').next());
    let field = match missing {
        Some(field) if object.is_empty() => field.to_owned(),
        Some(field) => format!("{object}.{field}"),
        None => object.to_owned(),
    };
    if field.is_empty() {
        return printable(problem);
    }
    printable(&format!("{field}: {problem}"))
}

/// A text that may hold parts of a file, cut and with control characters escaped, so that it makes one line.
pub fn printable(text: &str) -> String {
    let escaped = |letter: char| -> String {
        if letter.is_control() { letter.escape_default().collect() } else { letter.into() }
    };
    let mut shown: String = text.chars().take(LONGEST_ERROR).map(escaped).collect();
    if text.chars().nth(LONGEST_ERROR).is_some() {
        shown.push_str("...");
    }
    shown
}
