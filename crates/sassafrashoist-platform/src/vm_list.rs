//! Reads the platform's list of live and leaving VMs, which can be out of date.

use eyre::{Result, WrapErr, ensure};
use http::{Method, StatusCode};

use crate::platform_client::PlatformClient;
use crate::wire::ListedVm;

impl PlatformClient {
    /// Reads the VM list.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not respond with a list.
    pub async fn list_vms(&self) -> Result<Vec<ListedVm>> {
        let response = self
            .send(Method::GET, "/vms", Vec::new(), self.timeout())
            .await
            .wrap_err("failed to read the VM list")?;
        ensure!(
            response.status == StatusCode::OK,
            "VM list request returned status {}",
            response.status
        );
        serde_json::from_slice(&response.body).wrap_err("failed to decode the VM list")
    }
}
