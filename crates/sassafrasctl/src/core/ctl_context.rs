//! The settings, clients and output that all operations share.

use std::fs;

use ed25519_dalek::SigningKey;
use eyre::{Result, WrapErr};
use volo_http::client::Client;

use super::ctl_settings::CtlSettings;
use crate::util::shell::Shell;
use sassafrashoist_bundle::operator_keys::decode_signing_key;
use sassafrashoist_platform::platform_client::PlatformClient;

/// The data centre id in operators' requests to the platform.
const OPERATOR_DATA_CENTRE: &str = "operators";

/// The settings, clients and output that all operations share.
pub struct CtlContext {
    /// The operator's settings.
    pub settings: CtlSettings,
    /// The client of the platform's services.
    pub platform: PlatformClient,
    /// The HTTP client for the VMs' admin addresses.
    pub client: Client,
    /// Writes the output.
    pub shell: Shell,
}

impl CtlContext {
    /// Creates a context.
    pub fn new(settings: CtlSettings, shell: Shell) -> Self {
        let platform =
            PlatformClient::new(settings.platform_address, OPERATOR_DATA_CENTRE.to_owned());
        Self { settings, platform, client: Client::default(), shell }
    }

    /// Reads the operator's signing key.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be read or does not contain a key.
    pub fn read_signing_key(&self) -> Result<SigningKey> {
        let path = &self.settings.signing_key_file;
        let text = fs::read_to_string(path)
            .wrap_err_with(|| format!("failed to read signing key {}", path.display()))?;
        decode_signing_key(&text)
    }
}
