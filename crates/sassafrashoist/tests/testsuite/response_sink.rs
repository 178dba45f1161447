use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use sassafrashoist::core::refusal::Refusal;
use sassafrashoist::core::response_sink::ResponseSink;
use sassafrashoist_core::result_code::ResultCode;
use tokio::sync::oneshot;
use tokio::time::Instant;
use volo_http::body::Body;

/// More parts than the sink buffers for its caller.
const PART_COUNT: u64 = 200;

/// Returns a sink with an open stream, and the body that its caller reads.
async fn open_stream(time_left: Duration) -> (ResponseSink, Body) {
    let (sender, receiver) = oneshot::channel();
    let mut sink = ResponseSink::new("k-1".to_owned(), true, Instant::now() + time_left, sender);
    sink.open_stream();
    (sink, receiver.await.unwrap().into_body())
}

async fn forward(sink: &mut ResponseSink, index: u64) {
    let raw = Bytes::from(format!("data: {index}\n\n"));
    sink.forward_part(index, index.to_string().as_bytes(), raw).await;
}

/// Reads a body; returns its bytes and whether it was aborted.
async fn read(mut body: Body) -> (String, bool) {
    let mut text = String::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return (text, true);
        };
        text += &String::from_utf8_lossy(frame.data_ref().unwrap());
    }
    (text, false)
}

#[tokio::test]
async fn stream_that_is_ended_is_complete() {
    let (mut sink, body) = open_stream(Duration::from_secs(5)).await;

    forward(&mut sink, 0).await;
    sink.end_stream(Bytes::from_static(b"data: [DONE]\n\n")).await;

    assert_eq!(read(body).await, ("data: 0\n\ndata: [DONE]\n\n".to_owned(), false));
}

// A task that fails or is cancelled drops its sink.
#[tokio::test]
async fn stream_whose_sink_is_dropped_is_not_framed_as_complete() {
    let (mut sink, body) = open_stream(Duration::from_secs(5)).await;

    forward(&mut sink, 0).await;
    drop(sink);

    assert_eq!(read(body).await, ("data: 0\n\n".to_owned(), true));
}

#[tokio::test]
async fn refused_stream_is_not_framed_as_complete() {
    let (mut sink, body) = open_stream(Duration::from_secs(5)).await;

    forward(&mut sink, 0).await;
    sink.refuse(&Refusal::of(ResultCode::AnswerCut)).await;
    drop(sink);

    let (text, is_aborted) = read(body).await;
    assert!(text.contains("event: error"), "{text}");
    assert!(is_aborted);
}

// A slow caller leaves no space for a part until its deadline, and then takes what is buffered.
#[tokio::test]
async fn stream_with_a_part_that_was_not_taken_is_not_framed_as_complete() {
    let (mut sink, body) = open_stream(Duration::from_millis(100)).await;
    for index in 0..PART_COUNT {
        forward(&mut sink, index).await;
    }

    let reading = tokio::spawn(read(body));
    tokio::time::sleep(Duration::from_millis(10)).await;
    sink.end_stream(Bytes::from_static(b"data: [DONE]\n\n")).await;

    let (text, is_aborted) = reading.await.unwrap();
    assert!(is_aborted, "{text}");
    assert!(!text.contains("[DONE]"), "{text}");
}
