//! The calls of other VMs to this one as the owner of budgets and keys.

use serde::{Deserialize, Serialize};
use tonic::{Request, Status};

use super::serve_peers::{PeerAnswer, PeerService};
use crate::core::clock::read_clock;
use crate::core::contact_table::ShardReport;
use crate::ops::commit_change::CommitError;
use crate::ops::decide_admission::{
    decide_admission, decide_redirect, decide_settlement, read_entry,
};
use crate::ops::move_tokens::{TransferCall, handle_transfer};
use sassafrashoist_core::ids::{BudgetId, RequestKey};
use sassafrashoist_core::owner::admit::AdmitRequest;
use sassafrashoist_core::owner::replica_delta::{DeltaResponse, ReplicaDelta};
use sassafrashoist_core::owner::settle::{RedirectRequest, SettleRequest};
use sassafrashoist_proto::v1::Envelope;
use sassafrashoist_proto::v1::owner_server::Owner;

/// A message to a VM that keeps a copy of shards.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum ReplicaCall {
    /// Brings changes.
    Delta(Box<ReplicaDelta>),
    /// Asks which state it has.
    Report,
}

/// The answer of a VM that keeps a copy of shards.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum ReplicaReply {
    /// What it did with the changes.
    Answer(DeltaResponse),
    /// The state that it has.
    Report(ShardReport),
}

#[tonic::async_trait]
impl Owner for PeerService {
    async fn admit(&self, request: Request<Envelope>) -> PeerAnswer {
        let admit: AdmitRequest = self.open(request)?;
        let decision = decide_admission(&self.context, admit).await;
        self.close(&decision.map_err(unavailable)?)
    }

    async fn redirect(&self, request: Request<Envelope>) -> PeerAnswer {
        let (budget_id, redirect): (BudgetId, RedirectRequest) = self.open(request)?;
        let attempt = decide_redirect(&self.context, &budget_id, redirect).await;
        self.close(&attempt.map_err(unavailable)?)
    }

    async fn settle(&self, request: Request<Envelope>) -> PeerAnswer {
        let (budget_id, settle): (BudgetId, SettleRequest) = self.open(request)?;
        let decision = decide_settlement(&self.context, &budget_id, settle).await;
        self.close(&decision.map_err(unavailable)?)
    }

    async fn lookup(&self, request: Request<Envelope>) -> PeerAnswer {
        let (budget_id, key): (BudgetId, RequestKey) = self.open(request)?;
        self.close(&read_entry(&self.context, &budget_id, &key).map_err(unavailable)?)
    }

    async fn replicate(&self, request: Request<Envelope>) -> PeerAnswer {
        let call: ReplicaCall = self.open(request)?;
        let mut owner = self.context.tables.lock_owner();
        let reply = match call {
            ReplicaCall::Report => {
                ReplicaReply::Report(ShardReport::of(self.context.process_incarnation, &owner))
            }
            ReplicaCall::Delta(delta) => {
                let replica = owner
                    .replica_mut(delta.location.shard)
                    .filter(|_| {
                        delta.location.data_centre_id == self.context.settings.data_centre_id
                    })
                    .ok_or_else(|| Status::invalid_argument("shard of another data centre"))?;
                ReplicaReply::Answer(replica.apply_delta(*delta, read_clock()))
            }
        };
        self.close(&reply)
    }

    async fn transfer(&self, request: Request<Envelope>) -> PeerAnswer {
        let message: TransferCall = self.open(request)?;
        let reply = handle_transfer(&self.context, message).await;
        self.close(&reply.map_err(unavailable)?)
    }

    async fn hand_over(&self, _request: Request<Envelope>) -> PeerAnswer {
        Err(Status::unimplemented("hand over"))
    }

    async fn balance(&self, request: Request<Envelope>) -> PeerAnswer {
        let budget_id: String = self.open(request)?;
        let report = self.context.tables.lock_owner().balance(&budget_id);
        self.close(&report)
    }
}

fn unavailable(error: CommitError) -> Status {
    Status::unavailable(error.to_string())
}
