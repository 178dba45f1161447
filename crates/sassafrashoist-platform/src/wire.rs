//! The JSON that the platform's services speak.

use serde::{Deserialize, Serialize};
use serde_with::base64::Base64;
use serde_with::serde_as;

use sassafrashoist_core::ids::{DataCentreId, LogOffset};

/// The header by which a client tells its data centre.
pub const DATA_CENTRE_HEADER: &str = "x-data-centre";

/// Body of `POST /streams/{s}/records`.
#[serde_as]
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct AppendBatch {
    /// The payloads, in order.
    #[serde_as(as = "Vec<Base64>")]
    pub payloads: Vec<Vec<u8>>,
}

/// Answer of `POST /streams/{s}/records`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct AppendedBatch {
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

/// Answer of `GET /streams/{s}/records`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RecordPage {
    /// The records, in order.
    pub records: Vec<LogRecord>,
    /// The offset of the oldest record kept.
    pub earliest_offset: LogOffset,
    /// The offset that the next append will get.
    pub end_offset: LogOffset,
}

/// Answer with status 410 of `GET /streams/{s}/records`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TrimmedAnswer {
    /// The offset of the oldest record kept.
    pub earliest_offset: LogOffset,
}

/// The state of a listed VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedState {
    /// It runs.
    Live,
    /// It is being taken out of service.
    Leaving,
}

/// One entry of the VM list; backend servers run on listed VMs too.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedVm {
    /// The id of the VM or of the backend server on it.
    pub id: String,
    /// Its data centre.
    pub data_centre_id: DataCentreId,
    /// Its state.
    pub state: ListedState,
}
