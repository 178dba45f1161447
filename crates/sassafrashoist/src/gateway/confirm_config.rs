//! Waits until this VM knows that it has the newest configuration, for a decision that must not rest on
//! an old one.

use std::sync::Arc;
use std::time::Duration;

use sassafrashoist_core::gateway::Uptime;

use super::gateway_context::GatewayContext;

/// How long the confirmation may take: a read that finds nothing new waits 1 s, and its response may be
/// late.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time between two checks whether the configuration was confirmed.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Waits until the active configuration is known to have been the newest one at `at`; returns whether it
/// is.
pub async fn wait_until_newest_config(context: &Arc<GatewayContext>, at: Uptime) -> bool {
    let confirmed = async {
        while !context.lock_config_age().was_newest_at(at) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(CONFIRM_TIMEOUT, confirmed).await.is_ok()
}
