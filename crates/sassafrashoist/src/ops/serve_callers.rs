//! The HTTP interface for callers.

use std::sync::Arc;

use futures::FutureExt;
use http::{Method, Request, Response};
use volo_http::body::Body;

use crate::core::readiness::ReadinessStep;
use crate::core::refusal::Refusal;
use crate::core::router_context::RouterContext;
use crate::ops::handle_request::handle_request;
use crate::ops::mint_key::mint_key;
use crate::ops::query_request::query_request;
use crate::ops::read_request::{authenticate, read_request};
use crate::util::http_response::{RESULT_CODE_HEADER, build_refusal_response};
use crate::util::http_server::HttpHandler;
use sassafrashoist_core::result_code::ResultCode;

/// The path prefix under which the state of a request is read.
const REQUESTS_PATH: &str = "/v1/requests/";
/// The path that mints idempotency keys.
const KEYS_PATH: &str = "/v1/keys";

/// Returns the handler of callers' requests.
pub fn build_caller_handler(context: Arc<RouterContext>) -> HttpHandler {
    Arc::new(move |request| {
        let context = Arc::clone(&context);
        async move {
            let response = respond_to_caller(&context, request).await;
            count_response(&context, &response);
            response
        }
        .boxed()
    })
}

async fn respond_to_caller(context: &Arc<RouterContext>, request: Request<Body>) -> Response<Body> {
    let path = request.uri().path().to_owned();
    if *request.method() == Method::GET
        && let Some(key) = path.strip_prefix(REQUESTS_PATH)
    {
        return query_request(context, key, request.headers()).await;
    }
    let refuse = |refusal: Refusal| build_refusal_response(&context.registry.next_key(), &refusal);
    let Some(bundle) = context.tables.bundle() else {
        return refuse(not_ready(ReadinessStep::WaitsForBundle));
    };
    if path == KEYS_PATH {
        return match authenticate(&bundle, request.headers()) {
            Ok(_) if *request.method() == Method::POST => mint_key(context),
            Ok(_) => refuse(Refusal::of(ResultCode::MethodNotAllowed)),
            Err(refusal) => refuse(refusal),
        };
    }
    let caller_request = match read_request(context, &bundle, request).await {
        Ok(caller_request) => caller_request,
        Err(refusal) => return refuse(refusal),
    };
    match context.tables.readiness() {
        ReadinessStep::Ready => handle_request(context, caller_request).await,
        step => refuse(not_ready(step)),
    }
}

fn not_ready(step: ReadinessStep) -> Refusal {
    Refusal::new(ResultCode::NotReady, format!("this VM is not ready: {step:?}"))
        .retry_after(Some(std::time::Duration::from_secs(1)))
}

fn count_response(context: &RouterContext, response: &Response<Body>) {
    let code = response
        .headers()
        .get(RESULT_CODE_HEADER)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("none")
        .to_owned();
    let vm_id = context.settings.vm_id.clone();
    metrics::counter!("sassafrashoist_answers_total", "vm" => vm_id, "code" => code).increment(1);
}
