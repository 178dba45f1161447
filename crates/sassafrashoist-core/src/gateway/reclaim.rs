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
//! jumped back. So it is used only if no other VM has written a later time to the ledger than this
//! VM's time of day when it reads the ledger, and the limits are assumed to have grown for a margin
//! longer.

use std::net::IpAddr;
use std::time::Duration;

use super::HolderId;
use super::clock_reading::ClockReading;
use super::holder_record::HolderRecord;
use super::reclaim_refusal::ReclaimRefusal;
use super::token_ledger::TokenLedger;

/// How far the clocks of two VMs may differ, and the time of day of one VM before and after a boot.
const MAX_CLOCK_SKEW: Duration = Duration::from_millis(1_000);

/// Returns the record that closes the previous incarnation on this VM and returns the tokens that
/// it cannot have used. `read_at` is when this VM read the ledger: other VMs may have written
/// records between the start of this process and then.
///
/// # Errors
///
/// Fails if there is no such incarnation, or if its limits may have expired before this one started.
pub fn close_previous_incarnation(
    ledger: &TokenLedger,
    own_holder_id: &HolderId,
    vm_id: &str,
    ip: IpAddr,
    started_at: &ClockReading,
    read_at: &ClockReading,
) -> Result<(HolderId, HolderRecord), ReclaimRefusal> {
    let newest = ledger.live_holders().find(|(_, record)| record.vm_id == vm_id);
    let previous = newest.filter(|(holder_id, _)| *holder_id != own_holder_id);
    let (holder_id, record) = previous.ok_or(ReclaimRefusal::NoPreviousRun)?;
    if record.peer_address.ip() != ip {
        return Err(ReclaimRefusal::OtherAddress);
    }
    let elapsed = time_since_record(started_at, &record.sent_at)
        .ok_or(ReclaimRefusal::ClocksNotComparable)?;
    let max_limit_age = match started_at.elapsed_within_boot(&record.sent_at) {
        Some(_) => elapsed,
        None => record.limits_active_for.min(elapsed + MAX_CLOCK_SKEW),
    };
    // The time of day at the start, moved on by a clock that does not jump: if the time of day was
    // corrected since the start, the comparison still shows that it was wrong then.
    let since_start = read_at.since_boot.saturating_sub(started_at.since_boot);
    let time_of_day = started_at.since_epoch + since_start;
    let mut others = ledger.live_holders().filter(|(_, other)| other.vm_id != vm_id);
    let is_clock_behind =
        others.any(|(_, other)| other.sent_at.since_epoch > time_of_day + MAX_CLOCK_SKEW);
    if is_clock_behind {
        return Err(ReclaimRefusal::ClockBehind);
    }
    if elapsed >= record.limits_active_for {
        return Err(ReclaimRefusal::LimitsExpired);
    }
    let mut closed = record.clone();
    closed.is_closed = true;
    closed.sequence += 1;
    for held in &mut closed.accounts {
        let unused = held.tokens_beyond_limit(max_limit_age).max(0);
        held.net_drawn_tokens -= unused;
    }
    Ok((holder_id.clone(), closed))
}

/// Returns the time from a record of the previous incarnation to the start of this one; `None` if the
/// clocks do not tell.
fn time_since_record(started_at: &ClockReading, sent_at: &ClockReading) -> Option<Duration> {
    let by_time_of_day = started_at.since_epoch.checked_sub(sent_at.since_epoch);
    match started_at.elapsed_within_boot(sent_at) {
        // A new boot that is older than the earlier one was at its record looks like the same boot;
        // the time of day then shows a longer time.
        Some(within_boot) => Some(by_time_of_day.unwrap_or_default().max(within_boot)),
        None => by_time_of_day,
    }
}
