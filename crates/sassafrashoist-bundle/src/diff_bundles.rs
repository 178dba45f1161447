//! The differences between two bundles, in a form for operators to read.

use std::collections::BTreeMap;

use serde::Serialize;
use serde_json::Value;

use crate::bundle::Bundle;

/// One difference between two bundles.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "change")]
pub enum BundleChange {
    /// A value is new.
    Added {
        /// Its path.
        path: String,
        /// Its value.
        value: Value,
    },
    /// A value was removed.
    Removed {
        /// Its path.
        path: String,
        /// The value it had.
        value: Value,
    },
    /// A value was replaced.
    Changed {
        /// Its path.
        path: String,
        /// The value it had.
        from: Value,
        /// The value it has now.
        to: Value,
    },
}

/// Lists the removed and changed values, then the added ones, each in the order of their paths.
///
/// List items are matched by `id` or `route_id`, or by position if they have neither.
pub fn diff_bundles(old: &Bundle, new: &Bundle) -> Vec<BundleChange> {
    let mut old_values = BTreeMap::new();
    let mut new_values = BTreeMap::new();
    flatten("", &serde_json::to_value(old).unwrap_or_default(), &mut old_values);
    flatten("", &serde_json::to_value(new).unwrap_or_default(), &mut new_values);
    let mut changes = Vec::new();
    for (path, from) in &old_values {
        match new_values.get(path) {
            None => changes.push(BundleChange::Removed { path: path.clone(), value: from.clone() }),
            Some(to) if to != from => changes.push(BundleChange::Changed {
                path: path.clone(),
                from: from.clone(),
                to: to.clone(),
            }),
            Some(_) => {}
        }
    }
    for (path, value) in new_values {
        if !old_values.contains_key(&path) {
            changes.push(BundleChange::Added { path, value });
        }
    }
    changes
}

/// Formats the differences, one per line.
pub fn format_changes(changes: &[BundleChange]) -> String {
    let mut text = String::new();
    for change in changes {
        let line = match change {
            BundleChange::Added { path, value } => format!("+ {path} = {value}"),
            BundleChange::Removed { path, value } => format!("- {path} = {value}"),
            BundleChange::Changed { path, from, to } => format!("~ {path}: {from} -> {to}"),
        };
        text.push_str(&line);
        text.push('\n');
    }
    text
}

fn flatten(path: &str, value: &Value, out: &mut BTreeMap<String, Value>) {
    match value {
        Value::Object(fields) => {
            for (name, field) in fields {
                let separator = if path.is_empty() { "" } else { "." };
                flatten(&format!("{path}{separator}{name}"), field, out);
            }
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            for (index, item) in items.iter().enumerate() {
                let name = item_name(item).unwrap_or_else(|| index.to_string());
                flatten(&format!("{path}[{name}]"), item, out);
            }
        }
        other => {
            out.insert(path.to_owned(), other.clone());
        }
    }
}

fn item_name(item: &Value) -> Option<String> {
    let id = item.get("id").or_else(|| item.get("route_id"))?;
    id.as_str().map(str::to_owned)
}
