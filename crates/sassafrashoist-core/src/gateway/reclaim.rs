//! Hands back what a run of the process that died cannot have used.
//!
//! A holder keeps to the marks in the newest record that may be in the log, which grow with time,
//! until as long after it first sent that record as the record says. The next run on the same VM
//! knows that the one before is dead. If it starts before the marks cease to bind, all beyond what
//! they have grown to by its start is unused, and it hands that back. If it starts later, or the
//! clocks do not tell, the tokens stay stranded.
//!
//! After a new boot only the time of day tells how long the VM was gone, and that may have jumped
//! back. So it is believed only if no other VM wrote a later time meanwhile.

use std::net::IpAddr;
use std::time::Duration;

use super::HolderId;
use super::clock_reading::ClockReading;
use super::holder_record::HolderRecord;
use super::token_ledger::TokenLedger;

/// How far the clocks of two VMs may differ.
const MAX_CLOCK_SKEW: Duration = Duration::from_millis(1_000);

/// Returns the record with which the run that starts closes the one before it on this VM, and hands
/// back what that cannot have used.
pub fn reclaim_predecessor(
    ledger: &TokenLedger,
    own: &HolderId,
    vm_id: &str,
    ip: IpAddr,
    started_at: &ClockReading,
) -> Option<(HolderId, HolderRecord)> {
    let (holder_id, record) = ledger.live_holders().find(|(_, record)| record.vm_id == vm_id)?;
    if holder_id == own || record.peer_address.ip() != ip {
        return None;
    }
    let elapsed = started_at.elapsed_since(&record.sent_at)?;
    let mut others = ledger.live_holders().filter(|(_, other)| other.vm_id != vm_id);
    let is_behind = others
        .any(|(_, other)| other.sent_at.since_epoch > started_at.since_epoch + MAX_CLOCK_SKEW);
    if elapsed >= record.marked_for || is_behind {
        return None;
    }
    // The time of day may be some way off, so it only tells that the marks still bound the run.
    let within_boot = started_at.elapsed_within_boot(&record.sent_at);
    let lived_at_most = within_boot.unwrap_or(record.marked_for);
    let mut closed = record.clone();
    closed.is_closed = true;
    closed.sequence += 1;
    for held in &mut closed.accounts {
        let unused = held.unmarked_tokens(lived_at_most).max(0);
        held.granted_tokens -= unused;
    }
    Some((holder_id.clone(), closed))
}
