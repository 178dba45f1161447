//! Finds where a stream began that a caller resumes.

use std::sync::Arc;
use std::time::Duration;

use eyre::WrapErr;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use sassafrashoist_core::gateway::SoftwareVersion;
use sassafrashoist_core::gateway::live_vms::FleetVm;
use sassafrashoist_core::gateway::origin_batch::{StreamPlace, stored_stream_key};
use sassafrashoist_core::gateway::origin_wait::OriginWait;
use sassafrashoist_core::gateway::route_history::SolePool;
use sassafrashoist_core::gateway::server_listing::ServerListing;
use sassafrashoist_core::gateway::stream_origins::{StreamKey, StreamOrigin, stream_key};
use sassafrashoist_core::ids::PoolId;

use super::check_server_list::read_unapplied_entries;
use super::confirm_config::wait_until_newest_config;
use super::gateway_context::GatewayContext;
use super::read_origin_history::read_origin_history;
use super::read_stored_origins::{OriginsOutOfReach, read_stored_origin};
use super::request_context::{RequestContext, ResumedStream};
use super::send_message::send_message;
use super::share_stream_origin::KEEPER_COUNT;
use super::stream_origin_messages::{KeptOrigin, STREAM_ORIGIN_PATH, StreamOriginRequest};

/// The reason when the origin of a stream is not found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnknownOrigin {
    /// A VM that may keep the origin did not respond.
    KeeperOutOfReach,
    /// No VM that should keep the origin does.
    NotKept,
    /// The log service, which may have the origin, cannot be read.
    LogOutOfReach,
    /// The server list cannot be read, which might tell the version without the origin.
    ListOutOfReach,
    /// The server list may lack the entry of a server that started again, for this time.
    ListTooRecent(Duration),
    /// The active configuration, which might tell the pool, is not known to be the newest one.
    ConfigOutOfReach,
}

impl UnknownOrigin {
    /// Returns whether the origin may be found a little later.
    fn is_temporary(self) -> bool {
        !matches!(self, Self::NotKept)
    }

    fn known_delay(self) -> Option<Duration> {
        match self {
            Self::ListTooRecent(delay) => Some(delay),
            _ => None,
        }
    }
}

/// Finds where the stream began that a request resumes, and waits within the patience of its caller
/// while that cannot be found yet.
///
/// # Errors
///
/// Fails if the origin is not known by then, or if waiting does not help. It is never guessed.
pub async fn find_stream_origin(
    context: &Arc<GatewayContext>,
    request: &RequestContext,
) -> Result<ResumedStream, UnknownOrigin> {
    let wait =
        OriginWait::begin(request.arrived_at, request.deadline, request.route.target_latency);
    loop {
        let unknown = match find_now(context, request).await {
            Err(unknown) if unknown.is_temporary() => unknown,
            result => return result,
        };
        let Some(delay) = wait.next_delay(unknown.known_delay(), context.now()) else {
            return Err(unknown);
        };
        log::info!(
            id = request.id(), reason:? = unknown, delay_ms = delay.as_millis() as u64;
            "origin of a stream not found yet; looking for it again after the delay"
        );
        metrics::counter!("sassafrashoist_stream_origin_waits_total").increment(1);
        tokio::time::sleep(delay).await;
    }
}

/// Finds where the stream began that a request resumes: on this VM, on the VMs that keep its origin, in
/// the log, or by the fact that its route has led to one pool only, of one software version, for as long as a
/// stream lasts, or ever.
async fn find_now(
    context: &Arc<GatewayContext>,
    request: &RequestContext,
) -> Result<ResumedStream, UnknownOrigin> {
    let mut unknown = UnknownOrigin::NotKept;
    if let Some(stream_id) = &request.caller.resumed_request_id {
        let key = stream_key(stream_id);
        if is_origin_here_reliable(context)
            && let Some(found) = find_here(context, request, key)
        {
            return check_origin(context, found);
        }
        match ask_keepers(context, request, stream_id).await {
            Ok(found) => return check_origin(context, found),
            Err(error) => unknown = error,
        }
        match find_in_log(context, request, stream_id).await {
            Ok(found) => return Ok(found),
            Err(UnknownOrigin::NotKept) => {}
            Err(error) => unknown = error,
        }
    }
    match find_by_sole_version(context, request, unknown).await {
        Err(error) if error == unknown => find_by_history(context, request, unknown).await,
        result => result,
    }
}

/// Returns whether this VM reads the server list, so that it would know of an origin that names an
/// earlier incarnation of its server. Without others, there is nobody to ask.
fn is_origin_here_reliable(context: &GatewayContext) -> bool {
    let now = context.now();
    context.lock_servers().pool_versions.is_current(now)
        || context.lock_tokens().issuers.live_vms.others(now).next().is_none()
}

fn check_origin(
    context: &GatewayContext,
    found: ResumedStream,
) -> Result<ResumedStream, UnknownOrigin> {
    if context.lock_servers().is_origin_doubtful(&found.origin, found.began_at) {
        return Err(UnknownOrigin::NotKept);
    }
    Ok(found)
}

fn find_here(
    context: &GatewayContext,
    request: &RequestContext,
    key: StreamKey,
) -> Option<ResumedStream> {
    let streams = context.lock_streams();
    let (began_at, origin) = streams.find(key, request.account_id.as_deref())?;
    Some(ResumedStream { origin: origin.clone(), began_at: *began_at })
}

async fn ask_keepers(
    context: &Arc<GatewayContext>,
    request: &RequestContext,
    stream_id: &str,
) -> Result<ResumedStream, UnknownOrigin> {
    let now = context.now();
    let keepers = context.lock_tokens().issuers.live_vms.spread(stream_id, KEEPER_COUNT, now);
    let own_id = context.settings().vm_id.clone();
    let question =
        StreamOriginRequest { key: stream_key(stream_id), account_id: request.account_id.clone() };
    let others = keepers.iter().filter(|keeper| keeper.vm_id != own_id);
    let mut answers: FuturesUnordered<_> =
        others.map(|keeper| ask_keeper(keeper, &question)).collect();
    let mut unknown = UnknownOrigin::NotKept;
    while let Some(answer) = answers.next().await {
        match answer {
            Ok(Some(kept)) => {
                let began_at = context.now().saturating_sub(kept.began_ago);
                return Ok(ResumedStream { origin: kept.origin, began_at });
            }
            Ok(None) => {}
            Err(error) => {
                log::info!(
                    id = request.id(), stream = stream_id, error:% = format!("{error:#}");
                    "origin of a stream not received from another VM"
                );
                unknown = UnknownOrigin::KeeperOutOfReach;
            }
        }
    }
    Err(unknown)
}

async fn ask_keeper(
    keeper: &FleetVm,
    question: &StreamOriginRequest,
) -> eyre::Result<Option<KeptOrigin>> {
    let body = send_message(keeper.peer_address, STREAM_ORIGIN_PATH, question).await?;
    postcard::from_bytes(&body).wrap_err("failed to decode the response")
}

/// Finds the origin of a stream in the log, where VMs write those of their streams.
async fn find_in_log(
    context: &Arc<GatewayContext>,
    request: &RequestContext,
    stream_id: &str,
) -> Result<ResumedStream, UnknownOrigin> {
    let key = stored_stream_key(stream_id, request.account_id.as_deref());
    let stored = read_stored_origin(context, key)
        .await
        .map_err(|OriginsOutOfReach| UnknownOrigin::LogOutOfReach)?
        .ok_or(UnknownOrigin::NotKept)?;
    let now = context.now();
    {
        let servers = context.lock_servers();
        if stored.is_doubtful(servers.listings()) {
            return Err(UnknownOrigin::NotKept);
        }
        // The entry of a server that had started again before the stream began may still be missing.
        let delay = servers.entry_delay_left(now).ok_or(UnknownOrigin::ListOutOfReach)?;
        if !delay.is_zero() {
            return Err(UnknownOrigin::ListTooRecent(delay));
        }
    }
    let StreamPlace { pool_id, software_version } = stored.place;
    metrics::counter!("sassafrashoist_stream_origins_read_total").increment(1);
    log::info!(
        id = request.id(), stream = stream_id, pool = pool_id, version = software_version;
        "origin of a stream found in the log"
    );
    Ok(begun_at_any_server(context, request, pool_id, software_version))
}

async fn find_by_sole_version(
    context: &Arc<GatewayContext>,
    request: &RequestContext,
    unknown: UnknownOrigin,
) -> Result<ResumedStream, UnknownOrigin> {
    let asked_at = context.now();
    let path = request.uri.path();
    let sole_pool = || context.lock_routes().sole_pool(&request.route.host, path, asked_at);
    let sole_version = |pool: &SolePool, unapplied: &[ServerListing]| {
        let (pool_id, max_age) = (&pool.pool_id, pool.max_stream_age);
        context.lock_servers().sole_version(pool_id, max_age, unapplied, context.now())
    };
    let pool = sole_pool().ok_or(unknown)?;
    sole_version(&pool, &[]).ok_or(unknown)?;
    // The stream may have begun through another VM, at a server that has just joined or at a pool
    // that its route has just been moved to.
    let (unapplied, is_newest) =
        tokio::join!(read_unapplied_entries(context), wait_until_newest_config(context, asked_at));
    let unapplied = unapplied.ok_or(UnknownOrigin::ListOutOfReach)?;
    if !is_newest {
        return Err(UnknownOrigin::ConfigOutOfReach);
    }
    let pool = sole_pool().ok_or(unknown)?;
    let software_version = sole_version(&pool, &unapplied).ok_or(unknown)?;
    Ok(begun_at_any_server(context, request, pool.pool_id, software_version))
}

/// Finds the pool and the version by all that the log has ever named. That is read only where its newest
/// state names one of each.
async fn find_by_history(
    context: &Arc<GatewayContext>,
    request: &RequestContext,
    unknown: UnknownOrigin,
) -> Result<ResumedStream, UnknownOrigin> {
    let [destination] = request.route.destinations.as_slice() else {
        return Err(unknown);
    };
    check_listed_version(context, &destination.pool_id, unknown)?;
    let (host, path) = (&request.route.host, request.uri.path());
    let origin = read_origin_history(context, |history| history.sole_origin(host, path)).await;
    let (pool_id, software_version) =
        origin.ok_or(UnknownOrigin::ListOutOfReach)?.ok_or(unknown)?;
    log::info!(
        id = request.id(), pool = pool_id, version = software_version;
        "origin of a stream found: the log has named one pool and version only"
    );
    Ok(begun_at_any_server(context, request, pool_id, software_version))
}

/// Requires that the list names one version of a pool, and that no entry may be missing from it.
fn check_listed_version(
    context: &GatewayContext,
    pool_id: &str,
    unknown: UnknownOrigin,
) -> Result<(), UnknownOrigin> {
    let now = context.now();
    let servers = context.lock_servers();
    let delay = servers.entry_delay_left(now).ok_or(UnknownOrigin::ListOutOfReach)?;
    servers.sole_version(pool_id, Duration::ZERO, &[], now).ok_or(unknown)?;
    if delay.is_zero() { Ok(()) } else { Err(UnknownOrigin::ListTooRecent(delay)) }
}

/// Returns an origin that names no server.
fn begun_at_any_server(
    context: &GatewayContext,
    request: &RequestContext,
    pool_id: PoolId,
    software_version: SoftwareVersion,
) -> ResumedStream {
    let origin = StreamOrigin {
        pool_id,
        server_id: String::new(),
        started_at_unix_ms: 0,
        software_version,
        account_id: request.account_id.clone(),
    };
    ResumedStream { origin, began_at: context.now() }
}

/// Returns the origin of a stream that this VM keeps, for another VM, unless the server list shows
/// that it may name the wrong incarnation of its server: the other VM may have an older list.
pub fn find_kept_origin(
    context: &GatewayContext,
    question: &StreamOriginRequest,
) -> Option<KeptOrigin> {
    let now = context.now();
    let streams = context.lock_streams();
    let (began_at, origin) = streams.find(question.key, question.account_id.as_deref())?.clone();
    drop(streams);
    if context.lock_servers().is_origin_outdated(&origin, began_at) {
        return None;
    }
    Some(KeptOrigin { origin, began_ago: now.saturating_sub(began_at) })
}
