//! Writes results as text for people or as JSON for programs.

use eyre::Result;
use serde::Serialize;

/// The output format.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutputFormat {
    /// Text for people.
    Text,
    /// One JSON value on one line.
    Json,
}

/// Writes results to standard output.
#[derive(Debug)]
pub struct Shell {
    format: OutputFormat,
}

impl Shell {
    /// Creates a shell that writes in the given format.
    pub fn new(format: OutputFormat) -> Self {
        Self { format }
    }

    /// Writes `value` as JSON or, in text format, the result of `format_text`.
    ///
    /// # Errors
    ///
    /// Fails when the value cannot be serialized.
    pub fn print<T: Serialize>(
        &self,
        value: &T,
        format_text: impl FnOnce(&T) -> String,
    ) -> Result<()> {
        match self.format {
            OutputFormat::Json => println!("{}", serde_json::to_string(value)?),
            OutputFormat::Text => println!("{}", format_text(value).trim_end()),
        }
        Ok(())
    }
}
