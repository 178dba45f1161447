//! Records of the bundle stream.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::bundle_delta::SignedDelta;
use crate::bundle_snapshot::BundleSnapshot;
use crate::signed_bundle::SignedBundle;

/// The record version that this code writes and reads.
pub const BUNDLE_RECORD_VERSION: u16 = 2;

/// One record of the bundle stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BundleRecord {
    /// The version of the record format.
    pub record_version: u16,
    /// The content of the record.
    pub event: BundleEvent,
}

/// The content of a record of the bundle stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BundleEvent {
    /// Proposes a bundle.
    Proposal(Box<SignedBundle>),
    /// Proposes a bundle as its difference from the active one.
    Delta(Box<SignedDelta>),
    /// Repeats the active bundle, so that older records can be trimmed.
    Snapshot(Box<BundleSnapshot>),
}

/// Why a record cannot be decoded.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum BundleRecordError {
    /// It is not a record in the supported format.
    #[error("record cannot be decoded: {0}")]
    Undecodable(String),
    /// Its record version is not supported.
    #[error("record version {0} is not supported")]
    UnknownVersion(u16),
}

impl BundleRecord {
    /// Wraps an event in the current version.
    pub fn new(event: BundleEvent) -> Self {
        Self { record_version: BUNDLE_RECORD_VERSION, event }
    }

    /// Builds the record of a proposal: a delta if that is smaller, otherwise the whole bundle.
    pub fn propose(base: Option<&SignedBundle>, signed: SignedBundle) -> Self {
        let whole = Self::new(BundleEvent::Proposal(Box::new(signed.clone())));
        let Some(base) = base else { return whole };
        let delta = Self::new(BundleEvent::Delta(Box::new(SignedDelta::between(base, &signed))));
        let size = |record: &Self| serde_json::to_vec(record).map_or(usize::MAX, |json| json.len());
        if size(&delta) < size(&whole) { delta } else { whole }
    }

    /// Decodes a record's payload.
    ///
    /// # Errors
    ///
    /// Fails when the payload has another format or version.
    pub fn decode(payload: &[u8]) -> Result<BundleEvent, BundleRecordError> {
        #[derive(Deserialize)]
        struct VersionOnly {
            record_version: u16,
        }
        let undecodable =
            |error: serde_json::Error| BundleRecordError::Undecodable(error.to_string());
        let version: VersionOnly = serde_json::from_slice(payload).map_err(undecodable)?;
        if version.record_version != BUNDLE_RECORD_VERSION {
            return Err(BundleRecordError::UnknownVersion(version.record_version));
        }
        let record: Self = serde_json::from_slice(payload).map_err(undecodable)?;
        Ok(record.event)
    }
}
