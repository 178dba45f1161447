//! The unspent tokens of an account, as computed by one VM.

use std::net::SocketAddr;
use std::time::Duration;

use sassafrashoist::gateway::token_book::TokenBook;
use sassafrashoist_core::gateway::clock_reading::ClockReading;
use sassafrashoist_core::gateway::holder_record::{HeldTokens, HolderRecord};
use sassafrashoist_core::gateway::live_vms::FleetVm;
use sassafrashoist_core::gateway::permit_issuers::PermitIssuers;
use sassafrashoist_core::gateway::spending_limit::SpendingLimit;
use sassafrashoist_core::gateway::token_holding::TokenHolding;

const ACCOUNT: &str = "workshop";
const NOW: Duration = Duration::from_secs(100);

fn book() -> TokenBook {
    let address = SocketAddr::from(([10, 0, 0, 1], 7_000));
    let (holder_id, vm_id) = ("vm-1/1".to_owned(), "vm-1".to_owned());
    let issuer = FleetVm {
        vm_id: vm_id.clone(),
        peer_address: address,
        data_centre_id: "plateau".to_owned(),
    };
    let holding = TokenHolding::new(holder_id, vm_id, "plateau".to_owned(), address);
    TokenBook::new(holding, PermitIssuers::new(issuer))
}

#[test]
fn use_that_another_vm_reported_counts_only_for_a_short_time() {
    let mut book = book();

    // A report counts requests in progress with their worst case, and they may use less.
    book.record_spent_tokens("vm-2/1", ACCOUNT, 9_000, NOW);

    assert_eq!(book.unspent_tokens(ACCOUNT, 10_000, NOW), 1_000);
    assert_eq!(book.unspent_tokens(ACCOUNT, 10_000, NOW + Duration::from_secs(2)), 10_000);
}

/// A record of another VM with tokens of the account.
fn record_of_other(sequence: u64, tokens: u64) -> HolderRecord {
    let held = HeldTokens {
        account_id: ACCOUNT.to_owned(),
        net_drawn_tokens: tokens as i64,
        spending_limit: SpendingLimit { tokens, growth_tokens_per_s: 0 },
        ..HeldTokens::default()
    };
    HolderRecord {
        vm_id: "vm-2".to_owned(),
        data_centre_id: "plateau".to_owned(),
        peer_address: SocketAddr::from(([10, 0, 0, 2], 7_000)),
        sequence,
        is_closed: false,
        sent_at: ClockReading::default(),
        limits_active_for: Duration::ZERO,
        accounts: vec![held],
    }
}

/// Returns whether a search asks the other VM.
fn is_asked(book: &TokenBook, at: Duration) -> bool {
    !book.peers_with_tokens(ACCOUNT, at).is_empty()
}

// Each VM of a large fleet asked all allocators again 0.4 s after they had no tokens: 10,000 requests a
// second of which nearly all got nothing.
#[test]
fn vm_without_tokens_is_asked_less_and_less_often() {
    let mut book = book();
    book.ledger.apply(0, "vm-2/1".to_owned(), record_of_other(1, 0));
    book.record_available_tokens("vm-2/1", ACCOUNT, 0, NOW);
    let after_first = is_asked(&book, NOW + Duration::from_millis(500));

    book.record_available_tokens("vm-2/1", ACCOUNT, 0, NOW + Duration::from_secs(1));
    book.record_available_tokens("vm-2/1", ACCOUNT, 0, NOW + Duration::from_secs(2));

    assert!(after_first);
    assert!(!is_asked(&book, NOW + Duration::from_millis(3_500)));
    assert!(is_asked(&book, NOW + Duration::from_millis(3_700)));
}

#[test]
fn vm_that_gained_tokens_is_asked_at_once() {
    let mut book = book();
    book.ledger.apply(0, "vm-2/1".to_owned(), record_of_other(1, 0));
    for second in 0..3 {
        book.record_available_tokens("vm-2/1", ACCOUNT, 0, NOW + Duration::from_secs(second));
    }

    book.ledger.apply(1, "vm-2/1".to_owned(), record_of_other(2, 5_000));

    assert!(is_asked(&book, NOW + Duration::from_millis(2_100)));
}

#[test]
fn vm_that_had_tokens_again_is_asked_as_often_as_before() {
    let mut book = book();
    book.ledger.apply(0, "vm-2/1".to_owned(), record_of_other(1, 0));
    for tokens in [0, 0, 0, 900, 0] {
        book.record_available_tokens("vm-2/1", ACCOUNT, tokens, NOW);
    }

    assert!(is_asked(&book, NOW + Duration::from_millis(500)));
}
