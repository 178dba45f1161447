//! Tests of the log service's connection, which is used for many calls.

use std::net::SocketAddr;
use std::time::Duration;

use sassafrashoist::gateway::gateway_context::GatewayContext;
use sassafrashoist::gateway::log_client::LogClient;
use sassafrashoist_adapter::vm_settings_file::parse_vm_settings;
use sassafrashoist_platform_stand_in::raw_server::{RawEnd, RawResponse, RawServer};
use tokio_util::sync::CancellationToken;

const TOPIC: &str = "keyed.x";

/// Creates a client whose log service is a server.
pub fn client_of(server: &RawServer) -> LogClient {
    client_at(server.address)
}

/// Creates a client whose log service has this address.
pub fn client_at(address: SocketAddr) -> LogClient {
    let settings = format!(
        "nodeName=vm-0\nzone=plateau\nip=127.0.0.1\nlistenersMap.http=127.0.0.1:1\n\
         listenersMap.ready=127.0.0.1:2\nportRange=3,3\nprovider.address={address}\n\
         bounds.gracePeriodS=4\nbounds.drainTimeoutMs=2000\nbounds.retryBudgetRatio=0.2\n\
         bounds.retryWindowS=10\nbounds.budgetSlack=100\nbounds.cacheWindowS=10\n"
    );
    let settings = parse_vm_settings(&settings).unwrap();
    LogClient::new(GatewayContext::new(settings, CancellationToken::new()))
}

fn appended(end: usize) -> String {
    let body = format!("{{\"position\":0,\"endOffset\":{end}}}");
    format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len())
}

/// Makes calls whose responses are all written twice; returns the results and the connections.
async fn append_with_repeated_responses(
    repeated_after: Option<Duration>,
    pause: Duration,
) -> (Vec<Result<u64, String>>, usize) {
    let server = RawServer::start(move |request| {
        let text = appended(request.number + 1);
        match repeated_after {
            None => RawResponse::at_once(&format!("{text}{text}")),
            Some(delay) => RawResponse {
                writes: vec![(Duration::ZERO, text.clone()), (delay, text)],
                end: RawEnd::StaysOpen,
            },
        }
    });
    let server = server.await.unwrap();
    let mut client = client_of(&server);
    let mut results = Vec::new();
    for at in 0..5 {
        let result = client.append_at(TOPIC, at, "k", b"v").await;
        results.push(result.map_err(|error| error.to_string()));
        tokio::time::sleep(pause).await;
    }
    (results, server.connection_count())
}

// The response to an earlier call would tell of a later one that it was executed, or was not.
#[tokio::test]
async fn repeated_response_is_not_taken_for_that_to_the_next_call() {
    let expected: Vec<_> = (1..=5).map(Ok).collect();
    let short = Duration::from_millis(20);

    let together = append_with_repeated_responses(None, Duration::ZERO).await;
    let together_and_idle = append_with_repeated_responses(None, short * 2).await;
    let while_idle = append_with_repeated_responses(Some(short), short * 3).await;

    assert_eq!(together.0, expected);
    assert_eq!(together_and_idle.0, expected);
    assert_eq!(while_idle.0, expected);
}

// The connection is used again as long as the service keeps to the protocol.
#[tokio::test]
async fn sound_responses_keep_the_connection() {
    let server = RawServer::start(|request| RawResponse::at_once(&appended(request.number + 1)));
    let server = server.await.unwrap();
    let mut client = client_of(&server);

    for at in 0..5 {
        assert_eq!(client.append_at(TOPIC, at, "k", b"v").await.unwrap(), at + 1);
    }

    assert_eq!(server.connection_count(), 1);
}
