//! Fetches tokens of one account for all requests that wait for them.
//!
//! A search for tokens first waits for this VM to append a record to the ledger, and then requests
//! what is still missing from other VMs.

use std::sync::Arc;
use std::time::Duration;

use sassafrashoist_core::gateway::token_queue::WaitingRequest;
use sassafrashoist_core::ids::{ClientAccountId, Tokens};

use super::gateway_context::GatewayContext;
use super::request_tokens::request_tokens;
use super::token_book::PeerHolder;

/// How long to wait for this VM's record in the ledger before requesting tokens from other VMs.
const RECORD_TIMEOUT: Duration = Duration::from_millis(130);
/// How long to wait for the response of one other VM. Tokens that arrive later are still added to
/// the holding.
const PEER_TIMEOUT: Duration = Duration::from_millis(120);
/// The maximum number of other VMs that one search requests tokens from.
const MAX_PEERS: usize = 6;

/// Starts to fetch tokens of an account unless a fetch is already in progress.
pub fn start_fetching(context: &Arc<GatewayContext>, account_id: &str) {
    if !context.lock_tokens().fetching.insert(account_id.to_owned()) {
        return;
    }
    let (context, account_id) = (Arc::clone(context), account_id.to_owned());
    tokio::spawn(async move {
        fetch_tokens(&context, &account_id).await;
        context.lock_tokens().fetching.remove(&account_id);
    });
}

/// Fetches tokens until no request waits any more, and prefetches some for later requests.
async fn fetch_tokens(context: &Arc<GatewayContext>, account_id: &ClientAccountId) {
    loop {
        fetch_for_waiting(context, account_id).await;
        prefetch_from_peer(context, account_id).await;
        if context.lock_tokens().queue.first(account_id).is_none() {
            return;
        }
    }
}

/// Searches for tokens until no request waits any more. A request for which a complete search found
/// too few tokens is rejected.
async fn fetch_for_waiting(context: &Arc<GatewayContext>, account_id: &ClientAccountId) {
    while let Some(first) = next_to_serve(context, account_id) {
        wait_for_record(context, account_id).await;
        request_from_peers(context, account_id).await;
        let now = context.now();
        let mut tokens = context.lock_tokens();
        tokens.serve_queue(now);
        if tokens.queue.first(account_id) == Some(first) {
            tokens.record_shortage(account_id, first.needed_tokens, now);
        }
    }
}

/// Requests tokens from one other VM before any request waits for them, if few are left.
async fn prefetch_from_peer(context: &Arc<GatewayContext>, account_id: &str) {
    let Some((peer, desired)) = plan_prefetch(context, account_id) else {
        return;
    };
    if tokio::time::timeout(PEER_TIMEOUT, request_tokens(context, peer, account_id, 0, desired))
        .await
        .is_err()
    {
        log::info!(account = account_id; "another VM takes long to answer");
    }
}

/// Returns the VM to prefetch tokens from and how many to request; `None` if this VM holds enough
/// or no other VM is assumed to have any.
fn plan_prefetch(context: &GatewayContext, account_id: &str) -> Option<(PeerHolder, Tokens)> {
    let now = context.now();
    let tokens = context.lock_tokens();
    if !tokens.should_prefetch(account_id, now) {
        return None;
    }
    let peer = tokens.peers_with_tokens(account_id, now).into_iter().next()?;
    Some((peer, tokens.prefetch_tokens(account_id, now)))
}

/// Returns the first waiting request for which a search may find enough tokens. Requests before it
/// get tokens that this VM holds, or are rejected.
fn next_to_serve(context: &GatewayContext, account_id: &str) -> Option<WaitingRequest> {
    let now = context.now();
    let mut tokens = context.lock_tokens();
    tokens.serve_queue(now);
    while let Some(first) = tokens.queue.first(account_id) {
        if !tokens.has_recent_shortage(account_id, first.needed_tokens, now) {
            return Some(first);
        }
        tokens.leave_queue(account_id, first.ticket);
        tokens.serve_queue(now);
    }
    None
}

/// Waits until this VM has appended a record to the ledger, if that could make tokens spendable on
/// it.
async fn wait_for_record(context: &GatewayContext, account_id: &str) {
    let give_up_at = context.now() + RECORD_TIMEOUT;
    while context.may_gain_tokens_by_append(account_id) {
        // Registered before the record is requested, so that its notification cannot be missed.
        let changed = context.tokens_changed.notified();
        if !context.request_ledger_record(account_id) || context.now() >= give_up_at {
            return;
        }
        // After a timeout, the next iteration returns.
        let _ = tokio::time::timeout_at(context.instant(give_up_at), changed).await;
    }
}

/// Requests the tokens that the waiting requests lack from other VMs, one after the other.
async fn request_from_peers(context: &Arc<GatewayContext>, account_id: &str) {
    let peers = context.lock_tokens().peers_with_tokens(account_id, context.now());
    for peer in peers.into_iter().take(MAX_PEERS) {
        let (missing, desired) = tokens_to_request(context, account_id);
        if missing == 0 {
            return;
        }
        let request = request_tokens(context, peer, account_id, missing, desired);
        if tokio::time::timeout(PEER_TIMEOUT, request).await.is_err() {
            log::info!(account = account_id; "another VM takes long to answer");
        }
    }
}

/// Returns the tokens that the waiting requests lack, and the tokens desired in total.
fn tokens_to_request(context: &GatewayContext, account_id: &str) -> (Tokens, Tokens) {
    let now = context.now();
    let mut tokens = context.lock_tokens();
    tokens.serve_queue(now);
    let missing = tokens.missing_tokens(account_id, now);
    (missing, missing + tokens.prefetch_tokens(account_id, now))
}
