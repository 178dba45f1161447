//! Keeps this VM's part of the ledger of prepaid tokens.

use std::sync::Arc;
use std::time::Duration;

use eyre::WrapErr;
use sassafrashoist_adapter::log_calls::LEDGER_TOPIC;
use sassafrashoist_adapter::log_responses::{KeyedRecord, LogError};
use sassafrashoist_core::gateway::allocator_vms::AllocatorVms;
use sassafrashoist_core::gateway::holder_record::HolderRecord;
use sassafrashoist_core::gateway::holder_role::HolderRole;
use sassafrashoist_core::gateway::ledger_writer::{AppendOutcome, LedgerWriter, PendingAppend};
use sassafrashoist_core::gateway::planned_record::PlannedRecord;
use sassafrashoist_core::gateway::reclaim::close_previous_incarnation;
use sassafrashoist_core::gateway::{HolderId, Uptime};
use sassafrashoist_core::ids::LogOffset;
use tokio_util::sync::CancellationToken;

use super::gateway_context::GatewayContext;
use super::hand_over::hand_over_idle;
use super::log_client::LogCallError;
use super::read_clocks::read_clocks;
use super::topic_connectivity::TopicConnectivity;
use super::topic_reader::{TopicReader, TopicUpdate};

/// Time between two records while no request waits for tokens; well below the time after which a
/// holder counts as out of touch.
const LOOK_INTERVAL: Duration = Duration::from_millis(300);
/// The most that chance adds to it, so that VMs do not append at once.
const LOOK_JITTER_MS: u64 = 60;
/// Time between two looks of a VM that does not draw.
const ASKING_LOOK_INTERVAL: Duration = Duration::from_millis(900);
/// Time between two records of a VM that does not draw.
const ASKING_REPORT_INTERVAL: Duration = Duration::from_secs(5);
/// Least time between two looks, however many requests wait.
const MIN_LOOK_INTERVAL: Duration = Duration::from_millis(10);
/// Time between two reports of where tokens are, to the log of the process.
const ACCOUNTS_REPORT_INTERVAL: Duration = Duration::from_secs(5);
/// The most accounts in one report.
const MAX_REPORTED_ACCOUNTS: usize = 64;
/// How often a draw is decided again because another VM's came first.
const MAX_CONFLICTS: u32 = 6;

/// Keeps tokens until `finished`, when no request is in progress any more; then hands back what is
/// left.
pub async fn keep_tokens(context: Arc<GatewayContext>, finished: CancellationToken) {
    let mut keeper = TokenKeeper::new(Arc::clone(&context));
    while !finished.is_cancelled() {
        keeper.look().await;
        let role = keeper.take_role();
        if role == HolderRole::RequestsTokens {
            hand_over_idle(&context);
        }
        let interval = look_interval(role);
        tokio::select! {
            () = tokio::time::sleep(interval) => {}
            () = context.ledger_wakeup.notified() => tokio::time::sleep(MIN_LOOK_INTERVAL).await,
            () = finished.cancelled() => {}
        }
    }
    keeper.close().await;
}

/// Returns the time until the next look.
fn look_interval(role: HolderRole) -> Duration {
    let jitter = Duration::from_millis(rand::random_range(0..=LOOK_JITTER_MS));
    match role {
        HolderRole::DrawsForItself | HolderRole::DrawsForOthers => LOOK_INTERVAL + jitter,
        HolderRole::RequestsTokens => ASKING_LOOK_INTERVAL + jitter,
    }
}

struct TokenKeeper {
    context: Arc<GatewayContext>,
    reader: TopicReader,
    has_reclaimed: bool,
    writer: LedgerWriter,
    reported_at: Uptime,
    accounts_reported_at: Uptime,
    reach: TopicConnectivity,
}

impl TokenKeeper {
    fn new(context: Arc<GatewayContext>) -> Self {
        let reader = TopicReader::new(Arc::clone(&context), LEDGER_TOPIC);
        Self {
            context,
            reader,
            has_reclaimed: false,
            writer: LedgerWriter::default(),
            reported_at: Uptime::ZERO,
            accounts_reported_at: Uptime::ZERO,
            reach: TopicConnectivity::new(LEDGER_TOPIC),
        }
    }

    /// Takes on the role that the ledger gives this VM.
    fn take_role(&self) -> HolderRole {
        let mut tokens = self.context.lock_tokens();
        let role = AllocatorVms::select(&tokens.ledger).role(&self.context.settings().vm_id);
        tokens.holding.set_role(role, LOOK_INTERVAL);
        role
    }

    async fn look(&mut self) {
        match self.read_and_append().await {
            Ok(()) => self.reach.record_success(),
            Err(error) => self.reach.record_failure(&format_args!("{error:#}")),
        }
        self.context.serve_waiting_requests();
    }

    async fn read_and_append(&mut self) -> eyre::Result<()> {
        for _ in 0..MAX_CONFLICTS {
            self.read().await?;
            if !self.has_reclaimed && !self.reclaim().await? {
                continue;
            }
            self.resolve_pending();
            if self.writer.pending().is_none() && !self.plan_next() {
                return Ok(());
            }
            if self.append_pending().await? {
                return Ok(());
            }
        }
        Ok(())
    }

    async fn close(&mut self) {
        for _ in 0..MAX_CONFLICTS {
            if let Err(error) = self.read().await {
                log::warn!(error:% = error; "ledger not read at the end");
                continue;
            }
            self.resolve_pending();
            if self.writer.pending().is_none() {
                let mut tokens = self.context.lock_tokens();
                let planned = tokens.holding.plan_closing_record(self.context.now(), read_clocks());
                self.writer.begin(planned, tokens.ledger.end_offset());
            }
            let is_last = self.writer.pending().is_some_and(|last| last.planned.record.is_closed);
            match self.append_pending().await {
                Ok(true) if is_last => {
                    log::info!("tokens handed back");
                    return;
                }
                Ok(_) => {}
                Err(error) => log::warn!(error:% = format!("{error:#}"); "tokens not handed back"),
            }
        }
    }

    /// Returns the record that closes the run before on this VM, and where the ledger ends.
    fn plan_reclaim(&self) -> (Option<(HolderId, HolderRecord)>, LogOffset) {
        let settings = self.context.settings();
        let mut tokens = self.context.lock_tokens();
        let book = &mut *tokens;
        let (own, vm_id) = (book.holding.holder_id().clone(), settings.vm_id.as_str());
        if let Some((_, before)) = book.ledger.live_holders().find(|(_, r)| r.vm_id == vm_id) {
            book.holding.adopt_use_rates(before, self.context.now());
        }
        let started_at = &self.context.started_at;
        let closed = close_previous_incarnation(&book.ledger, &own, vm_id, settings.ip, started_at);
        (closed, book.ledger.end_offset())
    }

    /// Hands back what the run before on this VM cannot have used; false when the ledger has moved on
    /// meanwhile.
    async fn reclaim(&mut self) -> eyre::Result<bool> {
        let (closed, at) = self.plan_reclaim();
        let Some((holder_id, record)) = closed else {
            log::info!("no tokens of an earlier run can be handed back");
            self.has_reclaimed = true;
            return Ok(true);
        };
        let value = postcard::to_stdvec(&record).wrap_err("failed to encode a record")?;
        match self.reader.log_client.append_at(LEDGER_TOPIC, at, &holder_id, &value).await {
            Ok(end) => {
                self.has_reclaimed = true;
                self.reader.skip_to(end);
                // What may have been used beyond the last report stays charged.
                let charged: Vec<_> = record
                    .accounts
                    .iter()
                    .map(|held| (held.account_id.as_str(), held.available_tokens()))
                    .filter(|(_, tokens)| *tokens != 0)
                    .collect();
                log::info!(
                    run = holder_id, offset = at, charged:? = charged;
                    "tokens of an earlier run handed back"
                );
                let mut tokens = self.context.lock_tokens();
                tokens.ledger.apply(at, holder_id, record);
                tokens.ledger.advance_end_offset(end);
                Ok(true)
            }
            Err(LogCallError::Response(LogError::EndMoved)) => Ok(false),
            Err(error) => {
                // Whether it was done shows in the ledger, where it closes the earlier run.
                Err(error).wrap_err("tokens of an earlier run not handed back")
            }
        }
    }

    async fn read(&mut self) -> Result<(), LogCallError> {
        loop {
            match self.reader.read_update(Duration::ZERO).await {
                Ok(TopicUpdate::Snapshot { records, end }) => self.apply(records, end),
                Ok(TopicUpdate::Appended { records, next, is_at_end }) => {
                    self.apply(records, next);
                    if is_at_end {
                        break;
                    }
                }
                // The next read begins with the newest records.
                Err(LogCallError::Response(LogError::Trimmed(_))) => {}
                Err(error) => return Err(error),
            }
        }
        let routes = self.context.routes();
        let mut tokens = self.context.lock_tokens();
        tokens.read_at = Some(self.context.now());
        if let Some(routes) = routes {
            let book = &mut *tokens;
            book.holding.freeze_excess_tokens(&book.ledger, routes.config());
        }
        Ok(())
    }

    fn apply(&self, records: Vec<KeyedRecord>, end: LogOffset) {
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
                        "record of the ledger cannot be read; no tokens are drawn"
                    );
                    tokens.ledger.record_unreadable(record.key);
                }
            }
        }
        tokens.ledger.advance_end_offset(end);
    }

    fn resolve_pending(&mut self) {
        let mut tokens = self.context.lock_tokens();
        let book = &mut *tokens;
        self.writer.resolve(&book.ledger, &mut book.holding);
    }

    /// Plans the next record; false when there is nothing to write.
    fn plan_next(&mut self) -> bool {
        let Some(routes) = self.context.routes() else {
            return false;
        };
        let now = self.context.now();
        let mut tokens = self.context.lock_tokens();
        let book = &mut *tokens;
        let planned = book.holding.plan_record(&book.ledger, routes.config(), now, read_clocks());
        let is_bank = AllocatorVms::select(&book.ledger).contains(&planned.record.vm_id);
        let interval = if is_bank { LOOK_INTERVAL } else { ASKING_REPORT_INTERVAL };
        let is_due = now >= self.reported_at + interval || self.reported_at.is_zero();
        let is_wanted = is_bank && (planned.has_waiting_request() || planned.moves_tokens());
        if !is_wanted && !is_due {
            book.holding.abandon(&planned);
            return false;
        }
        self.writer.begin(planned, book.ledger.end_offset());
        true
    }

    /// Appends the pending record; false when it has to be decided again.
    async fn append_pending(&mut self) -> eyre::Result<bool> {
        let Some(pending) = self.writer.pending().cloned() else {
            return Ok(true);
        };
        let value = postcard::to_stdvec(&pending.planned.record)
            .wrap_err("failed to encode a record of the ledger")?;
        let holder_id = self.context.lock_tokens().holding.holder_id().clone();
        let link = &mut self.reader.log_client;
        let result =
            link.append_at(LEDGER_TOPIC, pending.expected_end_offset, &holder_id, &value).await;
        let answer = match &result {
            Ok(_) => AppendOutcome::Appended,
            Err(LogCallError::Response(LogError::EndMoved)) => AppendOutcome::EndMoved,
            Err(error) if error.is_in_doubt() => AppendOutcome::Unknown,
            Err(_) => AppendOutcome::NotAppended,
        };
        let done = self.writer.record_outcome(answer, &mut self.context.lock_tokens().holding);
        match result {
            Ok(end) => {
                if let Some(done) = done {
                    self.take_over(&done, end);
                }
                Ok(true)
            }
            Err(LogCallError::Response(LogError::EndMoved)) => Ok(false),
            Err(error) => Err(error).wrap_err("an append to the ledger was not done for sure"),
        }
    }

    /// Writes down, now and then, where the tokens of the accounts are.
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

    fn take_over(&mut self, done: &PendingAppend, end: LogOffset) {
        self.reported_at = self.context.now();
        self.reader.skip_to(end);
        let mut tokens = self.context.lock_tokens();
        let book = &mut *tokens;
        let holder_id = book.holding.holder_id().clone();
        book.ledger.apply(done.expected_end_offset, holder_id, done.planned.record.clone());
        book.ledger.advance_end_offset(end);
        drop(tokens);
        self.report_accounts(&done.planned);
        if done.planned.moves_tokens() {
            log::info!(
                sequence = done.planned.record.sequence, offset = done.expected_end_offset,
                moved:? = done.planned.changes();
                "tokens drawn or handed back"
            );
        }
    }
}
