//! The calls of other VMs to this one as the owner of budgets and keys.

use tonic::{Request, Status};

use super::serve_peers::{PeerAnswer, PeerService};
use crate::core::clock::read_clock;
use sassafrashoist_core::ids::RequestKey;
use sassafrashoist_core::owner::admit::AdmitRequest;
use sassafrashoist_core::owner::settle::{RedirectRequest, SettleRequest};
use sassafrashoist_proto::v1::Envelope;
use sassafrashoist_proto::v1::owner_server::Owner;

#[tonic::async_trait]
impl Owner for PeerService {
    async fn admit(&self, request: Request<Envelope>) -> PeerAnswer {
        let admit: AdmitRequest = self.open(request)?;
        let decision = self.context.tables.lock_owner().admit(admit, read_clock());
        self.close(&decision)
    }

    async fn redirect(&self, request: Request<Envelope>) -> PeerAnswer {
        let redirect: RedirectRequest = self.open(request)?;
        let attempt = self.context.tables.lock_owner().redirect(redirect, read_clock());
        self.close(&attempt)
    }

    async fn settle(&self, request: Request<Envelope>) -> PeerAnswer {
        let settle: SettleRequest = self.open(request)?;
        let decision =
            self.context.tables.lock_owner().settle(settle, read_clock(), &self.context.invariants);
        self.close(&decision)
    }

    async fn lookup(&self, request: Request<Envelope>) -> PeerAnswer {
        let key: RequestKey = self.open(request)?;
        let entry = self.context.tables.lock_owner().lookup(&key).cloned();
        self.close(&entry)
    }

    async fn replicate(&self, _request: Request<Envelope>) -> PeerAnswer {
        Err(Status::unimplemented("replicate"))
    }

    async fn transfer(&self, _request: Request<Envelope>) -> PeerAnswer {
        Err(Status::unimplemented("transfer"))
    }

    async fn hand_over(&self, _request: Request<Envelope>) -> PeerAnswer {
        Err(Status::unimplemented("hand over"))
    }

    async fn balance(&self, request: Request<Envelope>) -> PeerAnswer {
        let budget_id: String = self.open(request)?;
        let account = self.context.tables.lock_owner().account(&budget_id);
        self.close(&account)
    }
}
