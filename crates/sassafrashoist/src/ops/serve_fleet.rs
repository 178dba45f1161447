//! The calls of other VMs that keep the fleet in step.

use serde::Serialize;
use serde::de::DeserializeOwned;
use tonic::{Request, Status};

use super::serve_peers::{PeerAnswer, PeerService};
use crate::core::control_traffic::ControlKind;
use crate::core::relay_messages::RelayRequest;
use crate::ops::exchange_heartbeats::answer_heartbeat;
use crate::ops::probe_runner::handle_sightings;
use crate::ops::serve_relay::serve_relay;
use sassafrashoist_core::ids::RequestKey;
use sassafrashoist_core::membership::heartbeat::HeartbeatRequest;
use sassafrashoist_core::requests::sightings::SightingsRequest;
use sassafrashoist_proto::v1::Envelope;
use sassafrashoist_proto::v1::fleet_server::Fleet;

impl PeerService {
    fn open_control<T: DeserializeOwned>(
        &self,
        kind: ControlKind,
        request: Request<Envelope>,
    ) -> Result<T, Status> {
        self.context.traffic.count(kind, request.get_ref().payload.len());
        self.open(request)
    }

    fn close_control<T: Serialize>(&self, kind: ControlKind, payload: &T) -> PeerAnswer {
        let answer = self.close(payload)?;
        self.context.traffic.count(kind, answer.get_ref().payload.len());
        Ok(answer)
    }
}

#[tonic::async_trait]
impl Fleet for PeerService {
    async fn heartbeat(&self, request: Request<Envelope>) -> PeerAnswer {
        let call: HeartbeatRequest = self.open_control(ControlKind::Heartbeat, request)?;
        let answer = answer_heartbeat(&self.context, call).await;
        self.close_control(ControlKind::Heartbeat, &answer)
    }

    async fn relay(&self, request: Request<Envelope>) -> PeerAnswer {
        let call: RelayRequest = self.open_control(ControlKind::Relay, request)?;
        let answer = serve_relay(&self.context, &call).await;
        self.close_control(ControlKind::Relay, &answer)
    }

    async fn snapshot(&self, request: Request<Envelope>) -> PeerAnswer {
        let () = self.open_control(ControlKind::Snapshot, request)?;
        let snapshot = self.context.tables.lock_bundle_chain().snapshot();
        let json =
            serde_json::to_vec(&snapshot).map_err(|error| Status::internal(error.to_string()))?;
        self.close_control(ControlKind::Snapshot, &json)
    }

    async fn sightings(&self, request: Request<Envelope>) -> PeerAnswer {
        let call: SightingsRequest = self.open(request)?;
        let answer = handle_sightings(&self.context, call);
        self.close(&answer)
    }

    async fn explain(&self, request: Request<Envelope>) -> PeerAnswer {
        let key: RequestKey = self.open(request)?;
        let decisions = self.context.tables.lock_decisions().explain(&key);
        self.close(&decisions)
    }
}
