//! The rate-limited store of model weights.

use bytes::Bytes;
use http::{Method, StatusCode};
use thiserror::Error;

use crate::platform_client::PlatformClient;

/// Why weights were not had.
#[derive(Debug, Error)]
pub enum WeightError {
    /// The store asks to come back later.
    #[error("weight store is at its rate limit")]
    RateLimited,
    /// The store has no such weights.
    #[error("weight store has no {0:?}")]
    Missing(String),
    /// The store did not answer.
    #[error("weight store is out of reach: {0}")]
    OutOfReach(String),
}

impl PlatformClient {
    /// Fetches the description of a model's weights.
    ///
    /// # Errors
    ///
    /// Fails when the store limits the rate, lacks the weights or does not answer.
    pub async fn fetch_weights(&self, name: &str) -> Result<Bytes, WeightError> {
        let answer = self
            .send(Method::GET, &format!("/weights/{name}"), Vec::new(), self.timeout())
            .await
            .map_err(|error| WeightError::OutOfReach(error.to_string()))?;
        match answer.status {
            StatusCode::OK => Ok(answer.body),
            StatusCode::TOO_MANY_REQUESTS => Err(WeightError::RateLimited),
            StatusCode::NOT_FOUND => Err(WeightError::Missing(name.to_owned())),
            status => Err(WeightError::OutOfReach(format!("status {status}"))),
        }
    }
}
