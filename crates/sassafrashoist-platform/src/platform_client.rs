//! The client that all of the platform's services are called through.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderMap, HeaderValue, Method};
use volo_http::client::Client;

use crate::http_client::{HttpRequest, HttpRequestError, HttpResponse, send_http_request};
use crate::wire::DATA_CENTRE_HEADER;
use sassafrashoist_core::ids::DataCentreId;

/// How long a request to the platform may take by default.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);

/// A client of the platform's services, with one connection pool.
#[derive(Clone)]
pub struct PlatformClient {
    address: SocketAddr,
    data_centre_id: DataCentreId,
    timeout: Duration,
    client: Client,
}

impl PlatformClient {
    /// Creates a client that sends `data_centre_id` as its own data centre.
    pub fn new(address: SocketAddr, data_centre_id: DataCentreId) -> Self {
        Self { address, data_centre_id, timeout: PLATFORM_TIMEOUT, client: Client::default() }
    }

    /// Returns the timeout of requests that are not long polls.
    pub fn timeout(&self) -> Duration {
        self.timeout
    }

    pub(crate) async fn send(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<HttpResponse, HttpRequestError> {
        let mut headers = HeaderMap::new();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Ok(value) = HeaderValue::from_str(&self.data_centre_id) {
            headers.insert(DATA_CENTRE_HEADER, value);
        }
        let url = format!("http://{}{path}", self.address);
        let request = HttpRequest { method, url, headers, body: Bytes::from(body), timeout };
        send_http_request(&self.client, request).await
    }
}
