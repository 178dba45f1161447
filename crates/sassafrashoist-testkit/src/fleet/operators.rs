//! Two operators with fixed signing keys, for fleets and tests.

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};

use ed25519_dalek::SigningKey;
use eyre::{Result, WrapErr};

use sassafrasctl::core::ctl_context::CtlContext;
use sassafrasctl::core::ctl_settings::CtlSettings;
use sassafrasctl::util::shell::{OutputFormat, Shell};
use sassafrashoist_bundle::bundle::Operator;
use sassafrashoist_bundle::operator_keys::{encode_public_key, encode_signing_key};
use sassafrashoist_core::ids::VmId;

/// The operator who authors bundles.
pub const AUTHOR_ID: &str = "awa";
/// The operator who approves bundles.
pub const APPROVER_ID: &str = "bram";

static NEXT_DIRECTORY: AtomicU64 = AtomicU64::new(1);

/// Returns the signing key of an operator, derived from the id and so the same for every fleet.
pub fn operator_key(operator_id: &str) -> SigningKey {
    let mut seed = [7; 32];
    for (seed_byte, byte) in seed.iter_mut().zip(operator_id.bytes()) {
        *seed_byte = byte;
    }
    SigningKey::from_bytes(&seed)
}

/// Returns both operators with their public keys, as in a bundle.
pub fn operators() -> Vec<Operator> {
    [AUTHOR_ID, APPROVER_ID]
        .into_iter()
        .map(|id| Operator {
            id: id.to_owned(),
            public_key_base64: encode_public_key(&operator_key(id)),
        })
        .collect()
}

/// A temporary directory with the key files of the operators, removed when dropped.
#[derive(Debug)]
pub struct KeyDirectory {
    path: PathBuf,
}

impl KeyDirectory {
    /// Writes the key files of both operators.
    ///
    /// # Errors
    ///
    /// Fails when the directory or a file cannot be written.
    pub fn create() -> Result<Self> {
        let number = NEXT_DIRECTORY.fetch_add(1, Ordering::Relaxed);
        let name = format!("sassafrashoist-keys-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path).wrap_err("failed to create the key directory")?;
        let directory = Self { path };
        for id in [AUTHOR_ID, APPROVER_ID] {
            fs::write(directory.key_file(id), encode_signing_key(&operator_key(id)))
                .wrap_err("failed to write a key file")?;
        }
        Ok(directory)
    }

    /// Returns the `sassafrasctl` context of an operator.
    pub fn ctl_context(
        &self,
        operator_id: &str,
        platform_address: SocketAddr,
        vm_admin_addresses: BTreeMap<VmId, SocketAddr>,
    ) -> CtlContext {
        let settings = CtlSettings {
            operator_id: operator_id.to_owned(),
            signing_key_file: self.key_file(operator_id),
            platform_address,
            vm_admin_addresses,
            root_operators: operators(),
        };
        CtlContext::new(settings, Shell::new(OutputFormat::Text))
    }

    fn key_file(&self, operator_id: &str) -> PathBuf {
        self.path.join(format!("{operator_id}.key"))
    }
}

impl Drop for KeyDirectory {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.path);
    }
}
