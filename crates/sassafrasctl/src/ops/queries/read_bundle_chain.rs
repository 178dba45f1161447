//! Reads the bundle stream and folds it as every VM does.

use std::time::Duration;

use eyre::{Result, WrapErr};
use serde::Serialize;

use crate::core::ctl_context::CtlContext;
use crate::ops::queries::read_vm_state::read_admin;
use sassafrashoist_bundle::bundle_chain::{BundleChain, RecordOutcome};
use sassafrashoist_bundle::bundle_record::{BundleEvent, BundleRecord};
use sassafrashoist_bundle::bundle_snapshot::BundleSnapshot;
use sassafrashoist_core::ids::{BundleVersion, LogOffset, OperatorId};
use sassafrashoist_platform::log_client::{ReadError, ReadRange};
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
        let accepted = self
            .proposals
            .iter()
            .find(|report| report.refusal.is_none() && report.digest_sha256 == digest_sha256)
            .map(|report| report.offset);
        let in_force =
            self.chain.active_bundle().filter(|signed| signed.digest_sha256 == digest_sha256);
        accepted.or_else(|| in_force.map(|_| self.chain.next_offset().saturating_sub(1)))
    }

    /// Returns why a digest was refused, the last time that it was proposed.
    pub fn refusal_of(&self, digest_sha256: &str) -> Option<&str> {
        let mut proposals = self.proposals.iter().rev();
        proposals.find(|report| report.digest_sha256 == digest_sha256)?.refusal.as_deref()
    }
}

/// Reads the bundle stream to its end.
///
/// Where the log has forgotten its start and holds no snapshot yet, a VM is asked for one.
///
/// # Errors
///
/// Fails when the log does not answer.
pub async fn read_bundle_chain(context: &CtlContext) -> Result<BundleState> {
    let chain = BundleChain::new(context.settings.root_operators.clone());
    let mut state = BundleState { chain, proposals: Vec::new() };
    loop {
        let from_offset = state.chain.next_offset();
        let range = ReadRange { from_offset, max_count: PAGE_COUNT, wait: Duration::ZERO };
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
            fold_payload(&mut state, record.offset, &record.payload);
        }
    }
    if !state.chain.is_gapless() {
        take_snapshot(context, &mut state).await;
    }
    Ok(state)
}

async fn take_snapshot(context: &CtlContext, state: &mut BundleState) {
    for vm_id in context.settings.vm_admin_addresses.keys() {
        let answer = read_admin::<Option<BundleSnapshot>>(context, vm_id, "/bundle").await;
        if let Ok(Some(snapshot)) = answer
            && state.chain.adopt(snapshot).is_ok()
            && state.chain.is_gapless()
        {
            return;
        }
    }
}

fn fold_payload(state: &mut BundleState, offset: LogOffset, payload: &[u8]) {
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
