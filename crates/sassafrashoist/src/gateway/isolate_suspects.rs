//! Keeps requests that crash backend servers from them.
//!
//! A request under which a server ended is a suspect: its copies run one at a time over all VMs,
//! until one of them is answered completely. A second server that ends quarantines it. Requests with
//! a part in their prompts that is blamed for crashes are refused, except for a few trials.

use std::sync::Arc;
use std::time::Duration;

use eyre::WrapErr;
use sassafrashoist_core::gateway::crash_trials::{TrialId, TrialSubject};
use sassafrashoist_core::gateway::live_vms::FleetVm;
use sassafrashoist_core::requests::quarantine::Suspicion;

use super::crash_messages::{TRIAL_END_PATH, TRIAL_PATH, TrialEnd, TrialRequest, TrialResponse};
use super::gateway_context::GatewayContext;
use super::request_context::RequestContext;
use super::send_message::send_message;
use super::share_crashes::receive_report;

/// How long a repeat waits for other VMs to report which requests they had at the ended server.
const REPORT_TIME: Duration = Duration::from_millis(40);
/// The longest wait of a copy while another one is on trial.
const MAX_TRIAL_WAIT: Duration = Duration::from_secs(1);
/// The part of the time left that a copy may wait.
const TRIAL_WAIT_FRACTION: f64 = 0.25;
/// The time between two requests for a trial.
const TRIAL_POLL_INTERVAL: Duration = Duration::from_millis(40);
/// The retry delay of a copy that waited in vain, or of a suspect whose trials no VM grants.
const BUSY_RETRY_AFTER: Duration = Duration::from_millis(300);
/// The time beyond a request's deadline after which its trial counts as ended.
const TRIAL_END_MARGIN: Duration = Duration::from_millis(500);

/// The reason why a suspect is not sent to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuspectRefusal {
    /// It is quarantined for this time.
    Quarantined(Duration),
    /// A part of its prompt is blamed, and no request with it is tried for this time.
    PartBlamed(Duration),
    /// Another copy is on trial, or no VM that grants trials can be reached.
    NoTrial,
    /// A server just ended under this attempt, and no request began later there.
    LikelyCause,
}

impl SuspectRefusal {
    /// Returns the reason for the caller and in metrics.
    pub fn reason(self) -> &'static str {
        match self {
            Self::Quarantined(_) => "request crashed servers",
            Self::PartBlamed(_) => "part of the prompt crashed servers",
            Self::NoTrial => "another copy of the request may crash servers",
            Self::LikelyCause => "server ended under the request",
        }
    }

    /// Returns the time before which a retry would be refused again.
    pub fn return_after(self) -> Duration {
        match self {
            Self::Quarantined(time) | Self::PartBlamed(time) => time,
            Self::NoTrial => BUSY_RETRY_AFTER,
            Self::LikelyCause => Duration::ZERO,
        }
    }
}

/// The right to send a suspect to one server; dropping it ends the trial.
#[derive(Debug)]
pub struct Trial {
    context: Arc<GatewayContext>,
    subject: TrialSubject,
    id: TrialId,
    grantor: FleetVm,
}

impl Drop for Trial {
    fn drop(&mut self) {
        let result = self.context.lock_crashes().report_of(&self.subject, self.context.now());
        log::info!(
            subject:% = self.subject, crashes = result.crashes.len() + result.part_crashes.len();
            "trial of a suspect ended"
        );
        let end = TrialEnd { subject: self.subject.clone(), trial_id: self.id, result };
        if self.grantor.vm_id == self.context.settings().vm_id {
            return end_trial(&self.context, &end);
        }
        let grantor = self.grantor.clone();
        tokio::spawn(async move {
            if let Err(error) = send_message(grantor.peer_address, TRIAL_END_PATH, &end).await {
                log::info!(
                    subject:% = end.subject, vm = grantor.vm_id, error:% = error;
                    "end of a trial not reported"
                );
            }
        });
    }
}

/// Refuses a request that is quarantined, or whose prompt has a blamed part and is not to be tried.
///
/// # Errors
///
/// Fails with the refusal.
pub fn check_quarantine(
    context: &GatewayContext,
    request: &RequestContext,
) -> Result<(), SuspectRefusal> {
    let now = context.now();
    let book = context.lock_crashes();
    if let Some(fingerprint) = &request.fingerprint
        && let Suspicion::Quarantined(until) = book.table.suspicion(fingerprint, now)
    {
        return Err(SuspectRefusal::Quarantined(until.saturating_sub(now)));
    }
    let blamed = book.blamed_parts(&request.shared_parts(), now);
    let wait = blamed.iter().map(|(_, wait)| *wait).max().unwrap_or_default();
    // A trial of a request with several blamed parts would show nothing about each of them.
    if blamed.len() > 1 || !wait.is_zero() {
        return Err(SuspectRefusal::PartBlamed(wait));
    }
    Ok(())
}

/// Admits a request to one server; a suspect gets a trial.
///
/// `last_server_id` is the server of the last attempt that may have run, if there was one.
///
/// # Errors
///
/// Fails when the request is not to be sent to a server now.
pub async fn admit_attempt(
    context: &Arc<GatewayContext>,
    request: &RequestContext,
    last_server_id: Option<&str>,
) -> Result<Option<Trial>, SuspectRefusal> {
    let Some(fingerprint) = &request.fingerprint else {
        return Ok(None);
    };
    check_quarantine(context, request)?;
    let blamed = context.lock_crashes().blamed_parts(&request.shared_parts(), context.now());
    if let Some((part, _)) = blamed.first() {
        let trial = obtain_trial(context, request, TrialSubject::PromptPart(*part)).await?;
        return trial.map(Some).ok_or(SuspectRefusal::PartBlamed(BUSY_RETRY_AFTER));
    }
    let suspicion = |now| context.lock_crashes().table.suspicion(fingerprint, now);
    if suspicion(context.now()) == Suspicion::None {
        return Ok(None);
    }
    if let Some(server_id) = last_server_id {
        tokio::time::sleep(REPORT_TIME).await;
        if context.lock_crashes().was_last_begun(fingerprint, server_id) {
            return Err(SuspectRefusal::LikelyCause);
        }
    }
    let max_wait = request.time_left(context.now()).mul_f64(TRIAL_WAIT_FRACTION);
    let give_up_at = context.now() + max_wait.min(MAX_TRIAL_WAIT);
    loop {
        let now = context.now();
        match suspicion(now) {
            Suspicion::None => return Ok(None),
            Suspicion::Quarantined(until) => {
                return Err(SuspectRefusal::Quarantined(until.saturating_sub(now)));
            }
            Suspicion::Suspect => {}
        }
        let subject = TrialSubject::Request(fingerprint.clone());
        match obtain_trial(context, request, subject).await? {
            Some(trial) => return Ok(Some(trial)),
            None if now < give_up_at => tokio::time::sleep(TRIAL_POLL_INTERVAL).await,
            None => return Err(SuspectRefusal::NoTrial),
        }
    }
}

/// Requests a trial; `None` while another request of the subject is on trial.
async fn obtain_trial(
    context: &Arc<GatewayContext>,
    request: &RequestContext,
    subject: TrialSubject,
) -> Result<Option<Trial>, SuspectRefusal> {
    let trial_request = TrialRequest {
        subject: subject.clone(),
        trial_id: rand::random(),
        max_time: request.time_left(context.now()) + TRIAL_END_MARGIN,
    };
    for grantor in context.reachable_issuers(&subject.to_string()) {
        let response = match request_trial(context, &grantor, &trial_request).await {
            Ok(response) => response,
            Err(error) => {
                log::info!(
                    id = request.id(), subject:% = subject, vm = grantor.vm_id,
                    error:% = format!("{error:#}");
                    "no trial from another VM"
                );
                context.lock_permits().record_unreachable(&grantor.vm_id, context.now());
                continue;
            }
        };
        match response {
            TrialResponse::Granted => {
                log::info!(
                    id = request.id(), subject:% = subject, vm = grantor.vm_id;
                    "trial of a suspect begins"
                );
                metrics::counter!("sassafrashoist_crash_trials_total").increment(1);
                let (context, id) = (Arc::clone(context), trial_request.trial_id);
                return Ok(Some(Trial { context, subject, id, grantor }));
            }
            TrialResponse::Busy => return Ok(None),
            TrialResponse::Quarantined(time) => {
                return Err(match subject {
                    TrialSubject::Request(_) => SuspectRefusal::Quarantined(time),
                    TrialSubject::PromptPart(_) => SuspectRefusal::PartBlamed(time),
                });
            }
            TrialResponse::NotGrantor => {}
        }
    }
    Err(SuspectRefusal::NoTrial)
}

async fn request_trial(
    context: &Arc<GatewayContext>,
    grantor: &FleetVm,
    request: &TrialRequest,
) -> eyre::Result<TrialResponse> {
    if grantor.vm_id == context.settings().vm_id {
        return Ok(grant_trial(context, request));
    }
    let body = send_message(grantor.peer_address, TRIAL_PATH, request).await?;
    postcard::from_bytes(&body).wrap_err("failed to decode the response")
}

/// Grants a trial if this VM grants those of the suspect and no other copy is on trial.
pub fn grant_trial(context: &GatewayContext, request: &TrialRequest) -> TrialResponse {
    let now = context.now();
    let own_id = context.settings().vm_id.clone();
    let key = request.subject.to_string();
    let grantors = context.lock_tokens().issuers.issuers(&key, now);
    if !grantors.iter().any(|grantor| grantor.vm_id == own_id) {
        return TrialResponse::NotGrantor;
    }
    let mut book = context.lock_crashes();
    let not_before = match &request.subject {
        TrialSubject::Request(fingerprint) => match book.table.suspicion(fingerprint, now) {
            Suspicion::Quarantined(until) => Some(until),
            Suspicion::None | Suspicion::Suspect => None,
        },
        TrialSubject::PromptPart(part) => {
            let trial_at = book.parts.trial_at(*part);
            if trial_at.is_none() {
                // This VM has just started, or has cleared the part; the requester will learn that.
                return TrialResponse::Busy;
            }
            trial_at
        }
    };
    if let Some(until) = not_before.filter(|until| now < *until) {
        return TrialResponse::Quarantined(until.saturating_sub(now));
    }
    let ends_at = now.saturating_add(request.max_time);
    if book.trials.try_start(&request.subject, request.trial_id, ends_at, now) {
        TrialResponse::Granted
    } else {
        TrialResponse::Busy
    }
}

/// Ends a trial that this VM granted.
pub fn end_trial(context: &Arc<GatewayContext>, end: &TrialEnd) {
    receive_report(context, &end.result);
    context.lock_crashes().trials.end(&end.subject, end.trial_id);
}
