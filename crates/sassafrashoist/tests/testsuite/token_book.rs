//! The unspent tokens of an account, as computed by one VM.

use std::net::SocketAddr;
use std::time::Duration;

use sassafrashoist::gateway::token_book::TokenBook;
use sassafrashoist_core::gateway::live_vms::FleetVm;
use sassafrashoist_core::gateway::permit_issuers::PermitIssuers;
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
