//! Returns the tokens that a previous incarnation, whose process died, cannot have used.
//!
//! A holder stays below the spending limits of the newest record that may be in the log, from when
//! it first sent that record and for the time that the record states. The limits grow with time.
//! The next incarnation on the same VM can be sure that the previous one is dead. If it starts
//! while the limits are still active, all tokens beyond what the limits have grown to by its start
//! are unused, and it returns them. If it starts later, or the clocks do not show when it started,
//! the tokens stay stranded.
//!
//! After a new boot only the time of day tells how long the VM was down, and that clock may have
//! jumped back. So it is used only if no other VM has written a later time to the ledger.

use std::net::IpAddr;
use std::time::Duration;

use super::HolderId;
use super::clock_reading::ClockReading;
use super::holder_record::HolderRecord;
use super::token_ledger::TokenLedger;

/// How far the clocks of two VMs may differ.
const MAX_CLOCK_SKEW: Duration = Duration::from_millis(1_000);

/// Returns the record that closes the previous incarnation on this VM and returns the tokens that
/// it cannot have used; `None` if there is no such incarnation, or if its limits may have expired
/// before this one started.
pub fn close_previous_incarnation(
    ledger: &TokenLedger,
    own_holder_id: &HolderId,
    vm_id: &str,
    ip: IpAddr,
    started_at: &ClockReading,
) -> Option<(HolderId, HolderRecord)> {
    let (holder_id, record) = ledger.live_holders().find(|(_, record)| record.vm_id == vm_id)?;
    if holder_id == own_holder_id || record.peer_address.ip() != ip {
        return None;
    }
    let elapsed = started_at.elapsed_since(&record.sent_at)?;
    let mut others = ledger.live_holders().filter(|(_, other)| other.vm_id != vm_id);
    let is_clock_behind = others
        .any(|(_, other)| other.sent_at.since_epoch > started_at.since_epoch + MAX_CLOCK_SKEW);
    if elapsed >= record.limits_active_for || is_clock_behind {
        return None;
    }
    // The time of day may be inexact, so it only shows that the limits were still active; the
    // limits are then assumed to have grown for their whole period.
    let within_boot = started_at.elapsed_within_boot(&record.sent_at);
    let max_limit_age = within_boot.unwrap_or(record.limits_active_for);
    let mut closed = record.clone();
    closed.is_closed = true;
    closed.sequence += 1;
    for held in &mut closed.accounts {
        let unused = held.tokens_beyond_limit(max_limit_age).max(0);
        held.net_drawn_tokens -= unused;
    }
    Some((holder_id.clone(), closed))
}
