use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use proptest::prelude::*;
use sassafrashoist_core::gateway::clock_reading::ClockReading;
use sassafrashoist_core::gateway::holder_record::{HeldTokens, HolderRecord};
use sassafrashoist_core::gateway::ledger_writer::{AppendOutcome, LedgerWriter};
use sassafrashoist_core::gateway::spending_limit::SpendingLimit;
use sassafrashoist_core::gateway::token_holding::TokenHolding;
use sassafrashoist_core::gateway::token_ledger::TokenLedger;

use super::simulated_fleet::{ACCOUNT, config_with, holding_of};

const VM_1: &str = "vm-1/1";
const PEER_ADDRESS: ([u8; 4], u16) = ([10, 0, 0, 1], 7_000);

fn record(sequence: u64) -> HolderRecord {
    HolderRecord {
        vm_id: "vm-1".to_owned(),
        data_centre_id: "plateau".to_owned(),
        peer_address: SocketAddr::from(PEER_ADDRESS),
        sequence,
        is_closed: false,
        sent_at: ClockReading::default(),
        limits_active_for: Duration::ZERO,
        accounts: Vec::new(),
    }
}

fn newest_sequence(ledger: &TokenLedger) -> u64 {
    ledger.newest_record(VM_1).unwrap().1.sequence
}

// A log that has lost records gives their offsets out again.
#[test]
fn record_at_a_reused_offset_replaces_an_older_one_of_its_holder() {
    let mut ledger = TokenLedger::default();
    ledger.apply(90, VM_1.to_owned(), record(7));
    ledger.advance_end_offset(91);

    let has_lost_records = ledger.set_end_offset(60);
    ledger.apply(40, VM_1.to_owned(), record(5));
    let after_loss = newest_sequence(&ledger);
    ledger.apply(60, VM_1.to_owned(), record(8));

    assert!(has_lost_records);
    assert_eq!(ledger.end_offset(), 60);
    assert_eq!((after_loss, newest_sequence(&ledger)), (7, 8));
}

// The newest incarnation of a VM is the one that appended last, in the log as it is now.
#[test]
fn incarnation_after_a_loss_of_records_is_the_live_one() {
    let mut ledger = TokenLedger::default();
    ledger.apply(90, VM_1.to_owned(), record(7));
    ledger.advance_end_offset(91);

    ledger.set_end_offset(60);
    ledger.apply(60, "vm-1/2".to_owned(), record(1));

    let live: Vec<_> = ledger.live_holders().map(|(holder_id, _)| holder_id.as_str()).collect();
    assert_eq!(live, ["vm-1/2"]);
}

/// Starts the append of a first draw at offset 91; returns the ledger after the log went back.
fn begin_draw_before_loss(outcome: AppendOutcome) -> (LedgerWriter, TokenHolding, TokenLedger) {
    let mut ledger = TokenLedger::default();
    ledger.advance_end_offset(91);
    let mut holding = holding_of("vm-1", 1, SocketAddr::from(PEER_ADDRESS));
    let now = Duration::from_secs(50);
    let planned = holding.plan_record(&ledger, &config_with(9_000), now, ClockReading::default());
    let mut writer = LedgerWriter::default();
    writer.begin(planned, ledger.end_offset());
    writer.record_outcome(outcome, &mut holding);
    ledger.set_end_offset(60);
    (writer, holding, ledger)
}

// An append in doubt may be executed when the log reaches its offset again.
#[test]
fn append_in_doubt_waits_until_a_log_that_went_back_has_passed_its_offset() {
    let (mut writer, mut holding, mut ledger) = begin_draw_before_loss(AppendOutcome::Unknown);

    writer.resolve(&ledger, &mut holding);
    let is_beyond_end = writer.is_beyond_end(&ledger);
    ledger.advance_end_offset(92);
    writer.resolve(&ledger, &mut holding);

    assert!(is_beyond_end);
    assert!(writer.pending().is_none());
}

#[test]
fn rejected_append_does_not_wait_for_a_log_that_went_back() {
    let (mut writer, mut holding, ledger) = begin_draw_before_loss(AppendOutcome::EndMoved);

    writer.resolve(&ledger, &mut holding);

    assert!(writer.pending().is_none());
}

// Sums that are kept between changes of the ledger must follow each change.
#[test]
fn sums_over_holders_follow_each_record() {
    let held = |net_drawn_tokens, use_tokens_per_s| HeldTokens {
        account_id: ACCOUNT.to_owned(),
        net_drawn_tokens,
        received_tokens: 0,
        sent_tokens: 0,
        spent_tokens: 10,
        spending_limit: SpendingLimit::default(),
        use_tokens_per_s,
    };
    let with = |sequence, is_closed, held| HolderRecord {
        is_closed,
        accounts: vec![held],
        ..record(sequence)
    };
    let mut ledger = TokenLedger::default();
    let sums = |ledger: &TokenLedger| {
        let drawn = ledger.net_drawn_tokens(ACCOUNT);
        (drawn, ledger.spent_tokens(ACCOUNT), ledger.use_tokens_per_s(ACCOUNT))
    };

    let none = sums(&ledger);
    ledger.apply(1, VM_1.to_owned(), with(1, false, held(100, 5)));
    let first = sums(&ledger);
    ledger.apply(2, VM_1.to_owned(), with(2, false, held(300, 7)));
    let newer = sums(&ledger);
    ledger.apply(3, VM_1.to_owned(), with(1, false, held(900, 9)));
    let older = sums(&ledger);
    ledger.apply(4, VM_1.to_owned(), with(3, true, held(40, 7)));
    ledger.apply(5, "vm-1/2".to_owned(), with(1, false, held(60, 2)));
    let both = sums(&ledger);

    assert_eq!(
        [none, first, newer, older, both],
        [(0, 0, 0), (100, 10, 5), (300, 10, 7), (300, 10, 7), (100, 20, 2)]
    );
}

// Sums that wrap would show tokens as not drawn that another holder has.
#[test]
fn sums_of_the_largest_counts_do_not_wrap() {
    let mut ledger = TokenLedger::default();
    for (offset, vm_id) in ["vm-1", "vm-2"].into_iter().enumerate() {
        let mut record = HolderRecord { vm_id: vm_id.to_owned(), ..record(1) };
        record.accounts = vec![HeldTokens {
            account_id: "workshop".to_owned(),
            net_drawn_tokens: i64::MAX,
            spent_tokens: u64::MAX,
            use_tokens_per_s: u64::MAX,
            ..HeldTokens::default()
        }];
        ledger.apply(offset as u64, format!("{vm_id}/1"), record);
    }

    assert_eq!(ledger.net_drawn_tokens("workshop"), i64::MAX);
    assert_eq!(ledger.spent_tokens("workshop"), u64::MAX);
    assert_eq!(ledger.use_tokens_per_s("workshop"), u64::MAX);
}

/// Sums of one account over a list of the newest record of each holder.
fn sums_of(holders: &BTreeMap<String, (u64, HolderRecord)>) -> (i64, u64, u64) {
    let accounts = |record: &HolderRecord| record.account(ACCOUNT).cloned().unwrap_or_default();
    let drawn = holders.values().map(|(_, record)| accounts(record).net_drawn_tokens).sum();
    let spent = holders.values().map(|(_, record)| accounts(record).spent_tokens).sum();
    let mut newest: BTreeMap<&str, (u64, &HolderRecord)> = BTreeMap::new();
    for (offset, record) in holders.values() {
        let entry = newest.entry(&record.vm_id).or_insert((*offset, record));
        if entry.0 < *offset {
            *entry = (*offset, record);
        }
    }
    let live = newest.into_values().filter(|(_, record)| !record.is_closed);
    (drawn, spent, live.map(|(_, record)| accounts(record).use_tokens_per_s).sum())
}

proptest! {
    // The sums change with each record; summing up hundreds of holders again took a VM with little
    // processor time longer than the time between two records.
    #[test]
    fn sums_follow_the_newest_records_of_all_holders(
        steps in prop::collection::vec((0..4_u8, 1..3_u8, any::<bool>(), -9_i64..9, 0..9_u64), 1..60),
    ) {
        let (mut ledger, mut holders) = (TokenLedger::default(), BTreeMap::new());
        for (offset, (vm, incarnation, is_closed, drawn, spent)) in (0..).zip(steps) {
            let held = HeldTokens {
                account_id: ACCOUNT.to_owned(),
                net_drawn_tokens: drawn,
                spent_tokens: spent,
                use_tokens_per_s: spent,
                ..HeldTokens::default()
            };
            let record = HolderRecord {
                vm_id: format!("vm-{vm}"),
                is_closed,
                accounts: vec![held],
                ..record(offset)
            };
            let holder_id = format!("vm-{vm}/{incarnation}");

            ledger.apply(offset, holder_id.clone(), record.clone());
            holders.insert(holder_id, (offset, record));

            let sums = (
                ledger.net_drawn_tokens(ACCOUNT),
                ledger.spent_tokens(ACCOUNT),
                ledger.use_tokens_per_s(ACCOUNT),
            );
            prop_assert_eq!(sums, sums_of(&holders));
        }
    }
}
