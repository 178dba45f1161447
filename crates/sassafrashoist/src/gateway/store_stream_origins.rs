//! Writes the origins of this VM's streams to the log, from where any VM can read them after those
//! that keep them were restarted.

use std::sync::Arc;

use eyre::WrapErr;
use sassafrashoist_adapter::log_calls::ORIGINS_TOPIC;
use sassafrashoist_core::gateway::origin_outbox::{batch_interval, rewrite_interval};
use sassafrashoist_core::requests::backoff::retry_delay;

use super::gateway_context::GatewayContext;
use super::log_client::LogClient;
use super::topic_connectivity::TopicConnectivity;

/// Writes origins until this process ends.
pub async fn store_stream_origins(context: Arc<GatewayContext>) {
    let mut client = LogClient::new(Arc::clone(&context));
    let mut connectivity = TopicConnectivity::new(ORIGINS_TOPIC);
    loop {
        let vm_count = context.known_vm_count().unwrap_or(1);
        let interval = batch_interval(vm_count, rand::random());
        let backoff = match connectivity.failure_count() {
            0 => interval,
            count => interval + retry_delay(rand::random(), ORIGINS_TOPIC, count),
        };
        tokio::select! {
            () = tokio::time::sleep(backoff) => {}
            () = context.cancel.cancelled() => return,
        }
        match store_due(&context, &mut client).await {
            Ok(()) => connectivity.record_success(context.now()),
            Err(error) => {
                metrics::counter!("sassafrashoist_stream_origin_write_failures_total").increment(1);
                connectivity.record_failure(&format_args!("{error:#}"), context.now());
            }
        }
    }
}

/// Writes the origins that are due, if any.
async fn store_due(context: &GatewayContext, client: &mut LogClient) -> eyre::Result<()> {
    let sent_at = context.now();
    let rewrite_interval = rewrite_interval(context.settings().log_keep_time);
    let (batch, stream_count) = {
        let mut outbox = context.lock_origin_outbox();
        (outbox.due_batch(rewrite_interval, sent_at), outbox.len())
    };
    metrics::gauge!("sassafrashoist_stream_origins_held").set(stream_count as f64);
    if batch.is_empty() {
        return Ok(());
    }
    let value = postcard::to_stdvec(&batch).wrap_err("failed to encode the origins of streams")?;
    let run = context.lock_tokens().holding.holder_id().clone();
    client.append(ORIGINS_TOPIC, &run, &value).await?;
    context.lock_origin_outbox().record_stored(&batch, sent_at);
    metrics::counter!("sassafrashoist_stream_origins_stored_total")
        .increment(batch.streams().len() as u64);
    log::debug!(streams = batch.streams().len(), bytes = value.len(); "origins of streams stored");
    Ok(())
}
