//! Backend servers: model engines and plain services.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use sassafrashoist_core::ids::{BackendServerId, DataCentreId, ModelId, PoolId};

/// A backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendServer {
    /// Its id.
    pub id: BackendServerId,
    /// Its data centre.
    pub data_centre_id: DataCentreId,
    /// Its pool.
    pub pool_id: PoolId,
    /// Its address.
    pub address: SocketAddr,
    /// Whether it is a model engine or a plain service, and the details of each.
    pub kind: BackendServerKind,
    /// Whether it is being taken out of service.
    #[serde(default)]
    pub is_leaving: bool,
}

/// The kind of a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum BackendServerKind {
    /// A model engine.
    Engine {
        /// The models it should have loaded.
        model_ids: Vec<ModelId>,
        /// How many requests it runs at once.
        slot_count: u32,
        /// Whether it refuses requests with an outdated fencing token.
        checks_fencing: bool,
    },
    /// A plain service, which runs no model.
    Service {
        /// How many requests it runs at once.
        slot_count: u32,
    },
}

impl BackendServerKind {
    /// Returns how many requests the server runs at once.
    pub fn slot_count(&self) -> u32 {
        match self {
            Self::Engine { slot_count, .. } | Self::Service { slot_count } => *slot_count,
        }
    }

    /// Returns the models that the server should have loaded.
    pub fn model_ids(&self) -> &[ModelId] {
        match self {
            Self::Engine { model_ids, .. } => model_ids,
            Self::Service { .. } => &[],
        }
    }
}
