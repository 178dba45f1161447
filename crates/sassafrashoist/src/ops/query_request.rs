//! Handles `GET /v1/requests/{key}`, which returns the state of a request.

use http::{HeaderMap, Response};
use serde::Serialize;
use serde_with::base64::Base64;
use serde_with::serde_as;
use volo_http::body::Body;

use crate::core::refusal::Refusal;
use crate::core::router_context::RouterContext;
use crate::ops::admit_request::lookup_request;
use crate::ops::read_request::{authenticate, key_data_centre, scope_key};
use crate::util::http_response::{build_json_response, build_refusal_response, set_result_headers};
use sassafrashoist_core::ids::{RequestKey, Tokens};
use sassafrashoist_core::requests::key_entry::{KeyEntry, KeyState};
use sassafrashoist_core::result_code::ResultCode;

/// The state of a request, as reported to its caller.
#[serde_as]
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case", tag = "state")]
enum RequestReport {
    Running,
    Done {
        billed_tokens: Tokens,
        code: u16,
        http_status: Option<u16>,
        content_type: Option<String>,
        #[serde_as(as = "Option<Base64>")]
        #[serde(rename = "answer_base64")]
        response_base64: Option<Vec<u8>>,
    },
    Unknown,
}

/// Responds with the state of a request of the caller's account.
pub async fn query_request(
    context: &RouterContext,
    caller_key: &str,
    headers: &HeaderMap,
) -> Response<Body> {
    match find_entry(context, caller_key, headers).await {
        Ok((key, entry)) => {
            let mut response = build_json_response(200, &report_entry(entry));
            set_result_headers(&mut response, &key, ResultCode::StateRead);
            response
        }
        Err(refusal) => build_refusal_response(caller_key, &refusal),
    }
}

async fn find_entry(
    context: &RouterContext,
    caller_key: &str,
    headers: &HeaderMap,
) -> Result<(RequestKey, KeyEntry), Refusal> {
    let bundle = context.tables.bundle().ok_or_else(|| Refusal::of(ResultCode::NotReady))?;
    let account = authenticate(&bundle, headers)?;
    let key = scope_key(&account.id, caller_key);
    let data_centre_id = key_data_centre(context, &bundle, caller_key);
    let mut budget_ids: Vec<_> = account.grants.iter().map(|grant| &grant.budget_id).collect();
    budget_ids.dedup();
    for budget_id in budget_ids {
        let Some(owner_vm_id) = context.owner_vm(&data_centre_id, budget_id) else {
            continue;
        };
        let entry = lookup_request(context, &owner_vm_id, budget_id, &key)
            .await
            .map_err(|error| Refusal::new(ResultCode::OwnerOutOfReach, error.to_string()))?;
        if let Some(entry) = entry {
            return Ok((key, entry));
        }
    }
    Err(Refusal::of(ResultCode::UnknownRequest))
}

fn report_entry(entry: KeyEntry) -> RequestReport {
    match entry.state {
        KeyState::Running { .. } => RequestReport::Running,
        KeyState::Unknown => RequestReport::Unknown,
        KeyState::Done { billed_tokens, code, response: stored } => {
            let http_status = stored.as_ref().map(|stored| stored.http_status);
            let content_type = stored.as_ref().map(|stored| stored.content_type.clone());
            RequestReport::Done {
                billed_tokens,
                code: code.number(),
                http_status,
                content_type,
                response_base64: stored.map(|stored| stored.body),
            }
        }
    }
}
