//! One connection pool to the platform.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderMap, HeaderValue, Method};
use volo_http::client::Client;

use crate::http_client::{HttpAnswer, HttpCall, HttpCallError, send_call};
use crate::wire::DATA_CENTRE_HEADER;
use sassafrashoist_core::ids::DataCentreId;

/// How long a call to the platform may take by default.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);

/// A client of all the platform's services.
#[derive(Clone)]
pub struct PlatformClient {
    address: SocketAddr,
    data_centre_id: DataCentreId,
    timeout: Duration,
    client: Client,
}

impl PlatformClient {
    /// Creates a client that calls from a data centre.
    pub fn new(address: SocketAddr, data_centre_id: DataCentreId) -> Self {
        Self { address, data_centre_id, timeout: PLATFORM_TIMEOUT, client: Client::default() }
    }

    /// The longest that a call without a wait may take.
    pub fn timeout(&self) -> Duration {
        self.timeout
    }

    pub(crate) async fn send(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<HttpAnswer, HttpCallError> {
        let mut headers = HeaderMap::new();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Ok(value) = HeaderValue::from_str(&self.data_centre_id) {
            headers.insert(DATA_CENTRE_HEADER, value);
        }
        let url = format!("http://{}{path}", self.address);
        let call = HttpCall { method, url, headers, body: Bytes::from(body), timeout };
        send_call(&self.client, call).await
    }
}
