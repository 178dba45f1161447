//! Reads the bundle stream and applies its records in the same way as the VMs.

use std::time::Duration;

use eyre::{Result, WrapErr};
use serde::Serialize;

use crate::core::ctl_context::CtlContext;
use crate::ops::queries::read_vm_state::read_admin_page;
use sassafrashoist_bundle::bundle_chain::{BundleChain, RecordOutcome};
use sassafrashoist_bundle::bundle_record::{BundleEvent, BundleRecord};
use sassafrashoist_bundle::bundle_snapshot::BundleSnapshot;
use sassafrashoist_core::ids::{BundleVersion, LogOffset, OperatorId};
use sassafrashoist_platform::log_client::{ReadError, ReadRange};
use sassafrashoist_platform::streams::BUNDLE_STREAM;

/// The maximum number of records read at once.
const PAGE_RECORDS: usize = 50;

/// The result of applying all records of the bundle stream.
#[derive(Debug)]
pub struct BundleState {
    /// The chain of accepted bundles.
    pub chain: BundleChain,
    /// The outcome of each proposal, in log order.
    pub proposals: Vec<ProposalReport>,
}

/// The outcome of one proposal.
#[derive(Debug, Clone, Serialize)]
pub struct ProposalReport {
    /// The offset of its record in the bundle stream.
    pub offset: LogOffset,
    /// The version of the proposed bundle.
    pub version: BundleVersion,
    /// The bundle's author.
    pub author_id: OperatorId,
    /// The digest of the bundle.
    pub digest_sha256: String,
    /// Why the proposal was refused; `None` if it was accepted.
    pub refusal: Option<String>,
}

impl BundleState {
    /// Returns the offset at which the bundle with the given digest was accepted.
    ///
    /// The active bundle may come from a snapshot, without its proposal among the records read. The
    /// result is then the last offset before the next record to read.
    pub fn accepted_offset(&self, digest_sha256: &str) -> Option<LogOffset> {
        let accepted = self
            .proposals
            .iter()
            .find(|report| report.refusal.is_none() && report.digest_sha256 == digest_sha256)
            .map(|report| report.offset);
        let active =
            self.chain.active_bundle().filter(|signed| signed.digest_sha256 == digest_sha256);
        accepted.or_else(|| active.map(|_| self.chain.next_offset().saturating_sub(1)))
    }

    /// Returns why the last proposal of the bundle with the given digest was refused.
    pub fn last_refusal(&self, digest_sha256: &str) -> Option<&str> {
        let mut proposals = self.proposals.iter().rev();
        proposals.find(|report| report.digest_sha256 == digest_sha256)?.refusal.as_deref()
    }
}

/// Reads the bundle stream to its end.
///
/// If the first records were trimmed and the remaining ones contain no usable snapshot, requests a
/// snapshot from the VMs.
///
/// # Errors
///
/// Fails when the log service is unavailable.
pub async fn read_bundle_chain(context: &CtlContext) -> Result<BundleState> {
    let chain = BundleChain::new(context.settings.root_operators.clone());
    let mut state = BundleState { chain, proposals: Vec::new() };
    loop {
        let from_offset = state.chain.next_offset();
        let range = ReadRange { from_offset, max_count: PAGE_RECORDS, wait: Duration::ZERO };
        let page = match context.platform.read(BUNDLE_STREAM, range).await {
            Err(ReadError::Trimmed { earliest_offset }) => {
                state.chain.skip_to(earliest_offset);
                continue;
            }
            page => page.wrap_err("failed to read the bundle stream")?,
        };
        if page.records.is_empty() {
            break;
        }
        for record in page.records {
            apply_payload(&mut state, record.offset, &record.payload);
        }
    }
    if !state.chain.is_gapless() {
        adopt_snapshot_from_vm(context, &mut state).await;
    }
    Ok(state)
}

async fn adopt_snapshot_from_vm(context: &CtlContext, state: &mut BundleState) {
    for vm_id in context.settings.vm_admin_addresses.keys() {
        let response = read_admin_page::<Option<BundleSnapshot>>(context, vm_id, "/bundle").await;
        if let Ok(Some(snapshot)) = response
            && state.chain.adopt(snapshot).is_ok()
            && state.chain.is_gapless()
        {
            return;
        }
    }
}

fn apply_payload(state: &mut BundleState, offset: LogOffset, payload: &[u8]) {
    let Ok(event) = BundleRecord::decode(payload) else {
        return state.chain.skip_record(offset);
    };
    let (version, author_id, digest_sha256) = match &event {
        BundleEvent::Proposal(signed) => {
            (signed.bundle.version, signed.author.operator_id.clone(), signed.digest_sha256.clone())
        }
        BundleEvent::Delta(delta) => {
            (delta.delta.version, delta.author_id().clone(), delta.digest_sha256.clone())
        }
        BundleEvent::Snapshot(_) => {
            state.chain.apply_record(offset, event);
            return;
        }
    };
    let refusal = match state.chain.apply_record(offset, event) {
        RecordOutcome::Accepted => None,
        RecordOutcome::Refused(refusal) => Some(refusal.to_string()),
        RecordOutcome::Deferred | RecordOutcome::Unchanged => {
            Some("not judged, older records are trimmed".to_owned())
        }
    };
    state.proposals.push(ProposalReport { offset, version, author_id, digest_sha256, refusal });
}
