//! Mints idempotency keys that contain the id of their data centre.
//!
//! The owner of a minted key is in the data centre that minted it, so the first attempt with it
//! never depends on another data centre.

use http::Response;
use serde::Serialize;
use volo_http::body::Body;

use crate::core::router_context::RouterContext;
use crate::util::http_response::{build_json_response, set_result_headers};
use sassafrashoist_core::result_code::ResultCode;

/// The prefix of every minted key.
const MINTED_PREFIX: &str = "mk.";

#[derive(Debug, Serialize)]
struct MintedKey {
    key: String,
}

/// Handles `POST /v1/keys`.
pub fn mint_key(context: &RouterContext) -> Response<Body> {
    let data_centre_id = &context.settings.data_centre_id;
    let number: u128 = rand::random();
    let key = format!("{MINTED_PREFIX}{data_centre_id}.{number:032x}");
    let mut response = build_json_response(ResultCode::KeyMinted.http_status(), &MintedKey { key });
    set_result_headers(&mut response, &context.registry.next_key(), ResultCode::KeyMinted);
    response
}

/// Returns the id of the data centre that minted a key, or `None` if the key was not minted.
pub fn minting_data_centre(key: &str) -> Option<&str> {
    let (data_centre_id, _) = key.strip_prefix(MINTED_PREFIX)?.rsplit_once('.')?;
    Some(data_centre_id)
}
