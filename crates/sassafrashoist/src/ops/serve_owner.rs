//! The methods for other VMs that concern the budgets and keys that this VM owns.

use serde::{Deserialize, Serialize};
use tonic::{Request, Status};

use super::serve_peers::{PeerResult, PeerService};
use crate::core::clock::read_clock;
use crate::core::contact_table::ShardReport;
use crate::ops::commit_change::CommitError;
use crate::ops::decide_admission::{
    decide_admission, decide_redirect, decide_settlement, read_entry,
};
use crate::ops::move_tokens::{TransferMessage, handle_transfer};
use sassafrashoist_core::ids::{BudgetId, RequestKey};
use sassafrashoist_core::owner::admit::AdmitRequest;
use sassafrashoist_core::owner::replica_delta::{DeltaResponse, ReplicaDelta};
use sassafrashoist_core::owner::settle::{RedirectRequest, SettleRequest};
use sassafrashoist_proto::v1::Envelope;
use sassafrashoist_proto::v1::owner_server::Owner;

/// A request to a VM that has replicas of shards.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum ReplicaRequest {
    /// Applies changes as the backup.
    Delta(Box<ReplicaDelta>),
    /// Requests the epochs of the shard state that the VM has.
    Report,
}

/// The response of a VM that has replicas of shards.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum ReplicaResponse {
    /// What it did with the changes.
    #[serde(rename = "Answer")]
    Delta(DeltaResponse),
    /// The epochs of the shard state that it has.
    Report(ShardReport),
}

#[tonic::async_trait]
impl Owner for PeerService {
    async fn admit(&self, request: Request<Envelope>) -> PeerResult {
        let admit: AdmitRequest = self.decode(request)?;
        let decision = decide_admission(&self.context, admit).await;
        self.encode(&decision.map_err(to_unavailable)?)
    }

    async fn redirect(&self, request: Request<Envelope>) -> PeerResult {
        let (budget_id, redirect): (BudgetId, RedirectRequest) = self.decode(request)?;
        let attempt = decide_redirect(&self.context, &budget_id, redirect).await;
        self.encode(&attempt.map_err(to_unavailable)?)
    }

    async fn settle(&self, request: Request<Envelope>) -> PeerResult {
        let (budget_id, settle): (BudgetId, SettleRequest) = self.decode(request)?;
        let decision = decide_settlement(&self.context, &budget_id, settle).await;
        self.encode(&decision.map_err(to_unavailable)?)
    }

    async fn lookup(&self, request: Request<Envelope>) -> PeerResult {
        let (budget_id, key): (BudgetId, RequestKey) = self.decode(request)?;
        self.encode(&read_entry(&self.context, &budget_id, &key).map_err(to_unavailable)?)
    }

    async fn replicate(&self, request: Request<Envelope>) -> PeerResult {
        let request: ReplicaRequest = self.decode(request)?;
        let mut owner = self.context.tables.lock_owner();
        let response = match request {
            ReplicaRequest::Report => {
                ReplicaResponse::Report(ShardReport::of(self.context.process_incarnation, &owner))
            }
            ReplicaRequest::Delta(delta) => {
                let replica = owner
                    .replica_mut(delta.location.shard)
                    .filter(|_| {
                        delta.location.data_centre_id == self.context.settings.data_centre_id
                    })
                    .ok_or_else(|| Status::invalid_argument("shard of another data centre"))?;
                ReplicaResponse::Delta(replica.apply_delta(*delta, read_clock()))
            }
        };
        self.encode(&response)
    }

    async fn transfer(&self, request: Request<Envelope>) -> PeerResult {
        let message: TransferMessage = self.decode(request)?;
        let response = handle_transfer(&self.context, message).await;
        self.encode(&response.map_err(to_unavailable)?)
    }

    async fn hand_over(&self, _request: Request<Envelope>) -> PeerResult {
        Err(Status::unimplemented("hand over"))
    }

    async fn balance(&self, request: Request<Envelope>) -> PeerResult {
        let budget_id: String = self.decode(request)?;
        let report = self.context.tables.lock_owner().balance(&budget_id);
        self.encode(&report)
    }
}

fn to_unavailable(error: CommitError) -> Status {
    Status::unavailable(error.to_string())
}
