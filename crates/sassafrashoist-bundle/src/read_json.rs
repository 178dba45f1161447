//! Reading of JSON that an operator wrote, with errors that name the path of the value.

use serde::de::DeserializeOwned;

use crate::problem::Problem;

/// Decodes JSON text.
///
/// # Errors
///
/// Fails with the path of the first invalid value and what was expected there.
pub fn read_json<T: DeserializeOwned>(text: &[u8]) -> Result<T, Problem> {
    let mut deserializer = serde_json::Deserializer::from_slice(text);
    let value = serde_path_to_error::deserialize(&mut deserializer).map_err(|error| {
        let json_path = error.path().to_string();
        Problem::new(json_path, error.into_inner().to_string())
    })?;
    deserializer.end().map_err(|error| Problem::new(".", error.to_string()))?;
    Ok(value)
}
