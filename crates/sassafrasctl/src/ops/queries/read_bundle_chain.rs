//! Reads the bundle stream and folds it as every VM does.

use std::time::Duration;

use eyre::{Result, WrapErr};
use serde::Serialize;

use crate::core::ctl_context::CtlContext;
use sassafrashoist_bundle::bundle_record::{BUNDLE_RECORD_VERSION, BundleChain, BundleRecord};
use sassafrashoist_core::ids::{BundleVersion, LogOffset, OperatorId};
use sassafrashoist_platform::log_client::ReadRange;
use sassafrashoist_platform::streams::BUNDLE_STREAM;

/// Records read at once.
const PAGE_COUNT: usize = 50;

/// The folded bundle stream.
#[derive(Debug)]
pub struct BundleState {
    /// The chain.
    pub chain: BundleChain,
    /// What became of each proposal.
    pub proposals: Vec<ProposalReport>,
}

/// What became of one proposal.
#[derive(Debug, Clone, Serialize)]
pub struct ProposalReport {
    /// Its place in the log.
    pub offset: LogOffset,
    /// Its version.
    pub version: BundleVersion,
    /// Its author.
    pub author_id: OperatorId,
    /// Its digest.
    pub digest_sha256: String,
    /// Why it was refused; none for an accepted one.
    pub refusal: Option<String>,
}

impl BundleState {
    /// Returns the offset at which a digest was accepted.
    pub fn offset_of(&self, digest_sha256: &str) -> Option<LogOffset> {
        self.proposals
            .iter()
            .find(|report| report.refusal.is_none() && report.digest_sha256 == digest_sha256)
            .map(|report| report.offset)
    }
}

/// Reads the bundle stream to its end.
///
/// # Errors
///
/// Fails when the log does not answer.
pub async fn read_bundle_chain(context: &CtlContext) -> Result<BundleState> {
    let chain = BundleChain::new(context.settings.root_operators.clone());
    let mut state = BundleState { chain, proposals: Vec::new() };
    loop {
        let from_offset = state.chain.next_offset;
        let range = ReadRange { from_offset, max_count: PAGE_COUNT, wait: Duration::ZERO };
        let page = context
            .platform
            .read(BUNDLE_STREAM, range)
            .await
            .wrap_err("failed to read the bundle stream")?;
        if page.records.is_empty() {
            return Ok(state);
        }
        for record in page.records {
            fold_payload(&mut state, record.offset, &record.payload);
        }
    }
}

fn fold_payload(state: &mut BundleState, offset: LogOffset, payload: &[u8]) {
    let decoded = serde_json::from_slice::<BundleRecord>(payload)
        .ok()
        .filter(|record| record.record_version == BUNDLE_RECORD_VERSION);
    let Some(record) = decoded else {
        state.chain.next_offset = offset + 1;
        return;
    };
    let report = ProposalReport {
        offset,
        version: record.proposal.bundle.version,
        author_id: record.proposal.author.operator_id.clone(),
        digest_sha256: record.proposal.digest_sha256.clone(),
        refusal: None,
    };
    let refusal = state.chain.apply(offset, record.proposal).err();
    state
        .proposals
        .push(ProposalReport { refusal: refusal.map(|refusal| refusal.to_string()), ..report });
}
