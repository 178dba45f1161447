//! The calls of other VMs that keep the fleet in step.

use tonic::{Request, Status};

use super::serve_peers::{PeerAnswer, PeerService};
use crate::ops::exchange_heartbeats::answer_heartbeat;
use crate::ops::probe_runner::answer_sightings;
use sassafrashoist_core::ids::RequestKey;
use sassafrashoist_core::membership::heartbeat::HeartbeatCall;
use sassafrashoist_core::requests::sightings::SightingsCall;
use sassafrashoist_proto::v1::Envelope;
use sassafrashoist_proto::v1::fleet_server::Fleet;

#[tonic::async_trait]
impl Fleet for PeerService {
    async fn heartbeat(&self, request: Request<Envelope>) -> PeerAnswer {
        let call: HeartbeatCall = self.open(request)?;
        let answer = answer_heartbeat(&self.context, call).await;
        self.close(&answer)
    }

    async fn relay(&self, _request: Request<Envelope>) -> PeerAnswer {
        Err(Status::unimplemented("relay"))
    }

    async fn snapshot(&self, _request: Request<Envelope>) -> PeerAnswer {
        Err(Status::unimplemented("snapshot"))
    }

    async fn sightings(&self, request: Request<Envelope>) -> PeerAnswer {
        let call: SightingsCall = self.open(request)?;
        let answer = answer_sightings(&self.context, call);
        self.close(&answer)
    }

    async fn explain(&self, request: Request<Envelope>) -> PeerAnswer {
        let key: RequestKey = self.open(request)?;
        let decisions = self.context.tables.lock_decisions().explain(&key);
        self.close(&decisions)
    }
}
