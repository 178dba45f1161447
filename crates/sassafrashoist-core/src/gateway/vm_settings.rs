//! What the platform tells a process of its VM.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use crate::ids::{DataCentreId, VmId};

/// What the platform tells a process of its VM.
#[derive(Debug, Clone, PartialEq)]
pub struct VmSettings {
    /// The VM.
    pub vm_id: VmId,
    /// Its data centre.
    pub data_centre_id: DataCentreId,
    /// The address of the VM.
    pub ip: IpAddr,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where the balancer asks whether the VM is ready.
    pub readiness_address: SocketAddr,
    /// The port on every VM on which VMs talk to each other.
    pub peer_port: u16,
    /// The log service.
    pub log_service_address: SocketAddr,
    /// The bounds that hold on this platform.
    pub bounds: Bounds,
}

/// The bounds that hold on this platform.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Time from SIGTERM to SIGKILL.
    pub shutdown_grace: Duration,
    /// How long a server serves on after it announced that it will stop.
    pub drain_timeout: Duration,
    /// Repeated sends that are allowed for each request.
    pub retry_ratio: f64,
    /// The span in which repeated sends are counted.
    pub retry_window: Duration,
    /// Repeated sends that are allowed besides, over all VMs.
    pub retry_slack: f64,
    /// How long engines are expected to keep a part of a prompt.
    pub cache_window: Duration,
}
