//! Maintains this VM's token holding: reads the ledger of prepaid tokens, and appends the records
//! that draw and return tokens.
//!
//! Appends use optimistic concurrency: the log service accepts a record only if the log still ends
//! at the offset up to which this VM has read it. Otherwise this VM reads the new records and tries
//! again.

use std::sync::Arc;
use std::time::Duration;

use eyre::{WrapErr, bail};
use sassafrashoist_adapter::log_calls::LEDGER_TOPIC;
use sassafrashoist_adapter::log_responses::{KeyedRecord, LogError};
use sassafrashoist_core::gateway::allocator_vms::AllocatorVms;
use sassafrashoist_core::gateway::append_pacing::{
    MIN_RECORD_INTERVAL, conflict_delay, record_interval,
};
use sassafrashoist_core::gateway::holder_record::HolderRecord;
use sassafrashoist_core::gateway::holder_role::HolderRole;
use sassafrashoist_core::gateway::ledger_writer::{AppendOutcome, LedgerWriter, PendingAppend};
use sassafrashoist_core::gateway::planned_record::PlannedRecord;
use sassafrashoist_core::gateway::reclaim::close_previous_incarnation;
use sassafrashoist_core::gateway::reclaim_refusal::ReclaimRefusal;
use sassafrashoist_core::gateway::{HolderId, Uptime};
use sassafrashoist_core::ids::LogOffset;
use sassafrashoist_core::requests::backoff::retry_delay;
use tokio_util::sync::CancellationToken;

use super::gateway_context::GatewayContext;
use super::log_client::LogCallError;
use super::read_clocks::read_clocks;
use super::topic_connectivity::TopicConnectivity;
use super::topic_reader::{TopicReader, TopicUpdate};
use super::transfer_tokens::transfer_idle_tokens;

/// Time between two syncs with the ledger of a VM that draws tokens, while no request waits for
/// tokens; well below the time after which a holder counts as disconnected.
const SYNC_INTERVAL: Duration = MIN_RECORD_INTERVAL;
/// The maximum jitter that is added to the interval, so that VMs do not append at the same time.
const SYNC_JITTER_MS: u64 = 60;
/// Time between two syncs of a client VM, which requests its tokens from allocator VMs and draws
/// none.
const CLIENT_SYNC_INTERVAL: Duration = Duration::from_millis(900);
/// The minimum time between two syncs, however many requests wait.
const MIN_SYNC_INTERVAL: Duration = Duration::from_millis(10);
/// Time between two reports of the tokens of accounts in the log output of the process.
const ACCOUNTS_REPORT_INTERVAL: Duration = Duration::from_secs(5);
/// The maximum number of accounts in one report.
const MAX_REPORTED_ACCOUNTS: usize = 64;
/// The maximum number of times that one sync, or the closing of the holding, reads the ledger and
/// tries to append a record. A try fails if another VM appended first.
const MAX_APPEND_TRIES: u32 = 6;
/// The maximum number of times that one try moves a rejected append to the new end of the ledger.
const MAX_RETARGETS: u32 = 1;

/// Syncs with the ledger until `finished`, when no request is in progress any more; then returns
/// the remaining tokens.
pub async fn maintain_holding(context: Arc<GatewayContext>, finished: CancellationToken) {
    let mut maintainer = HoldingMaintainer::new(Arc::clone(&context), finished.clone());
    while !finished.is_cancelled() {
        maintainer.sync().await;
        let role = maintainer.update_role();
        if role == HolderRole::RequestsTokens {
            transfer_idle_tokens(&context);
        }
        let interval = sync_interval(role);
        tokio::select! {
            () = tokio::time::sleep(interval) => {}
            () = context.ledger_wakeup.notified() => {
                tokio::time::sleep(maintainer.min_interval()).await;
            }
            () = finished.cancelled() => {}
        }
    }
    maintainer.close().await;
}

/// Returns the time until the next sync, with jitter.
fn sync_interval(role: HolderRole) -> Duration {
    let jitter = Duration::from_millis(rand::random_range(0..=SYNC_JITTER_MS));
    match role {
        HolderRole::DrawsForItself | HolderRole::DrawsForOthers => SYNC_INTERVAL + jitter,
        HolderRole::RequestsTokens => CLIENT_SYNC_INTERVAL + jitter,
    }
}

struct HoldingMaintainer {
    context: Arc<GatewayContext>,
    reader: TopicReader,
    finished: CancellationToken,
    has_reclaimed: bool,
    writer: LedgerWriter,
    /// When the next record is due that nothing else needs sooner.
    due_at: Uptime,
    accounts_reported_at: Uptime,
    connectivity: TopicConnectivity,
}

impl HoldingMaintainer {
    fn new(context: Arc<GatewayContext>, finished: CancellationToken) -> Self {
        let reader = TopicReader::new(Arc::clone(&context), LEDGER_TOPIC);
        Self {
            context,
            reader,
            finished,
            has_reclaimed: false,
            writer: LedgerWriter::default(),
            due_at: Uptime::ZERO,
            accounts_reported_at: Uptime::ZERO,
            connectivity: TopicConnectivity::new(LEDGER_TOPIC),
        }
    }

    /// Updates this VM's role from the ledger and returns it.
    fn update_role(&self) -> HolderRole {
        let mut tokens = self.context.lock_tokens();
        let allocators = AllocatorVms::select(&tokens.ledger);
        let role = allocators.role(&self.context.settings().vm_id);
        tokens.holding.set_role(role, record_interval(role, allocators.count(), 0.0));
        role
    }

    /// Reads the ledger, appends a record if one is needed, and serves the requests that wait for
    /// tokens.
    async fn sync(&mut self) {
        match self.read_and_append().await {
            Ok(()) => self.connectivity.record_success(self.context.now()),
            Err(_) if self.finished.is_cancelled() => {}
            Err(error) => {
                let now = self.context.now();
                self.connectivity.record_failure(&format_args!("{error:#}"), now);
            }
        }
        self.context.serve_waiting_requests();
    }

    /// Returns the minimum time until the next sync, however many requests wait; after failures it
    /// grows and has jitter.
    fn min_interval(&self) -> Duration {
        match self.connectivity.failure_count() {
            0 => MIN_SYNC_INTERVAL,
            count => retry_delay(rand::random(), LEDGER_TOPIC, count).max(MIN_SYNC_INTERVAL),
        }
    }

    async fn read_and_append(&mut self) -> eyre::Result<()> {
        for conflict_count in 0..MAX_APPEND_TRIES {
            if conflict_count > 0 {
                self.wait_after_conflict(conflict_count).await;
            }
            // The tokens have to be returned soon; a read that is given up changes nothing.
            let finished = self.finished.clone();
            tokio::select! {
                result = self.read_ledger() => result?,
                () = finished.cancelled() => bail!("this VM stops"),
            }
            if !self.has_reclaimed && !self.reclaim().await? {
                continue;
            }
            if !self.rebase_pending() {
                self.resolve_pending();
            }
            if self.append_newest_again().await? {
                continue;
            }
            if self.writer.pending().is_none() && !self.plan_next() {
                return Ok(());
            }
            if self.append_pending().await? {
                return Ok(());
            }
        }
        Ok(())
    }

    async fn wait_after_conflict(&self, conflict_count: u32) {
        let (role, vm_count) = {
            let tokens = self.context.lock_tokens();
            let role = AllocatorVms::select(&tokens.ledger).role(tokens.holding.vm_id());
            (role, tokens.ledger.live_holders().count())
        };
        let delay = conflict_delay(role, vm_count, conflict_count, rand::random());
        tokio::time::sleep(delay).await;
    }

    /// Appends the closing record of this incarnation, which returns its remaining tokens.
    async fn close(&mut self) {
        self.reader.stop_waiting_for_other_topics();
        for _ in 0..MAX_APPEND_TRIES {
            if let Err(error) = self.read_ledger().await {
                log::warn!(error:% = error; "failed to read the ledger while stopping");
                continue;
            }
            self.resolve_pending();
            if self.writer.pending().is_none() {
                let mut tokens = self.context.lock_tokens();
                let planned = tokens.holding.plan_closing_record(self.context.now(), read_clocks());
                self.writer.begin(planned, tokens.ledger.end_offset());
            }
            let is_closing_record =
                self.writer.pending().is_some_and(|pending| pending.planned.record.is_closed);
            match self.append_pending().await {
                Ok(true) if is_closing_record => {
                    log::info!("tokens handed back");
                    return;
                }
                Ok(_) => {}
                Err(error) => log::warn!(error:% = format!("{error:#}"); "tokens not handed back"),
            }
        }
    }

    /// Returns the record that closes the previous incarnation on this VM, and the end offset of
    /// the ledger. Adopts the use rates of an incarnation that is still open.
    fn plan_reclaim(&self) -> (Result<(HolderId, HolderRecord), ReclaimRefusal>, LogOffset) {
        let settings = self.context.settings();
        let mut tokens = self.context.lock_tokens();
        let book = &mut *tokens;
        let (own_id, vm_id) = (book.holding.holder_id().clone(), settings.vm_id.as_str());
        if let Some((_, previous)) = book.ledger.live_holders().find(|(_, r)| r.vm_id == vm_id) {
            book.holding.adopt_use_rates(previous, self.context.now());
        }
        let started_at = &self.context.started_at;
        let closing_record = close_previous_incarnation(
            &book.ledger,
            &own_id,
            vm_id,
            settings.ip,
            started_at,
            &read_clocks(),
        );
        (closing_record, book.ledger.end_offset())
    }

    /// Returns to the ledger the tokens that the previous incarnation on this VM cannot have used.
    /// The result is false if another record was appended to the ledger first.
    async fn reclaim(&mut self) -> eyre::Result<bool> {
        let (closing_record, end_offset) = self.plan_reclaim();
        let (holder_id, record) = match closing_record {
            Ok(closing_record) => closing_record,
            Err(refusal) => {
                self.record_no_reclaim(refusal);
                self.has_reclaimed = true;
                return Ok(true);
            }
        };
        let value = postcard::to_stdvec(&record).wrap_err("failed to encode the closing record")?;
        match self.reader.log_client.append_at(LEDGER_TOPIC, end_offset, &holder_id, &value).await {
            Ok(end) => {
                self.has_reclaimed = true;
                self.reader.skip_to(end);
                // Tokens that may have been used since the last record stay charged.
                let charged: Vec<_> = record
                    .accounts
                    .iter()
                    .map(|held| (held.account_id.as_str(), held.available_tokens()))
                    .filter(|(_, tokens)| *tokens != 0)
                    .collect();
                let charged_tokens: i64 = charged.iter().map(|(_, tokens)| *tokens).sum();
                metrics::counter!("sassafrashoist_reclaims_total", "outcome" => "handed-back")
                    .increment(1);
                metrics::counter!("sassafrashoist_reclaim_charged_tokens_total")
                    .increment(charged_tokens.max(0) as u64);
                log::info!(
                    run = holder_id, offset = end_offset, charged:? = charged;
                    "tokens of an earlier run handed back"
                );
                let mut tokens = self.context.lock_tokens();
                tokens.ledger.apply(end_offset, holder_id, record);
                tokens.ledger.advance_end_offset(end);
                Ok(true)
            }
            Err(LogCallError::Response(LogError::EndMoved(_))) => Ok(false),
            Err(error) => {
                // If the record was appended after all, the ledger shows the previous incarnation
                // as closed.
                Err(error).wrap_err("tokens of an earlier run not handed back")
            }
        }
    }

    /// Reports why the tokens of the previous incarnation on this VM stay charged, and those that
    /// its newest record states.
    fn record_no_reclaim(&self, refusal: ReclaimRefusal) {
        let tokens = self.context.lock_tokens();
        let vm_id = tokens.holding.vm_id();
        let previous = tokens.ledger.live_holders().find(|(_, record)| record.vm_id == *vm_id);
        let previous = previous.filter(|_| refusal != ReclaimRefusal::NoPreviousRun);
        let accounts = previous.iter().flat_map(|(_, record)| &record.accounts);
        let charged: Vec<_> = accounts
            .map(|held| (held.account_id.as_str(), held.available_tokens()))
            .filter(|(_, tokens)| *tokens != 0)
            .collect();
        let age_ms = previous.map(|(_, record)| {
            let elapsed = self.context.started_at.elapsed_since(&record.sent_at);
            elapsed.map(|elapsed| elapsed.as_millis() as u64)
        });
        let charged_tokens: i64 = charged.iter().map(|(_, tokens)| *tokens).sum();
        metrics::counter!("sassafrashoist_reclaims_total", "outcome" => refusal.as_str())
            .increment(1);
        metrics::counter!("sassafrashoist_reclaim_charged_tokens_total")
            .increment(charged_tokens.max(0) as u64);
        log::info!(
            reason = refusal.as_str(), run:? = previous.map(|(holder_id, _)| holder_id),
            record_age_ms:? = age_ms.flatten(), charged:? = charged;
            "no tokens of an earlier run can be handed back"
        );
    }

    /// Reads the ledger to its end.
    async fn read_ledger(&mut self) -> Result<(), LogCallError> {
        loop {
            match self.reader.read_update(Duration::ZERO).await {
                Ok(TopicUpdate::Snapshot { records, end, .. }) => {
                    self.apply_records(records);
                    self.set_ledger_end(end);
                }
                Ok(TopicUpdate::Appended { records, next, is_at_end, .. }) => {
                    self.apply_records(records);
                    self.context.lock_tokens().ledger.advance_end_offset(next);
                    if is_at_end {
                        break;
                    }
                }
                // The next read starts with the newest record of each key.
                Err(LogCallError::Response(LogError::Trimmed(_))) => {}
                Err(error) => return Err(error),
            }
        }
        let routes = self.context.routes();
        let now = self.context.now();
        let mut tokens = self.context.lock_tokens();
        tokens.read_at = Some(now);
        if let Some(routes) = routes {
            let book = &mut *tokens;
            book.holding.freeze_excess_tokens(&book.ledger, routes.config());
        }
        let book = &mut *tokens;
        book.issuers.record_read(&book.ledger, now);
        Ok(())
    }

    /// Sets the end of the ledger after the newest record of each holder was read. If the ledger
    /// has lost records, the next record of this VM, which states all that it holds, is due at once.
    fn set_ledger_end(&mut self, end: LogOffset) {
        let earlier_end = self.context.lock_tokens().ledger.end_offset();
        if self.context.lock_tokens().ledger.set_end_offset(end) {
            log::warn!(offset = end, earlier = earlier_end; "ledger has lost records");
            self.due_at = Uptime::ZERO;
        }
    }

    fn apply_records(&self, records: Vec<KeyedRecord>) {
        let mut tokens = self.context.lock_tokens();
        for record in records {
            let Some(value) = record.value else {
                continue;
            };
            match postcard::from_bytes::<HolderRecord>(&value) {
                Ok(holder) => tokens.ledger.apply(record.offset, record.key, holder),
                Err(error) => {
                    log::error!(
                        key = record.key, error:% = error;
                        "failed to decode a record of the ledger; no tokens are drawn"
                    );
                    tokens.ledger.record_unreadable(record.key);
                }
            }
        }
    }

    /// Appends this VM's newest record again if the append in progress waits for an end of the log
    /// that the log has yet to reach again after it lost records; returns whether it did.
    ///
    /// The append in progress may still be executed there, so that it cannot be abandoned before.
    /// Records state totals, so that the newest one may be in the log several times.
    async fn append_newest_again(&mut self) -> eyre::Result<bool> {
        let (holder_id, newest, end_offset) = {
            let tokens = self.context.lock_tokens();
            if !self.writer.is_beyond_end(&tokens.ledger) {
                return Ok(false);
            }
            let holder_id = tokens.holding.holder_id().clone();
            let newest = tokens.ledger.newest_record(&holder_id).map(|(_, record)| record.clone());
            (holder_id, newest, tokens.ledger.end_offset())
        };
        let Some(newest) = newest else {
            self.writer.abandon_first(&mut self.context.lock_tokens().holding);
            return Ok(false);
        };
        let value = postcard::to_stdvec(&newest).wrap_err("failed to encode a record")?;
        let log_client = &mut self.reader.log_client;
        match log_client.append_at(LEDGER_TOPIC, end_offset, &holder_id, &value).await {
            Ok(_) | Err(LogCallError::Response(LogError::EndMoved(_))) => Ok(true),
            Err(error) => Err(error).wrap_err("newest record not appended again"),
        }
    }

    /// Moves a rejected append to the end of the ledger if the ledger still covers what it draws.
    fn rebase_pending(&mut self) -> bool {
        let Some(routes) = self.context.routes() else {
            return false;
        };
        let tokens = self.context.lock_tokens();
        let holder_id = tokens.holding.holder_id();
        self.writer.rebase(&tokens.ledger, routes.config(), holder_id, self.context.now())
    }

    fn resolve_pending(&mut self) {
        let mut tokens = self.context.lock_tokens();
        let book = &mut *tokens;
        self.writer.resolve(&book.ledger, &mut book.holding);
    }

    /// Plans the next record of this incarnation; false if none has to be appended now.
    fn plan_next(&mut self) -> bool {
        let Some(routes) = self.context.routes() else {
            return false;
        };
        let now = self.context.now();
        let mut tokens = self.context.lock_tokens();
        let book = &mut *tokens;
        let planned = book.holding.plan_record(&book.ledger, routes.config(), now, read_clocks());
        let draws_tokens = AllocatorVms::select(&book.ledger).contains(&planned.record.vm_id);
        let is_due = now >= self.due_at;
        let is_needed = draws_tokens && (planned.has_waiting_request() || planned.moves_tokens());
        if !is_needed && !is_due {
            book.holding.abandon(&planned);
            return false;
        }
        self.writer.begin(planned, book.ledger.end_offset());
        true
    }

    /// Tries to append the pending record. The result is false if the log had grown, so that it
    /// must be read again before the outcome of the append is known.
    async fn append_pending(&mut self) -> eyre::Result<bool> {
        for retarget_count in 0..=MAX_RETARGETS {
            let Some(pending) = self.writer.pending().cloned() else {
                return Ok(true);
            };
            let sent_at = self.context.now();
            let result = self.send_append(&pending).await?;
            let outcome = match &result {
                Ok(_) => AppendOutcome::Appended,
                Err(LogCallError::Response(LogError::EndMoved(_))) => AppendOutcome::EndMoved,
                Err(error) if error.is_in_doubt() => AppendOutcome::Unknown,
                Err(_) => AppendOutcome::NotAppended,
            };
            let appended =
                self.writer.record_outcome(outcome, &mut self.context.lock_tokens().holding);
            match result {
                Ok(end) => {
                    self.context.lock_tokens().issuers.record_write(sent_at);
                    if let Some(appended) = appended {
                        self.apply_appended(&appended, end);
                    }
                    return Ok(true);
                }
                Err(LogCallError::Response(LogError::EndMoved(end))) => {
                    if retarget_count == MAX_RETARGETS || !self.writer.retarget(end) {
                        return Ok(false);
                    }
                }
                Err(error) => {
                    return Err(error).wrap_err("append to the ledger may not have succeeded");
                }
            }
        }
        Ok(false)
    }

    /// Makes one call that appends the pending record.
    async fn send_append(
        &mut self,
        pending: &PendingAppend,
    ) -> eyre::Result<Result<LogOffset, LogCallError>> {
        let value = postcard::to_stdvec(&pending.planned.record)
            .wrap_err("failed to encode a record of the ledger")?;
        let holder_id = self.context.lock_tokens().holding.holder_id().clone();
        let at = pending.expected_end_offset;
        Ok(self.reader.log_client.append_at(LEDGER_TOPIC, at, &holder_id, &value).await)
    }

    /// Logs the tokens of each account at most once in [`ACCOUNTS_REPORT_INTERVAL`].
    fn report_accounts(&mut self, planned: &PlannedRecord) {
        let now = self.context.now();
        if now < self.accounts_reported_at + ACCOUNTS_REPORT_INTERVAL {
            return;
        }
        self.accounts_reported_at = now;
        let Some(routes) = self.context.routes() else {
            return;
        };
        let tokens = self.context.lock_tokens();
        for held in planned.record.accounts.iter().take(MAX_REPORTED_ACCOUNTS) {
            let account_id = held.account_id.as_str();
            let paid_tokens = routes.config().paid_tokens(account_id).unwrap_or_default();
            log::info!(
                account = account_id, config = routes.config().version,
                offset = tokens.ledger.end_offset(), paid = paid_tokens,
                drawn = tokens.ledger.net_drawn_tokens(account_id),
                spent = tokens.ledger.spent_tokens(account_id),
                held_here = held.available_tokens(), ready_here = held.spendable_tokens(),
                use_per_s = tokens.ledger.use_tokens_per_s(account_id);
                "tokens of an account"
            );
        }
    }

    /// Updates this VM's copy of the ledger with a record that this VM has appended.
    fn apply_appended(&mut self, appended: &PendingAppend, end: LogOffset) {
        let mut tokens = self.context.lock_tokens();
        let book = &mut *tokens;
        let allocators = AllocatorVms::select(&book.ledger);
        let role = allocators.role(book.holding.vm_id());
        let interval = record_interval(role, allocators.count(), rand::random());
        self.due_at = self.context.now() + interval;
        let holder_id = book.holding.holder_id().clone();
        book.ledger.apply(appended.expected_end_offset, holder_id, appended.planned.record.clone());
        // The records before a record that was moved to a later offset are still to be read.
        if book.ledger.end_offset() == appended.expected_end_offset {
            book.ledger.advance_end_offset(end);
            self.reader.skip_to(end);
        }
        drop(tokens);
        self.report_accounts(&appended.planned);
        if appended.planned.moves_tokens() {
            log::info!(
                sequence = appended.planned.record.sequence, offset = appended.expected_end_offset,
                moved:? = appended.planned.changes();
                "tokens drawn or handed back"
            );
        }
    }
}
