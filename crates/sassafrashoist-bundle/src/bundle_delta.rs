//! A bundle as its difference from the one it is based on.
//!
//! The signatures cover the digest of the whole resulting bundle, so a delta is authenticated as
//! strongly as the whole bundle. A VM whose active bundle is not the delta's base detects this by
//! the base's digest.

use serde::{Deserialize, Serialize};

use crate::account::{Budget, ClientAccount};
use crate::backend_server::BackendServer;
use crate::bundle::{Bundle, DataCentre, Operator, Pool};
use crate::route::Route;
use crate::section_delta::SectionDelta;
use crate::signed_bundle::{OperatorSignature, SignedBundle};
use sassafrashoist_core::ids::{BundleVersion, OperatorId};

/// The changes from one bundle to the next.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BundleDelta {
    /// The version of the JSON format.
    pub format_version: u32,
    /// The new version.
    pub version: BundleVersion,
    /// The version that it is based on.
    pub based_on_version: BundleVersion,
    /// Changes of the data centres.
    pub data_centres: SectionDelta<DataCentre>,
    /// Changes of the operators.
    pub operators: SectionDelta<Operator>,
    /// Changes of the client accounts.
    pub client_accounts: SectionDelta<ClientAccount>,
    /// Changes of the budgets.
    pub budgets: SectionDelta<Budget>,
    /// Changes of the pools.
    pub pools: SectionDelta<Pool>,
    /// Changes of the backend servers.
    pub backend_servers: SectionDelta<BackendServer>,
    /// Changes of the routes.
    pub routes: SectionDelta<Route>,
}

/// A signed bundle as its difference from the active one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SignedDelta {
    /// The changes.
    pub delta: BundleDelta,
    /// The digest of the bundle that they apply to.
    pub base_digest_sha256: String,
    /// The digest of the resulting bundle.
    pub digest_sha256: String,
    /// The author's signature.
    pub author: OperatorSignature,
    /// The approval of another operator.
    pub approval: Option<OperatorSignature>,
}

impl BundleDelta {
    /// Computes the changes that turn one bundle into another.
    pub fn between(old: &Bundle, new: &Bundle) -> Self {
        Self {
            format_version: new.format_version,
            version: new.version,
            based_on_version: new.based_on_version,
            data_centres: SectionDelta::between(&old.data_centres, &new.data_centres),
            operators: SectionDelta::between(&old.operators, &new.operators),
            client_accounts: SectionDelta::between(&old.client_accounts, &new.client_accounts),
            budgets: SectionDelta::between(&old.budgets, &new.budgets),
            pools: SectionDelta::between(&old.pools, &new.pools),
            backend_servers: SectionDelta::between(&old.backend_servers, &new.backend_servers),
            routes: SectionDelta::between(&old.routes, &new.routes),
        }
    }

    /// Applies the changes to a bundle.
    pub fn apply(&self, old: &Bundle) -> Bundle {
        Bundle {
            format_version: self.format_version,
            version: self.version,
            based_on_version: self.based_on_version,
            data_centres: self.data_centres.apply(&old.data_centres),
            operators: self.operators.apply(&old.operators),
            client_accounts: self.client_accounts.apply(&old.client_accounts),
            budgets: self.budgets.apply(&old.budgets),
            pools: self.pools.apply(&old.pools),
            backend_servers: self.backend_servers.apply(&old.backend_servers),
            routes: self.routes.apply(&old.routes),
        }
    }
}

impl SignedDelta {
    /// Expresses a signed bundle as its difference from a base.
    pub fn between(base: &SignedBundle, signed: &SignedBundle) -> Self {
        Self {
            delta: BundleDelta::between(&base.bundle, &signed.bundle),
            base_digest_sha256: base.digest_sha256.clone(),
            digest_sha256: signed.digest_sha256.clone(),
            author: signed.author.clone(),
            approval: signed.approval.clone(),
        }
    }

    /// Returns the author.
    pub fn author_id(&self) -> &OperatorId {
        &self.author.operator_id
    }

    /// Rebuilds the signed bundle from its base; [`SignedBundle::verify`] checks the digest.
    pub fn apply(&self, base: &SignedBundle) -> SignedBundle {
        SignedBundle {
            bundle: self.delta.apply(&base.bundle),
            digest_sha256: self.digest_sha256.clone(),
            author: self.author.clone(),
            approval: self.approval.clone(),
        }
    }
}
