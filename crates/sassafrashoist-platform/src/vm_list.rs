//! The platform's list of live and leaving VMs, which lags.

use eyre::{Result, WrapErr, ensure};
use http::{Method, StatusCode};

use crate::platform_client::PlatformClient;
use crate::wire::ListedVm;

impl PlatformClient {
    /// Reads the VM list.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer with a list.
    pub async fn list_vms(&self) -> Result<Vec<ListedVm>> {
        let answer = self
            .send(Method::GET, "/vms", Vec::new(), self.timeout())
            .await
            .wrap_err("failed to read the VM list")?;
        ensure!(answer.status == StatusCode::OK, "VM list answered status {}", answer.status);
        serde_json::from_slice(&answer.body).wrap_err("failed to decode the VM list")
    }
}
