use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use sassafrashoist_core::gateway::clock_reading::ClockReading;
use sassafrashoist_core::gateway::holder_record::{HeldTokens, HolderRecord};
use sassafrashoist_core::gateway::reclaim::close_previous_incarnation;
use sassafrashoist_core::gateway::reclaim_refusal::ReclaimRefusal;
use sassafrashoist_core::gateway::spending_limit::SpendingLimit;
use sassafrashoist_core::gateway::token_ledger::TokenLedger;

const VM_IP: IpAddr = IpAddr::V4(std::net::Ipv4Addr::new(10, 0, 0, 1));
const LIMITS_ACTIVE_FOR: Duration = Duration::from_millis(2_200);

fn clocks(since_boot_ms: u64, since_epoch_ms: u64) -> ClockReading {
    ClockReading {
        since_boot: Duration::from_millis(since_boot_ms),
        since_epoch: Duration::from_millis(since_epoch_ms),
    }
}

fn record(vm_id: &str, ip: IpAddr, sent_at: ClockReading) -> HolderRecord {
    HolderRecord {
        vm_id: vm_id.to_owned(),
        data_centre_id: "plateau".to_owned(),
        peer_address: SocketAddr::new(ip, 7_000),
        sequence: 9,
        is_closed: false,
        sent_at,
        limits_active_for: LIMITS_ACTIVE_FOR,
        accounts: vec![HeldTokens {
            account_id: "workshop".to_owned(),
            net_drawn_tokens: 10_000,
            received_tokens: 500,
            sent_tokens: 100,
            spent_tokens: 2_000,
            spending_limit: SpendingLimit { tokens: 3_000, growth_tokens_per_s: 0 },
            use_tokens_per_s: 1_000,
        }],
    }
}

fn ledger_with(records: &[(&str, HolderRecord)]) -> TokenLedger {
    let mut ledger = TokenLedger::default();
    for (offset, (key, record)) in records.iter().enumerate() {
        ledger.apply(offset as u64, (*key).to_owned(), record.clone());
    }
    ledger
}

fn reclaimed_tokens(
    ledger: &TokenLedger,
    started_at: &ClockReading,
) -> Result<i64, ReclaimRefusal> {
    reclaimed_tokens_at(ledger, started_at, started_at)
}

fn reclaimed_tokens_at(
    ledger: &TokenLedger,
    started_at: &ClockReading,
    read_at: &ClockReading,
) -> Result<i64, ReclaimRefusal> {
    let own_holder_id = "vm-1/new".to_owned();
    let (_, closed) =
        close_previous_incarnation(ledger, &own_holder_id, "vm-1", VM_IP, started_at, read_at)?;
    Ok(10_000 - closed.accounts[0].net_drawn_tokens)
}

#[test]
fn all_tokens_beyond_the_limit_are_returned_after_a_quick_restart() {
    let ledger = ledger_with(&[("vm-1/old", record("vm-1", VM_IP, clocks(50_000, 900_000)))]);

    let reclaimed = reclaimed_tokens(&ledger, &clocks(51_500, 901_500));

    assert_eq!(reclaimed, Ok(7_500));
}

#[test]
fn nothing_is_returned_once_the_limit_may_have_expired() {
    let ledger = ledger_with(&[("vm-1/old", record("vm-1", VM_IP, clocks(50_000, 900_000)))]);

    let reclaimed = reclaimed_tokens(&ledger, &clocks(52_200, 902_200));

    assert_eq!(reclaimed, Err(ReclaimRefusal::LimitsExpired));
}

#[test]
fn the_time_since_boot_takes_precedence_over_a_time_of_day_that_jumped_back() {
    let ledger = ledger_with(&[("vm-1/old", record("vm-1", VM_IP, clocks(50_000, 900_000)))]);

    let reclaimed = reclaimed_tokens(&ledger, &clocks(56_000, 901_000));

    assert_eq!(reclaimed, Err(ReclaimRefusal::LimitsExpired));
}

#[test]
fn the_time_of_day_is_used_after_a_new_boot() {
    let ledger = ledger_with(&[("vm-1/old", record("vm-1", VM_IP, clocks(50_000, 900_000)))]);

    let reclaimed = reclaimed_tokens(&ledger, &clocks(1_000, 901_500));

    assert_eq!(reclaimed, Ok(7_500));
}

#[test]
fn a_time_of_day_behind_that_of_another_vm_is_not_used() {
    let other = record("vm-2", IpAddr::from([10, 0, 0, 2]), clocks(70_000, 904_000));
    let old = record("vm-1", VM_IP, clocks(50_000, 900_000));
    let ledger = ledger_with(&[("vm-1/old", old), ("vm-2/only", other)]);

    let reclaimed = reclaimed_tokens(&ledger, &clocks(1_000, 901_500));

    assert_eq!(reclaimed, Err(ReclaimRefusal::ClockBehind));
}

#[test]
fn an_incarnation_on_another_machine_with_the_same_vm_id_is_left_alone() {
    let elsewhere = record("vm-1", IpAddr::from([10, 0, 0, 9]), clocks(50_000, 900_000));
    let ledger = ledger_with(&[("vm-1/old", elsewhere)]);

    let reclaimed = reclaimed_tokens(&ledger, &clocks(51_500, 901_500));

    assert_eq!(reclaimed, Err(ReclaimRefusal::OtherAddress));
}

#[test]
fn an_incarnation_that_shut_down_is_left_alone() {
    let mut closed = record("vm-1", VM_IP, clocks(50_000, 900_000));
    closed.is_closed = true;
    let ledger = ledger_with(&[("vm-1/old", closed)]);

    let reclaimed = reclaimed_tokens(&ledger, &clocks(51_500, 901_500));

    assert_eq!(reclaimed, Err(ReclaimRefusal::NoPreviousRun));
}

// After a loss of power, VMs that read the ledger late found records that others had written since
// their start, took their own clock for one that was behind, and returned nothing.
#[test]
fn records_written_between_the_start_and_the_first_read_do_not_put_the_clock_in_doubt() {
    let other = record("vm-2", IpAddr::from([10, 0, 0, 2]), clocks(1_900, 903_300));
    let old = record("vm-1", VM_IP, clocks(50_000, 900_000));
    let ledger = ledger_with(&[("vm-1/old", old), ("vm-2/only", other)]);

    let reclaimed = reclaimed_tokens_at(&ledger, &clocks(100, 901_500), &clocks(2_000, 903_400));

    assert_eq!(reclaimed, Ok(7_500));
}

// A time of day that is corrected between the start and the first read must not hide that the VM was
// down for longer than it seems.
#[test]
fn a_time_of_day_that_was_behind_at_the_start_and_corrected_since_is_not_used() {
    let other = record("vm-2", IpAddr::from([10, 0, 0, 2]), clocks(1_900, 909_300));
    let old = record("vm-1", VM_IP, clocks(50_000, 900_000));
    let ledger = ledger_with(&[("vm-1/old", old), ("vm-2/only", other)]);

    let reclaimed = reclaimed_tokens_at(&ledger, &clocks(100, 901_500), &clocks(2_000, 909_400));

    assert_eq!(reclaimed, Err(ReclaimRefusal::ClockBehind));
}

// A VM that loses power soon after its start may be longer up at its next start than it was then, so
// that the time since boot alone does not show the new boot.
#[test]
fn a_new_boot_that_looks_like_the_earlier_one_does_not_shorten_the_time() {
    let ledger = ledger_with(&[("vm-1/old", record("vm-1", VM_IP, clocks(1_000, 900_000)))]);

    let reclaimed = reclaimed_tokens(&ledger, &clocks(1_500, 960_000));

    assert_eq!(reclaimed, Err(ReclaimRefusal::LimitsExpired));
}

// A time of day that went back over a boot says nothing about how long the VM was down.
#[test]
fn a_time_of_day_behind_that_of_the_record_is_not_used_after_a_new_boot() {
    let ledger = ledger_with(&[("vm-1/old", record("vm-1", VM_IP, clocks(50_000, 900_000)))]);

    let reclaimed = reclaimed_tokens(&ledger, &clocks(1_000, 899_900));

    assert_eq!(reclaimed, Err(ReclaimRefusal::ClocksNotComparable));
}
