use std::time::Duration;

const POLL_INTERVAL: Duration = Duration::from_millis(20);
const MAX_POLLS: usize = 1_000;

/// Waits until a condition holds, and fails the test when it never does.
pub async fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    for _ in 0..MAX_POLLS {
        if holds() {
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    panic!("condition did not hold in time: {what}");
}
