//! The gRPC server for other VMs; `serve_owner` and `serve_fleet` have its methods.

use std::sync::Arc;

use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;
use tonic::transport::Server;
use tonic::transport::server::TcpIncoming;
use tonic::{Request, Response, Status};

use crate::core::router_context::RouterContext;
use sassafrashoist_proto::v1::Envelope;
use sassafrashoist_proto::v1::fleet_server::FleetServer;
use sassafrashoist_proto::v1::owner_server::OwnerServer;

/// The result of handling a request of another VM.
pub type PeerResult = Result<Response<Envelope>, Status>;

/// Serves other VMs until the process stops.
pub fn serve_peers(context: Arc<RouterContext>, listener: TcpListener) {
    let service = PeerService { context: Arc::clone(&context) };
    // Without TCP_NODELAY, a response's last frame waits for the client's delayed acknowledgement.
    let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
    let serving = Server::builder()
        .add_service(OwnerServer::new(service.clone()))
        .add_service(FleetServer::new(service))
        .serve_with_incoming_shutdown(incoming, context.cancel.clone().cancelled_owned());
    tokio::spawn(async move {
        if let Err(error) = serving.await {
            log::error!("server for other VMs failed: {error}");
        }
    });
}

/// Handles the requests of other VMs.
#[derive(Clone)]
pub struct PeerService {
    /// The context of this process.
    pub context: Arc<RouterContext>,
}

impl PeerService {
    /// Decodes a request's payload.
    ///
    /// # Errors
    ///
    /// Fails when the payload is not of the method's type.
    pub fn decode<T: DeserializeOwned>(&self, request: Request<Envelope>) -> Result<T, Status> {
        postcard::from_bytes(&request.into_inner().payload)
            .map_err(|error| Status::invalid_argument(error.to_string()))
    }

    /// Encodes a response's payload.
    ///
    /// # Errors
    ///
    /// Fails when the payload cannot be encoded.
    pub fn encode<T: Serialize>(&self, payload: &T) -> PeerResult {
        let envelope = self
            .context
            .peers
            .build_envelope(payload)
            .map_err(|error| Status::internal(error.to_string()))?;
        Ok(Response::new(envelope))
    }
}
