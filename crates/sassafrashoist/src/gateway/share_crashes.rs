//! Tells the other VMs which requests crash backend servers, and which are cleared.
//!
//! A VM that sees a crash, or clears a suspect, sends datagrams to all others at once. VMs also
//! compare digests of what they know, and exchange it if they differ: datagrams may be lost, and a VM
//! that starts or was cut off knows nothing.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use eyre::WrapErr;
use sassafrashoist_core::gateway::crash_report::{
    ClearedParts, ClearedSuspect, CrashReport, SeenCrash, SeenPartCrash,
};
use sassafrashoist_core::ids::Timestamp;
use sassafrashoist_core::requests::quarantine::{RequestFingerprint, Suspicion};
use sassafrashoist_core::requests::request_hash::PromptPartKey;

use super::crash_messages::CRASHES_PATH;
use super::gateway_context::GatewayContext;
use super::peer_datagram::{MAX_DATAGRAM_BYTES, PeerDatagram};
use super::request_context::RequestContext;
use super::send_attempt::ServerSlot;
use super::send_message::send_message;

/// The time for which reports are collected before they are sent.
const BATCH_TIME: Duration = Duration::from_millis(10);
/// The bytes of a datagram that are left free, because ages are longer when it is sent again.
const MAX_AGE_GROWTH_BYTES: usize = 200;
/// The time after which a datagram about a crash is sent once more.
const REPEAT_DELAY: Duration = Duration::from_millis(100);
/// The time between two digests that this VM sends.
const DIGEST_INTERVAL: Duration = Duration::from_millis(500);
/// The time between two judgements of the parts of prompts.
const BLAME_INTERVAL: Duration = Duration::from_millis(200);
/// The number of VMs that get each digest.
const DIGEST_RECEIVERS: usize = 2;
/// The longest time until a VM that knows a complete answer of a suspect clears it. Most VMs then
/// learn first that another one has done so.
const MAX_CLEARING_DELAY_MS: u64 = 30;

/// Records and shares that a server ended under a request.
///
/// The request is not suspected if it was answered completely a short time ago. The parts of its
/// prompt are suspected all the same: an answer only clears them from the crashes before.
pub fn report_crash(context: &Arc<GatewayContext>, request: &RequestContext, slot: &ServerSlot) {
    let Some(fingerprint) = &request.fingerprint else {
        return;
    };
    let now = context.now();
    let crash = SeenCrash {
        fingerprint: fingerprint.clone(),
        server_id: slot.server_id().to_owned(),
        seen_ago: Duration::ZERO,
        ran_for: slot.sent_ago(),
    };
    let part_crash = SeenPartCrash {
        parts: request.shared_parts(),
        server_id: slot.server_id().to_owned(),
        seen_ago: Duration::ZERO,
        sent_ago: slot.sent_ago(),
    };
    let mut book = context.lock_crashes();
    book.record_part_crash(&part_crash, now);
    let is_suspect = !book.answers.contains(fingerprint, now) && book.record_crash(&crash, now);
    let suspicion = book.table.suspicion(fingerprint, now);
    drop(book);
    if is_suspect {
        log_suspicion(&crash, suspicion, "this VM");
        metrics::counter!("sassafrashoist_crash_suspects_total").increment(1);
    }
    if is_suspect || !part_crash.parts.is_empty() {
        broadcast(
            context,
            CrashReport {
                crashes: is_suspect.then_some(crash).into_iter().collect(),
                part_crashes: vec![part_crash],
                ..CrashReport::default()
            },
        );
    }
}

/// Blames the parts of prompts that explain enough crashes.
fn blame_parts(context: &GatewayContext) {
    let now = context.now();
    let mut book = context.lock_crashes();
    let blamed = book.blame_parts(now);
    let crashes: Vec<_> =
        blamed.iter().map(|part| (*part, book.parts.sightings_of(*part))).collect();
    drop(book);
    for (part, crashes) in crashes {
        let servers: Vec<_> = crashes.iter().map(|crash| crash.server_id.as_str()).collect();
        log::warn!(
            part = format!("{part:016x}"), servers = servers.join(",");
            "part of prompts blamed for crashes"
        );
        metrics::counter!("sassafrashoist_blamed_parts_total").increment(1);
    }
}

/// Records a complete answer to a request that was sent this long ago. It clears the request, and
/// the parts of its prompt from the crashes before it was sent.
pub fn record_answer(context: &Arc<GatewayContext>, request: &RequestContext, sent_ago: Duration) {
    let Some(fingerprint) = &request.fingerprint else {
        return;
    };
    let now = context.now();
    context.lock_crashes().answers.record(fingerprint, now);
    clear_suspect(context, fingerprint);
    let answered = ClearedParts { parts: request.shared_parts(), sent_ago };
    let cleared = clear_parts(context, &answered);
    if !cleared.is_empty() {
        let cleared_parts = vec![ClearedParts { parts: cleared, sent_ago }];
        broadcast(context, CrashReport { cleared_parts, ..CrashReport::default() });
    }
}

/// Records that a server goes on with an answer to a request. This keeps the parts of its prompt from
/// being judged, but clears nothing.
pub fn record_going_on(context: &Arc<GatewayContext>, request: &RequestContext) {
    let now = context.now();
    let mut parts_going_on = request.shared_parts();
    let mut book = context.lock_crashes();
    parts_going_on.retain(|part| book.parts.record_going_on(*part, now));
    drop(book);
    if !parts_going_on.is_empty() {
        broadcast(context, CrashReport { parts_going_on, ..CrashReport::default() });
    }
}

/// Clears parts of prompts; returns those that had crashes.
fn clear_parts(context: &GatewayContext, answered: &ClearedParts) -> Vec<PromptPartKey> {
    let now = context.now();
    let mut book = context.lock_crashes();
    let blamed: Vec<_> = book.parts.blamed().collect();
    let cleared = book.clear_parts(answered, now);
    drop(book);
    log_freed(context, &blamed, "this VM");
    cleared
}

/// Logs which of the parts that were blamed before are blamed no longer.
fn log_freed(
    context: &GatewayContext,
    blamed_before: &[(PromptPartKey, Timestamp)],
    by: &'static str,
) {
    for (part, _) in blamed_before {
        if context.lock_crashes().parts.trial_at(*part).is_none() {
            log::info!(
                part = format!("{part:016x}"), by = by;
                "blamed part of prompts cleared by a complete answer"
            );
        }
    }
}

/// Clears a suspect because of a complete answer, and tells the other VMs.
fn clear_suspect(context: &Arc<GatewayContext>, fingerprint: &RequestFingerprint) {
    let now = context.now();
    if !context.lock_crashes().clear(fingerprint, now, now) {
        return;
    }
    log::info!(fingerprint:% = fingerprint, by = "this VM"; "suspect cleared by a complete answer");
    metrics::counter!("sassafrashoist_crash_suspects_cleared_total").increment(1);
    let cleared = ClearedSuspect { fingerprint: fingerprint.clone(), cleared_ago: Duration::ZERO };
    broadcast(context, CrashReport { cleared: vec![cleared], ..CrashReport::default() });
}

/// Records what another VM reports.
pub fn receive_report(context: &Arc<GatewayContext>, report: &CrashReport) {
    let now = context.now();
    let mut book = context.lock_crashes();
    let blamed: Vec<_> = book.parts.blamed().collect();
    let news = book.record_report(report, now);
    drop(book);
    log_freed(context, &blamed, "another VM");
    for crash in &news.crashes {
        let mut book = context.lock_crashes();
        let suspicion = book.table.suspicion(&crash.fingerprint, now);
        let is_answered = book.answers.contains(&crash.fingerprint, now);
        drop(book);
        // A batch of an engine holds many suspects, each of which its own VM has logged.
        if matches!(suspicion, Suspicion::Quarantined(_)) {
            log_suspicion(crash, suspicion, "another VM");
        }
        if is_answered {
            start_clearing(context, crash.fingerprint.clone());
        }
    }
    for cleared in &news.cleared {
        log::info!(
            fingerprint:% = cleared.fingerprint, by = "another VM",
            age_ms = cleared.cleared_ago.as_millis() as u64;
            "suspect cleared by a complete answer"
        );
    }
}

/// Clears a suspect of which this VM knows a complete answer, unless another VM does so first.
fn start_clearing(context: &Arc<GatewayContext>, fingerprint: RequestFingerprint) {
    let context = Arc::clone(context);
    tokio::spawn(async move {
        let delay = rand::random_range(0..=MAX_CLEARING_DELAY_MS);
        tokio::time::sleep(Duration::from_millis(delay)).await;
        clear_suspect(&context, &fingerprint);
    });
}

fn log_suspicion(crash: &SeenCrash, suspicion: Suspicion, by: &'static str) {
    log::info!(
        fingerprint:% = crash.fingerprint, server = crash.server_id, by = by,
        age_ms = crash.seen_ago.as_millis() as u64,
        is_quarantined = matches!(suspicion, Suspicion::Quarantined(_));
        "request suspected of crashing a server"
    );
}

/// Sends a report to all other VMs soon, together with what else is reported meanwhile.
fn broadcast(context: &Arc<GatewayContext>, report: CrashReport) {
    let now = context.now();
    if context.lock_crashes().outbox.add(report, now) {
        let context = Arc::clone(context);
        tokio::spawn(async move { send_outbox(&context).await });
    }
}

/// Sends what is in the outbox after [`BATCH_TIME`], twice, because datagrams may be lost.
async fn send_outbox(context: &GatewayContext) {
    tokio::time::sleep(BATCH_TIME).await;
    let sent_at = context.now();
    let report = context.lock_crashes().outbox.take(sent_at);
    let encoded_bytes = |part: &CrashReport| {
        let datagram = PeerDatagram::CrashReport(part.clone());
        postcard::to_stdvec(&datagram).map_or(usize::MAX, |bytes| bytes.len())
    };
    let mut parts = report.split(MAX_DATAGRAM_BYTES - MAX_AGE_GROWTH_BYTES, encoded_bytes);
    let peers = context.lock_tokens().peer_addresses();
    send_parts(context, &parts, &peers);
    tokio::time::sleep(REPEAT_DELAY).await;
    let age = context.now().saturating_sub(sent_at);
    parts.iter_mut().for_each(|part| part.add_age(age));
    send_parts(context, &parts, &peers);
}

fn send_parts(context: &GatewayContext, parts: &[CrashReport], peers: &[SocketAddr]) {
    for part in parts {
        send_datagram(context, &PeerDatagram::CrashReport(part.clone()), peers);
    }
}

fn send_datagram(context: &GatewayContext, datagram: &PeerDatagram, peers: &[SocketAddr]) {
    let bytes = match postcard::to_stdvec(datagram) {
        Ok(bytes) if bytes.len() <= MAX_DATAGRAM_BYTES => bytes,
        Ok(bytes) => {
            log::warn!(bytes = bytes.len(); "datagram about a crash is too long");
            return;
        }
        Err(error) => {
            log::error!(error:% = error; "failed to encode a datagram about a crash");
            return;
        }
    };
    let Some(socket) = context.datagram_socket() else {
        return;
    };
    metrics::counter!("sassafrashoist_crash_datagrams_total").increment(peers.len() as u64);
    for peer in peers {
        if let Err(error) = socket.try_send_to(&bytes, *peer) {
            log::info!(vm:% = peer, error:% = error; "datagram about a crash not sent");
        }
    }
}

/// Judges the parts of prompts at regular times until cancelled, however many reports arrive.
pub async fn judge_parts(context: Arc<GatewayContext>) {
    loop {
        tokio::select! {
            () = tokio::time::sleep(BLAME_INTERVAL) => {}
            () = context.cancel.cancelled() => return,
        }
        blame_parts(&context);
    }
}

/// Sends digests of the crashes that this VM knows to random VMs until cancelled.
pub async fn send_digests(context: Arc<GatewayContext>) {
    loop {
        tokio::select! {
            () = tokio::time::sleep(DIGEST_INTERVAL) => {}
            () = context.cancel.cancelled() => return,
        }
        let peers = context.lock_tokens().peer_addresses();
        if peers.is_empty() {
            continue;
        }
        let receivers: Vec<_> =
            (0..DIGEST_RECEIVERS).map(|_| peers[rand::random_range(0..peers.len())]).collect();
        let digest = context.lock_crashes().digest(context.now());
        send_datagram(&context, &PeerDatagram::CrashDigest(digest), &receivers);
    }
}

/// Exchanges all known crashes with the sender of a digest if it differs from that of this VM.
pub fn compare_digest(context: &Arc<GatewayContext>, digest: u64, sender: SocketAddr) {
    if context.lock_crashes().digest(context.now()) == digest {
        return;
    }
    let context = Arc::clone(context);
    tokio::spawn(async move {
        if let Err(error) = exchange_crashes(&context, sender).await {
            log::info!(
                vm:% = sender, error:% = format!("{error:#}");
                "crashes not exchanged with another VM"
            );
        }
    });
}

async fn exchange_crashes(context: &Arc<GatewayContext>, peer: SocketAddr) -> eyre::Result<()> {
    let report = context.lock_crashes().report(context.now());
    let body = send_message(peer, CRASHES_PATH, &report).await?;
    let report = postcard::from_bytes(&body).wrap_err("failed to decode the response")?;
    receive_report(context, &report);
    Ok(())
}

/// Receives all crashes that another VM knows, and returns those that this VM knows.
pub fn answer_exchange(context: &Arc<GatewayContext>, report: &CrashReport) -> CrashReport {
    receive_report(context, report);
    context.lock_crashes().report(context.now())
}
