//! Access to the nested settings of the configuration file, and their conversion to the text form.

use std::time::Duration;

use serde_json::Value;

/// Value of the field `settings` of the configuration file.
pub(super) struct SettingsObject<'a>(pub(super) &'a Value);

impl SettingsObject<'_> {
    /// Converts the settings to the text form of [`mothspool::settings_format`], which has one `path=value`
    /// pair per line.
    pub(super) fn to_lines(&self) -> String {
        let mut lines = String::new();
        flatten(self.0, "", &mut lines);
        lines
    }

    /// Returns the names of the objects in `list`, in order. An object without a name has an empty one.
    pub(super) fn object_names(&self, list: &str) -> Vec<String> {
        let items = self.0[list].as_array().map_or(&[][..], Vec::as_slice);
        items.iter().map(|item| item["name"].as_str().unwrap_or_default().to_string()).collect()
    }

    /// Returns the list of strings at `key`.
    pub(super) fn strings(&self, key: &str) -> Vec<String> {
        to_strings(&self.0[key])
    }

    /// Returns the duration at `key` of the object `allowed`, where its unit is microseconds.
    pub(super) fn allowed_duration(&self, key: &str) -> Option<Duration> {
        let micros = self.0["allowed"][key].as_f64()?;
        Some(Duration::from_micros(micros as u64))
    }
}

/// Converts a list to strings. A single value counts as a list with one item, and null as an empty list.
fn to_strings(value: &Value) -> Vec<String> {
    match value {
        Value::Array(items) => items.iter().map(scalar_to_string).collect(),
        Value::Null => Vec::new(),
        single => vec![scalar_to_string(single)],
    }
}

fn scalar_to_string(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => String::new(),
        other => other.to_string(),
    }
}

/// Appends a line for each setting in `value` that is not null. A list with objects has a line `path.count`,
/// and each item has its index in its path. Any other list has its items on one line, separated by commas.
fn flatten(value: &Value, path: &str, lines: &mut String) {
    let child = |key: &str| if path.is_empty() { key.to_string() } else { format!("{path}.{key}") };
    match value {
        Value::Object(fields) => {
            for (key, field) in fields {
                flatten(field, &child(key), lines);
            }
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            push_line(&child("count"), &items.len().to_string(), lines);
            for (index, item) in items.iter().enumerate() {
                flatten(item, &child(&index.to_string()), lines);
            }
        }
        Value::Null => {}
        Value::Array(_) => {
            let items: Vec<String> = to_strings(value).iter().map(|item| replace_separators(item)).collect();
            push_line(path, &items.join(","), lines);
        }
        single => push_line(path, &replace_separators(&scalar_to_string(single)), lines),
    }
}

fn push_line(path: &str, value: &str, lines: &mut String) {
    lines.push_str(&format!("{path}={value}\n"));
}

/// Replaces the characters that separate lines and items with underscores.
fn replace_separators(value: &str) -> String {
    value.replace([' ', ',', '\n', '\r'], "_")
}
