use sassafrashoist_testkit::client::caller::{Caller, CallerRequest};
use sassafrashoist_testkit::service::service_stand_in::ServiceStandIn;
use tokio_util::sync::CancellationToken;

// A process of another run that polls the earlier owner of the port is no router.
#[tokio::test]
async fn request_without_a_key_is_not_counted_as_a_run() {
    let service = ServiceStandIn::start(&CancellationToken::new()).await.unwrap();
    let caller = Caller::new(service.address, "none");
    let keyed = CallerRequest {
        path: "/bids".to_owned(),
        idempotency_key: Some("b-1".to_owned()),
        ..CallerRequest::default()
    };

    let polled = caller.get("/api/log-newest?topic=keyed.op&part=0").await.unwrap();
    let bid = caller.post(&keyed).await.unwrap();

    assert_eq!((polled.status, bid.status), (400, 200));
    assert_eq!(service.execution_counts().into_iter().collect::<Vec<_>>(), [("b-1".to_owned(), 1)]);
}
