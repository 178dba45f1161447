//! Reads from the platform's rate-limited store of model weights.

use bytes::Bytes;
use http::{Method, StatusCode};
use thiserror::Error;

use crate::platform_client::PlatformClient;

/// Why weights could not be fetched.
#[derive(Debug, Error)]
pub enum WeightError {
    /// The store rejected the request because its rate limit was reached.
    #[error("weight store is at its rate limit")]
    RateLimited,
    /// The store has no such weights.
    #[error("weight store has no {0:?}")]
    Missing(String),
    /// The store did not respond, or its response was not usable.
    #[error("weight store is unavailable: {0}")]
    Unavailable(String),
}

impl PlatformClient {
    /// Fetches the description of a model's weights.
    ///
    /// # Errors
    ///
    /// Fails when the rate limit is reached, the weights do not exist or the store is unavailable.
    pub async fn fetch_weights(&self, name: &str) -> Result<Bytes, WeightError> {
        let response = self
            .send(Method::GET, &format!("/weights/{name}"), Vec::new(), self.timeout())
            .await
            .map_err(|error| WeightError::Unavailable(error.to_string()))?;
        match response.status {
            StatusCode::OK if response.framing.marks_end() => Ok(response.body),
            StatusCode::OK => Err(WeightError::Unavailable(
                "response has neither a length nor chunks, so it may be incomplete".to_owned(),
            )),
            StatusCode::TOO_MANY_REQUESTS => Err(WeightError::RateLimited),
            StatusCode::NOT_FOUND => Err(WeightError::Missing(name.to_owned())),
            status => Err(WeightError::Unavailable(format!("status {status}"))),
        }
    }
}
