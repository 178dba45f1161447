//! The methods for other VMs that need no owner: heartbeats, relayed log records, bundle snapshots,
//! crash sightings and recorded decisions.

use serde::Serialize;
use serde::de::DeserializeOwned;
use tonic::{Request, Status};

use super::serve_peers::{PeerResult, PeerService};
use crate::core::control_traffic::ControlKind;
use crate::core::relay_messages::RelayRequest;
use crate::ops::exchange_heartbeats::handle_heartbeat;
use crate::ops::probe_runner::handle_sightings;
use crate::ops::serve_relay::serve_relay;
use sassafrashoist_core::ids::RequestKey;
use sassafrashoist_core::membership::heartbeat::HeartbeatRequest;
use sassafrashoist_core::requests::sightings::SightingsRequest;
use sassafrashoist_proto::v1::Envelope;
use sassafrashoist_proto::v1::fleet_server::Fleet;

impl PeerService {
    fn decode_control<T: DeserializeOwned>(
        &self,
        kind: ControlKind,
        request: Request<Envelope>,
    ) -> Result<T, Status> {
        self.context.traffic.count(kind, request.get_ref().payload.len());
        self.decode(request)
    }

    fn encode_control<T: Serialize>(&self, kind: ControlKind, payload: &T) -> PeerResult {
        let response = self.encode(payload)?;
        self.context.traffic.count(kind, response.get_ref().payload.len());
        Ok(response)
    }
}

#[tonic::async_trait]
impl Fleet for PeerService {
    async fn heartbeat(&self, request: Request<Envelope>) -> PeerResult {
        let request: HeartbeatRequest = self.decode_control(ControlKind::Heartbeat, request)?;
        let response = handle_heartbeat(&self.context, request).await;
        self.encode_control(ControlKind::Heartbeat, &response)
    }

    async fn relay(&self, request: Request<Envelope>) -> PeerResult {
        let request: RelayRequest = self.decode_control(ControlKind::Relay, request)?;
        let response = serve_relay(&self.context, &request).await;
        self.encode_control(ControlKind::Relay, &response)
    }

    async fn snapshot(&self, request: Request<Envelope>) -> PeerResult {
        let () = self.decode_control(ControlKind::Snapshot, request)?;
        let snapshot = self.context.tables.lock_bundle_chain().snapshot();
        let json =
            serde_json::to_vec(&snapshot).map_err(|error| Status::internal(error.to_string()))?;
        self.encode_control(ControlKind::Snapshot, &json)
    }

    async fn sightings(&self, request: Request<Envelope>) -> PeerResult {
        let request: SightingsRequest = self.decode(request)?;
        let response = handle_sightings(&self.context, request);
        self.encode(&response)
    }

    async fn explain(&self, request: Request<Envelope>) -> PeerResult {
        let key: RequestKey = self.decode(request)?;
        let decisions = self.context.tables.lock_decisions().explain(&key);
        self.encode(&decisions)
    }
}
