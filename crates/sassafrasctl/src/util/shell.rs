//! Output for people, or JSON for programs.

use eyre::Result;
use serde::Serialize;

/// The form of output.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutputForm {
    /// Text for people.
    Text,
    /// One JSON value.
    Json,
}

/// Writes output in one form.
#[derive(Debug)]
pub struct Shell {
    form: OutputForm,
}

impl Shell {
    /// Creates a shell that writes in a form.
    pub fn new(form: OutputForm) -> Self {
        Self { form }
    }

    /// Writes a result: `value` as JSON, or the text that `describe` makes of it.
    ///
    /// # Errors
    ///
    /// Fails when the value cannot be written as JSON.
    pub fn print<T: Serialize>(
        &self,
        value: &T,
        describe: impl FnOnce(&T) -> String,
    ) -> Result<()> {
        match self.form {
            OutputForm::Json => println!("{}", serde_json::to_string(value)?),
            OutputForm::Text => println!("{}", describe(value).trim_end()),
        }
        Ok(())
    }
}
