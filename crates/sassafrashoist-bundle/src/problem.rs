//! One error found in a file that an operator wrote.

use std::fmt;

use serde::Serialize;

/// One error: its location and what was expected there.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Problem {
    /// The path in the JSON, such as `routes[2].pool_id`.
    pub json_path: String,
    /// What is wrong and what was expected.
    pub message: String,
}

impl Problem {
    /// Describes an error at a path.
    pub fn new(json_path: impl Into<String>, message: impl Into<String>) -> Self {
        Self { json_path: json_path.into(), message: message.into() }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.json_path, self.message)
    }
}

/// Formats problems as one report, one per line.
pub fn format_problems(file: &str, problems: &[Problem]) -> String {
    problems.iter().map(|problem| format!("{file}: {problem}")).collect::<Vec<_>>().join("\n")
}
