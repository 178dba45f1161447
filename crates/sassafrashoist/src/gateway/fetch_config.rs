//! Fetches the configuration from another VM of the data centre.

use std::sync::Arc;
use std::time::Duration;

use sassafrashoist_core::gateway::config_announcement::ConfigAnnouncement;
use sassafrashoist_core::gateway::config_sharing::{FetchOutcome, NextFetch};
use sassafrashoist_core::gateway::config_times::ConfigTimes;
use sassafrashoist_core::gateway::live_vms::FleetVm;

use super::config_messages::{CONFIG_PATH, ConfigRequest, ConfigResponse};
use super::follow_config::{Applied, ConfigSource, apply_config};
use super::gateway_context::GatewayContext;
use super::send_message::send_message_within;

/// The longest time between two decisions.
const MAX_WAIT: Duration = Duration::from_millis(200);

/// Fetches configurations that other VMs announce, one at a time.
pub async fn fetch_configs(context: Arc<GatewayContext>) {
    loop {
        let now = context.now();
        let next = context.lock_config_sharing().next_fetch(rand::random(), now);
        match next {
            NextFetch::From { vm, announced } => {
                let outcome = fetch_config(&context, &vm, &announced).await;
                context.lock_config_sharing().record_fetch(
                    &vm.vm_id,
                    &announced,
                    outcome,
                    rand::random(),
                    context.now(),
                );
            }
            NextFetch::At(at) => {
                tokio::time::sleep_until(context.instant(at.min(now + MAX_WAIT))).await;
            }
            NextFetch::NotYet => {
                tokio::select! {
                    () = context.config_heard.notified() => {}
                    () = tokio::time::sleep(MAX_WAIT) => {}
                }
            }
        }
    }
}

async fn fetch_config(
    context: &Arc<GatewayContext>,
    vm: &FleetVm,
    announced: &ConfigAnnouncement,
) -> FetchOutcome {
    let (outcome, detail) = match request_config(context, vm, announced).await {
        Ok(outcome) => (outcome, String::new()),
        Err(error) => (FetchOutcome::Failed, error),
    };
    let outcome_name = match outcome {
        FetchOutcome::Received => "received",
        FetchOutcome::Undecodable => "undecodable",
        FetchOutcome::Busy => "busy",
        FetchOutcome::TooLong => "too long",
        FetchOutcome::Failed => "failed",
    };
    metrics::counter!("sassafrashoist_config_fetches_total", "outcome" => outcome_name)
        .increment(1);
    if outcome != FetchOutcome::Received {
        log::info!(
            version = announced.version, vm = vm.vm_id, outcome = outcome_name, detail = detail;
            "configuration not received from another VM"
        );
    }
    outcome
}

/// Requests an announced configuration and applies it; fails with the reason why there is none.
async fn request_config(
    context: &Arc<GatewayContext>,
    vm: &FleetVm,
    announced: &ConfigAnnouncement,
) -> Result<FetchOutcome, String> {
    let own = context.lock_config_sharing().document().ok_or("this VM has none to compare with")?;
    let request =
        ConfigRequest { version: announced.version, chunk_hashes: own.content.chunk_hashes() };
    let timeout = ConfigTimes::new(context.settings().bounds.config_apply_time).fetch_timeout();
    let body = send_message_within(vm.peer_address, CONFIG_PATH, &request, timeout)
        .await
        .map_err(|error| error.to_string())?;
    let response = postcard::from_bytes(&body).map_err(|error| error.to_string())?;
    let (version, delta) = match response {
        ConfigResponse::Document { version, delta } => (version, delta),
        ConfigResponse::NoSuchVersion => return Err("it does not have the version".to_owned()),
        ConfigResponse::TooLong => return Ok(FetchOutcome::TooLong),
        ConfigResponse::Busy => return Ok(FetchOutcome::Busy),
    };
    if version == announced.version && delta.document_hash != announced.document_hash {
        return Err("it is not the document that was announced".to_owned());
    }
    let content = own.content.apply(&delta).map_err(|error| error.to_string())?;
    let source = ConfigSource::Vm(&vm.vm_id);
    Ok(match apply_config(context, content, source) {
        Applied::InForce | Applied::NotNewer => FetchOutcome::Received,
        Applied::Undecodable => FetchOutcome::Undecodable,
    })
}
