use std::time::Duration;

use sassafrashoist_platform::log_client::{AppendError, ReadError, ReadRange};
use sassafrashoist_platform::platform_client::PlatformClient;
use sassafrashoist_testkit::platform::platform_stand_in::PlatformStandIn;
use tokio_util::sync::CancellationToken;

async fn start_platform() -> (PlatformStandIn, PlatformClient) {
    let platform = PlatformStandIn::start(&CancellationToken::new()).await.unwrap();
    let client = PlatformClient::new(platform.address, "plateau".into());
    (platform, client)
}

fn range(from_offset: u64) -> ReadRange {
    ReadRange { from_offset, max_count: 10, wait: Duration::ZERO }
}

#[tokio::test]
async fn platform_append_with_a_lost_response_is_found_and_not_repeated() {
    let (platform, client) = start_platform().await;
    platform.set_faults(|faults| faults.lost_append_responses = 1);

    let offset = client.append_once("s", b"one".to_vec(), |found| found == b"one").await.unwrap();

    let page = client.read("s", range(0)).await.unwrap();
    assert_eq!(offset, 0);
    assert_eq!(page.records.len(), 1);
}

#[tokio::test]
async fn platform_append_with_a_lost_response_is_in_doubt() {
    let (platform, client) = start_platform().await;
    platform.set_faults(|faults| faults.lost_append_responses = 1);

    let result = client.append("s", vec![b"one".to_vec()]).await;

    assert!(matches!(result, Err(AppendError::InDoubt(_))));
}

#[tokio::test]
async fn platform_refuses_to_read_a_trimmed_offset() {
    let (platform, client) = start_platform().await;
    client.append("s", vec![b"one".to_vec(), b"two".to_vec()]).await.unwrap();
    platform.set_faults(|faults| faults.trim_after = Some(Duration::ZERO));

    let result = client.read("s", range(0)).await;

    assert!(matches!(result, Err(ReadError::Trimmed { earliest_offset: 2 })));
}
