//! Reads state dumps and other JSON pages from the VMs' admin addresses.

use std::time::Duration;

use bytes::Bytes;
use eyre::{Result, WrapErr, ensure, eyre};
use http::{HeaderMap, Method, StatusCode};
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::core::ctl_context::CtlContext;
use sassafrashoist_platform::http_client::{HttpRequest, send_http_request};

/// How long a VM may take to respond.
const ADMIN_TIMEOUT: Duration = Duration::from_secs(2);

/// Reads a VM's state dump.
///
/// # Errors
///
/// Fails when the VM is not in the settings or does not respond with JSON.
pub async fn read_vm_state(context: &CtlContext, vm_id: &str) -> Result<Value> {
    read_admin_page(context, vm_id, "/state").await
}

/// Reads a JSON page from a VM's admin address.
///
/// # Errors
///
/// Fails when the VM is not in the settings or does not respond with the expected JSON.
pub async fn read_admin_page<T: DeserializeOwned>(
    context: &CtlContext,
    vm_id: &str,
    path: &str,
) -> Result<T> {
    let address = context
        .settings
        .vm_admin_addresses
        .get(vm_id)
        .ok_or_else(|| eyre!("VM {vm_id:?} is not in vm_admin_addresses of the settings"))?;
    let request = HttpRequest {
        method: Method::GET,
        url: format!("http://{address}{path}"),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        timeout: ADMIN_TIMEOUT,
    };
    let response = send_http_request(&context.client, request)
        .await
        .wrap_err_with(|| format!("failed to read {path} of VM {vm_id}"))?;
    ensure!(response.status == StatusCode::OK, "VM {vm_id} returned status {}", response.status);
    serde_json::from_slice(&response.body)
        .wrap_err_with(|| format!("failed to decode {path} of VM {vm_id}"))
}
