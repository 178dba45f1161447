use bytes::Bytes;
use futures::FutureExt;
use http_body_util::BodyExt;
use sassafrashoist::gateway::response_body::streamed_body;

#[tokio::test]
async fn a_finished_body_is_complete() {
    let (sender, body) = streamed_body(2);

    assert!(sender.send(Bytes::from_static(b"whole")).await);
    sender.finish();

    assert_eq!(body.collect().await.unwrap().to_bytes(), "whole");
}

#[tokio::test]
async fn a_body_whose_sender_is_dropped_is_incomplete() {
    let (sender, mut body) = streamed_body(2);

    assert!(sender.send(Bytes::from_static(b"half")).await);
    drop(sender);

    assert_eq!(body.frame().await.unwrap().unwrap().into_data().unwrap(), "half");
    assert!(body.frame().await.unwrap().is_err());
}

#[tokio::test]
async fn a_sender_detects_that_the_caller_has_disconnected() {
    let (sender, body) = streamed_body(2);

    drop(body);

    sender.closed().await;
    assert!(!sender.send(Bytes::from_static(b"late")).await);
}

// An error at once after a chunk makes the HTTP library drop the chunk.
#[tokio::test]
async fn body_is_pending_between_its_last_chunk_and_its_error() {
    let (sender, mut body) = streamed_body(2);
    assert!(sender.send(Bytes::from_static(b"half")).await);
    drop(sender);

    let chunk = body.frame().now_or_never();
    let end = body.frame().now_or_never();

    assert!(chunk.is_some());
    assert!(end.is_none());
    assert!(body.frame().await.unwrap().is_err());
}
