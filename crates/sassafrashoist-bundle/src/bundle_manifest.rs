//! The canonical form of a bundle and its digest.
//!
//! A section is one list of the bundle. Its canonical form is its JSON without whitespace, with the
//! items sorted by id, so that the digest does not depend on the order that the author chose. The
//! manifest lists the versions and the digest of each section; the bundle's digest is that of the
//! manifest. This proves that a section belongs to a signed bundle without the other sections.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::bundle::{Bundle, Operator};
use crate::section_item::SectionItem;
use sassafrashoist_core::ids::BundleVersion;

/// The section that lists the operators.
const OPERATORS_SECTION: &str = "operators";

/// The digest of one section.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SectionDigest {
    /// The section's name, as in the bundle's JSON.
    pub section: String,
    /// The SHA-256 of its canonical form, in hexadecimal.
    pub sha256: String,
}

/// The versions of a bundle and the digests of its sections.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BundleManifest {
    /// The version of the JSON format.
    pub format_version: u32,
    /// The bundle's version.
    pub version: BundleVersion,
    /// The version that it replaces.
    pub based_on_version: BundleVersion,
    /// The digest of each section.
    pub sections: Vec<SectionDigest>,
}

impl BundleManifest {
    /// Computes the manifest of a bundle.
    pub fn of(bundle: &Bundle) -> Self {
        let sections = vec![
            digest_section("data_centres", &bundle.data_centres),
            digest_section(OPERATORS_SECTION, &bundle.operators),
            digest_section("client_accounts", &bundle.client_accounts),
            digest_section("budgets", &bundle.budgets),
            digest_section("pools", &bundle.pools),
            digest_section("backend_servers", &bundle.backend_servers),
            digest_section("routes", &bundle.routes),
        ];
        Self {
            format_version: bundle.format_version,
            version: bundle.version,
            based_on_version: bundle.based_on_version,
            sections,
        }
    }

    /// Returns the digest of the bundle, in hexadecimal.
    pub fn digest(&self) -> String {
        digest_hex(&serde_json::to_vec(self).unwrap_or_default())
    }

    /// Returns whether these are the operators of the bundle.
    pub fn has_operators(&self, operators: &[Operator]) -> bool {
        self.sections.contains(&digest_section(OPERATORS_SECTION, operators))
    }
}

fn digest_section<T: SectionItem>(section: &str, items: &[T]) -> SectionDigest {
    let mut sorted: Vec<&T> = items.iter().collect();
    sorted.sort_by(|a, b| a.item_id().cmp(b.item_id()));
    let canonical = serde_json::to_vec(&sorted).unwrap_or_default();
    SectionDigest { section: section.to_owned(), sha256: digest_hex(&canonical) }
}

fn digest_hex(bytes: &[u8]) -> String {
    Sha256::digest(bytes).iter().map(|byte| format!("{byte:02x}")).collect()
}
