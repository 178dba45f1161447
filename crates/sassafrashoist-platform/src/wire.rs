//! The JSON bodies and headers of the platform's services.

use serde::{Deserialize, Serialize};
use serde_with::base64::Base64;
use serde_with::serde_as;

use sassafrashoist_core::ids::{DataCentreId, LogOffset};

/// The request header with the client's data centre.
pub const DATA_CENTRE_HEADER: &str = "x-data-centre";

/// Body of `POST /streams/{s}/records`.
#[serde_as]
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct AppendRequest {
    /// The payloads, in order.
    #[serde_as(as = "Vec<Base64>")]
    pub payloads: Vec<Vec<u8>>,
}

/// Response body of `POST /streams/{s}/records`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct AppendResponse {
    /// The offset of the batch's first record.
    pub first_offset: LogOffset,
}

/// One record of a stream.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRecord {
    /// Its offset.
    pub offset: LogOffset,
    /// Its content.
    #[serde_as(as = "Base64")]
    pub payload: Vec<u8>,
}

/// Response body of `GET /streams/{s}/records`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RecordPage {
    /// The records, in order.
    pub records: Vec<LogRecord>,
    /// The offset of the oldest retained record.
    pub earliest_offset: LogOffset,
    /// The offset that the next append will get.
    pub end_offset: LogOffset,
}

/// Response body of status 410 of `GET /streams/{s}/records`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TrimmedResponse {
    /// The offset of the oldest retained record.
    pub earliest_offset: LogOffset,
}

/// The state of a listed VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedState {
    /// It is running.
    Live,
    /// It is being taken out of service.
    Leaving,
}

/// One entry of the VM list; backend servers run on listed VMs too.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedVm {
    /// The id of the VM or of the backend server that runs on it.
    pub id: String,
    /// Its data centre.
    pub data_centre_id: DataCentreId,
    /// Its state.
    pub state: ListedState,
}
