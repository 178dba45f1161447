//! Fetches tokens for all requests that wait for those of one account.

use std::sync::Arc;
use std::time::Duration;

use sassafrashoist_core::gateway::token_queue::WaitingRequest;
use sassafrashoist_core::ids::{ClientAccountId, Tokens};

use super::ask_peers::ask_peer;
use super::gateway_context::GatewayContext;
use super::token_book::RichPeer;

/// How long a record in the ledger is waited for before other VMs are asked.
const RECORD_WAIT: Duration = Duration::from_millis(130);
/// How long one other VM is waited for; what it gives later is taken in all the same.
const PEER_WAIT: Duration = Duration::from_millis(120);
/// The most other VMs that are asked in one search.
const MAX_PEERS: usize = 6;

/// Starts to fetch tokens of an account unless that is in progress.
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

/// Fetches until no request waits any more and enough is held for those to come.
async fn fetch_tokens(context: &Arc<GatewayContext>, account_id: &ClientAccountId) {
    loop {
        fetch_for_waiting(context, account_id).await;
        ask_in_advance(context, account_id).await;
        if context.lock_tokens().queue.first(account_id).is_none() {
            return;
        }
    }
}

/// Fetches until no request waits any more; one for which a whole search found too little is turned
/// away.
async fn fetch_for_waiting(context: &Arc<GatewayContext>, account_id: &ClientAccountId) {
    while let Some(first) = next_to_serve(context, account_id) {
        wait_for_record(context, account_id).await;
        ask_peers(context, account_id).await;
        let now = context.now();
        let mut tokens = context.lock_tokens();
        tokens.serve_queue(now);
        if tokens.queue.first(account_id) == Some(first) {
            tokens.record_shortage(account_id, first.needed_tokens, now);
        }
    }
}

/// Asks one other VM for tokens that no request waits for yet, if few are left.
async fn ask_in_advance(context: &Arc<GatewayContext>, account_id: &str) {
    let Some((peer, liked)) = advance_question(context, account_id) else {
        return;
    };
    if tokio::time::timeout(PEER_WAIT, ask_peer(context, peer, account_id, 0, liked)).await.is_err()
    {
        log::info!(account = account_id; "another VM takes long to answer");
    }
}

/// Returns whom to ask for how much in advance.
fn advance_question(context: &GatewayContext, account_id: &str) -> Option<(RichPeer, Tokens)> {
    let now = context.now();
    let tokens = context.lock_tokens();
    if !tokens.runs_low(account_id, now) {
        return None;
    }
    let richest = tokens.rich_peers(account_id, now).into_iter().next()?;
    Some((richest, tokens.tokens_ahead(account_id, now)))
}

/// Returns the first request for which a search may find enough; those before it get what is held or
/// are turned away.
fn next_to_serve(context: &GatewayContext, account_id: &str) -> Option<WaitingRequest> {
    let now = context.now();
    let mut tokens = context.lock_tokens();
    tokens.serve_queue(now);
    while let Some(first) = tokens.queue.first(account_id) {
        if !tokens.is_short(account_id, first.needed_tokens, now) {
            return Some(first);
        }
        tokens.leave_queue(account_id, first.ticket);
        tokens.serve_queue(now);
    }
    None
}

/// Waits for a record of this VM in the ledger, if one could bring tokens.
async fn wait_for_record(context: &GatewayContext, account_id: &str) {
    let give_up_at = context.now() + RECORD_WAIT;
    while context.gains_by_record(account_id) {
        // Registered before the wish, so that its record cannot be missed.
        let changed = context.tokens_changed.notified();
        if !context.request_ledger_record(account_id) || context.now() >= give_up_at {
            return;
        }
        // A timeout is the end of the wait, which the next round sees.
        let _ = tokio::time::timeout_at(context.instant(give_up_at), changed).await;
    }
}

/// Asks other VMs for what the waiting requests lack.
async fn ask_peers(context: &Arc<GatewayContext>, account_id: &str) {
    let peers = context.lock_tokens().rich_peers(account_id, context.now());
    for peer in peers.into_iter().take(MAX_PEERS) {
        let (missing, liked) = tokens_to_ask_for(context, account_id);
        if missing == 0 {
            return;
        }
        let question = ask_peer(context, peer, account_id, missing, liked);
        if tokio::time::timeout(PEER_WAIT, question).await.is_err() {
            log::info!(account = account_id; "another VM takes long to answer");
        }
    }
}

/// Returns the tokens that the waiting requests lack, and those that would be liked.
fn tokens_to_ask_for(context: &GatewayContext, account_id: &str) -> (Tokens, Tokens) {
    let now = context.now();
    let mut tokens = context.lock_tokens();
    tokens.serve_queue(now);
    let missing = tokens.missing_tokens(account_id, now);
    (missing, missing + tokens.tokens_ahead(account_id, now))
}
