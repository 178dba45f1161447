//! gRPC clients of the other VMs.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;
use tonic::transport::{Channel, Endpoint};
use tonic::{Request, Response, Status};

use crate::ops::commit_change::CommitError;

use super::settings::{Peer, Settings};
use sassafrashoist_core::ids::{DataCentreId, Incarnation, VmId};
use sassafrashoist_proto::v1::Envelope;
use sassafrashoist_proto::v1::fleet_client::FleetClient;
use sassafrashoist_proto::v1::owner_client::OwnerClient;

/// The timeout for connecting to another VM.
const PEER_CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The default timeout for a call to another VM.
const PEER_CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The size limit for messages of the fleet service. The largest is a snapshot of the bundle.
pub const MAX_FLEET_MESSAGE_BYTES: usize = 64 * 1024 * 1024;

/// Why a call to another VM failed.
#[derive(Debug, Error)]
pub enum PeerError {
    /// The VM has no usable address in the settings.
    #[error("no address of VM {0} is known")]
    UnknownVm(VmId),
    /// The call failed. The other VM may or may not have processed it.
    #[error("call to VM {0} failed: {1}")]
    CallFailed(VmId, Status),
    /// This VM is itself the owner, so no call was made, and its own decision failed.
    #[error("this VM cannot decide: {0}")]
    LocalDecision(CommitError),
    /// A payload could not be encoded or decoded.
    #[error("failed to encode or decode a payload: {0}")]
    Payload(#[from] postcard::Error),
}

/// gRPC clients of the other VMs. Channels are created on first use and then shared.
#[derive(Debug)]
pub struct PeerClients {
    own_vm_id: VmId,
    incarnation: AtomicU64,
    peers: HashMap<VmId, Peer>,
    channels: Mutex<HashMap<VmId, Channel>>,
}

impl PeerClients {
    /// Creates clients for the peers in the settings.
    pub fn new(settings: &Settings, incarnation: Incarnation) -> Self {
        let peers = settings.peers.iter().map(|peer| (peer.vm_id.clone(), peer.clone())).collect();
        Self {
            own_vm_id: settings.vm_id.clone(),
            incarnation: AtomicU64::new(incarnation),
            peers,
            channels: Mutex::new(HashMap::new()),
        }
    }

    /// Sets the incarnation that later messages carry.
    pub fn set_incarnation(&self, incarnation: Incarnation) {
        self.incarnation.store(incarnation, Ordering::SeqCst);
    }

    /// Returns the ids of the peers in a data centre.
    pub fn vm_ids_in<'a>(
        &'a self,
        data_centre_id: &'a DataCentreId,
    ) -> impl Iterator<Item = &'a str> {
        self.peers
            .values()
            .filter(move |peer| peer.data_centre_id == *data_centre_id)
            .map(|peer| peer.vm_id.as_str())
    }

    /// Encodes a payload into an envelope from this VM.
    ///
    /// # Errors
    ///
    /// Fails when the payload cannot be encoded.
    pub fn build_envelope<T: Serialize>(&self, payload: &T) -> Result<Envelope, PeerError> {
        Ok(Envelope {
            from_vm_id: self.own_vm_id.clone(),
            incarnation: self.incarnation.load(Ordering::SeqCst),
            payload: postcard::to_stdvec(payload)?,
        })
    }

    /// Returns a client of a VM's owner service.
    ///
    /// # Errors
    ///
    /// Fails when the VM has no usable address in the settings.
    pub fn owner_client(&self, vm_id: &str) -> Result<OwnerClient<Channel>, PeerError> {
        Ok(OwnerClient::new(self.channel(vm_id)?))
    }

    /// Returns a client of a VM's fleet service.
    ///
    /// # Errors
    ///
    /// Fails when the VM has no usable address in the settings.
    pub fn fleet_client(&self, vm_id: &str) -> Result<FleetClient<Channel>, PeerError> {
        let client = FleetClient::new(self.channel(vm_id)?);
        Ok(client.max_decoding_message_size(MAX_FLEET_MESSAGE_BYTES))
    }

    /// Builds a request with a payload and the default timeout.
    ///
    /// # Errors
    ///
    /// Fails when the payload cannot be encoded.
    pub fn request<T: Serialize>(&self, payload: &T) -> Result<Request<Envelope>, PeerError> {
        self.request_with_timeout(payload, PEER_CALL_TIMEOUT)
    }

    /// Builds a request with a payload and a timeout.
    ///
    /// # Errors
    ///
    /// Fails when the payload cannot be encoded.
    pub fn request_with_timeout<T: Serialize>(
        &self,
        payload: &T,
        timeout: Duration,
    ) -> Result<Request<Envelope>, PeerError> {
        let mut request = Request::new(self.build_envelope(payload)?);
        request.set_timeout(timeout);
        Ok(request)
    }

    fn channel(&self, vm_id: &str) -> Result<Channel, PeerError> {
        let mut channels = self.channels.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(channel) = channels.get(vm_id) {
            return Ok(channel.clone());
        }
        let unknown = || PeerError::UnknownVm(vm_id.to_owned());
        let peer = self.peers.get(vm_id).ok_or_else(unknown)?;
        let endpoint = Endpoint::from_shared(format!("http://{}", peer.address))
            .map_err(|_| unknown())?
            .connect_timeout(PEER_CONNECT_TIMEOUT)
            .timeout(PEER_CALL_TIMEOUT);
        let channel = endpoint.connect_lazy();
        channels.insert(vm_id.to_owned(), channel.clone());
        Ok(channel)
    }
}

/// Decodes the response of another VM.
///
/// # Errors
///
/// Fails when the call failed or the payload of the response cannot be decoded.
pub fn decode_response<T: DeserializeOwned>(
    vm_id: &str,
    response: Result<Response<Envelope>, Status>,
) -> Result<T, PeerError> {
    let envelope =
        response.map_err(|status| PeerError::CallFailed(vm_id.to_owned(), status))?.into_inner();
    Ok(postcard::from_bytes(&envelope.payload)?)
}
