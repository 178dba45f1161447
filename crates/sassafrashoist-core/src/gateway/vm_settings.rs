//! The settings that the platform gives to the process on a VM.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use super::warm_up::WarmUpBounds;
use crate::ids::{DataCentreId, VmId};

/// The settings that the platform gives to the process on a VM.
#[derive(Debug, Clone, PartialEq)]
pub struct VmSettings {
    /// The id of the VM.
    pub vm_id: VmId,
    /// The data centre of the VM.
    pub data_centre_id: DataCentreId,
    /// The IP address of the VM.
    pub ip: IpAddr,
    /// The address that callers connect to.
    pub caller_address: SocketAddr,
    /// The address that serves the load balancer's readiness check.
    pub readiness_address: SocketAddr,
    /// The port for the traffic between VMs, the same on every VM.
    pub peer_port: u16,
    /// The address of the log service.
    pub log_service_address: SocketAddr,
    /// How long the log service keeps a record, except the newest one of each key of a keyed topic.
    pub log_keep_time: Duration,
    /// The memory above which the process is killed, in bytes; `None` if there is no such limit.
    pub memory_bytes: Option<u64>,
    /// The descriptors that the process may have open; `None` if there is no such limit.
    pub descriptor_count: Option<u64>,
    /// The bandwidth of the VM's link in each direction, in bits per second; `None` if it is not known.
    pub bandwidth_bits_per_s: Option<u64>,
    /// The time limits and retry limits of the platform.
    pub bounds: Bounds,
}

/// The time limits and retry limits of the platform.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// The time from SIGTERM to SIGKILL.
    pub shutdown_grace: Duration,
    /// How long a backend server continues to serve after it announced that it will stop.
    pub drain_timeout: Duration,
    /// How long after its acknowledgement a change of the configuration is to be in force at every VM.
    pub config_apply_time: Duration,
    /// How long after its acknowledgement an order to evacuate a data centre is to be in force at every
    /// VM.
    pub evacuation_time: Duration,
    /// How long after an outage the platform counts a VM as in contact again.
    pub contact_time: Duration,
    /// By how much the requests to a cold server may exceed its rate.
    pub warm_up: WarmUpBounds,
    /// Retries allowed per request.
    pub retry_ratio: f64,
    /// The length of the window in which retries are counted.
    pub retry_window: Duration,
    /// Retries allowed in addition to the ratio, over all VMs.
    pub retry_slack: f64,
    /// How long engines are expected to cache a part of a prompt.
    pub cache_window: Duration,
}
