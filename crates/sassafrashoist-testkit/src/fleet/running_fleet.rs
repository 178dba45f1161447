//! A running fleet: platform, backend servers, links and routers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use eyre::{Result, bail};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::fleet_bundle::{BackendAddresses, build_fleet_bundle};
use super::fleet_plan::{AccountPlan, FleetPlan};
use super::fleet_vm::FleetVm;
use super::operators::{APPROVER_ID, AUTHOR_ID, KeyDirectory, operators};
use crate::client::caller::Caller;
use crate::engine::engine_stand_in::EngineStandIn;
use crate::http_util::ANY_LOOPBACK_PORT;
use crate::platform::platform_stand_in::PlatformStandIn;
use crate::service::service_stand_in::ServiceStandIn;
use crate::tcp_link::{LinkFaults, TcpLink};
use sassafrasctl::core::ctl_context::CtlContext;
use sassafrasctl::ops::commands::approve_bundle::approve_bundle;
use sassafrasctl::ops::commands::push_bundle::{PushedBundle, push_bundle};
use sassafrasctl::ops::commands::sign_bundle::sign_bundle;
use sassafrasctl::ops::commands::top_up_budget::{TopUp, top_up_budget};
use sassafrashoist::core::readiness::ReadinessStep;
use sassafrashoist::core::settings::{ListenAddresses, Peer, Settings};
use sassafrashoist_bundle::bundle::Bundle;
use sassafrashoist_core::ids::{BundleVersion, Tokens};
use sassafrashoist_platform::wire::{ListedState, ListedVm};

/// The timeout for a fleet to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);
/// The interval between readiness checks of a fleet.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A backend server and the link in front of it.
pub struct LinkedBackend<T> {
    /// The id in the bundle.
    pub server_id: String,
    /// The index of its data centre.
    pub data_centre_index: usize,
    /// The stand-in.
    pub stand_in: T,
    /// The link that all routers use.
    pub link: TcpLink,
}

/// A running fleet.
pub struct RunningFleet {
    /// The plan that the fleet was started with.
    pub plan: FleetPlan,
    /// The platform.
    pub platform: PlatformStandIn,
    /// The engines.
    pub engines: Vec<LinkedBackend<EngineStandIn>>,
    /// The plain services.
    pub services: Vec<LinkedBackend<ServiceStandIn>>,
    /// The routers.
    pub vms: Vec<FleetVm>,
    /// The link from one VM to another, by the indexes of the two VMs.
    pub peer_links: BTreeMap<(usize, usize), TcpLink>,
    keys: KeyDirectory,
    cancel: CancellationToken,
}

impl RunningFleet {
    /// Starts a fleet, pushes its bundle, tops up its budgets and waits until it is ready.
    ///
    /// # Errors
    ///
    /// Fails when a component cannot start or the fleet does not become ready in time.
    pub async fn start(plan: FleetPlan) -> Result<Self> {
        let fleet = Self::start_without_bundle(plan).await?;
        let bundle = fleet.build_bundle();
        fleet.push(bundle).await?;
        for account in fleet.plan.accounts.clone() {
            fleet.top_up(&account, &format!("{}-1", account.id), account.paid_tokens).await?;
        }
        fleet.wait_ready(1).await?;
        Ok(fleet)
    }

    /// Starts a fleet that has no bundle yet.
    ///
    /// # Errors
    ///
    /// Fails when a component cannot start.
    pub async fn start_without_bundle(plan: FleetPlan) -> Result<Self> {
        let cancel = CancellationToken::new();
        let platform = PlatformStandIn::start(&cancel).await?;
        let mut engines = Vec::new();
        let mut services = Vec::new();
        for (data_centre_index, data_centre) in plan.data_centres.iter().enumerate() {
            for (index, settings) in data_centre.engines.iter().enumerate() {
                let stand_in = EngineStandIn::start(settings.clone(), &cancel).await?;
                let link = start_link(stand_in.address, plan.backend_delay, &cancel).await?;
                let server_id = format!("{}-engine-{}", data_centre.id, index + 1);
                engines.push(LinkedBackend { server_id, data_centre_index, stand_in, link });
            }
            for index in 0..data_centre.service_count {
                let stand_in = ServiceStandIn::start(&cancel).await?;
                let link = start_link(stand_in.address, plan.backend_delay, &cancel).await?;
                let server_id = format!("{}-auction-{}", data_centre.id, index + 1);
                services.push(LinkedBackend { server_id, data_centre_index, stand_in, link });
            }
        }
        let keys = KeyDirectory::create()?;
        let mut fleet = Self {
            plan,
            platform,
            engines,
            services,
            vms: Vec::new(),
            peer_links: BTreeMap::new(),
            keys,
            cancel,
        };
        fleet.plan_vms().await?;
        for index in 0..fleet.vms.len() {
            fleet.start_vm(index).await?;
        }
        Ok(fleet)
    }

    /// Builds the fleet's first bundle.
    pub fn build_bundle(&self) -> Bundle {
        let mut addresses = vec![BackendAddresses::default(); self.plan.data_centres.len()];
        for engine in &self.engines {
            addresses[engine.data_centre_index].engines.push(engine.link.address);
        }
        for service in &self.services {
            addresses[service.data_centre_index].services.push(service.link.address);
        }
        build_fleet_bundle(&self.plan, &addresses)
    }

    /// Signs, approves and pushes a bundle as `sassafrasctl` does.
    ///
    /// # Errors
    ///
    /// Fails with the reason when the bundle is refused, or when the platform cannot be reached.
    pub async fn push(&self, bundle: Bundle) -> Result<PushedBundle> {
        let signed = sign_bundle(&self.ctl(AUTHOR_ID), bundle)?;
        let signed = approve_bundle(&self.ctl(APPROVER_ID), signed)?;
        push_bundle(&self.ctl(AUTHOR_ID), signed).await
    }

    /// Records a top-up as `sassafrasctl` does.
    ///
    /// # Errors
    ///
    /// Fails when the record cannot be appended to the log.
    pub async fn top_up(&self, account: &AccountPlan, id: &str, tokens: Tokens) -> Result<()> {
        let ids = self.plan.data_centres.iter().map(|data_centre| data_centre.id.clone());
        let weights = ids.zip(account.split_weights.iter().copied()).collect();
        let top_up = TopUp {
            top_up_id: id.to_owned(),
            budget_id: account.budget_id(),
            paid_tokens: tokens,
            weights,
        };
        top_up_budget(&self.ctl(AUTHOR_ID), top_up).await?;
        Ok(())
    }

    /// Returns the `sassafrasctl` context of an operator.
    pub fn ctl(&self, operator_id: &str) -> CtlContext {
        let mut addresses = BTreeMap::new();
        for vm in &self.vms {
            if let Ok(address) = vm.admin_address() {
                addresses.insert(vm.settings.vm_id.clone(), address);
            }
        }
        self.keys.ctl_context(operator_id, self.platform.address, addresses)
    }

    /// Returns a caller with the key of the first account, for one VM.
    ///
    /// # Errors
    ///
    /// Fails when the VM is not running.
    pub fn caller(&self, vm_index: usize) -> Result<Caller> {
        let address = self.vms[vm_index].caller_address()?;
        Ok(Caller::new(address, &self.plan.accounts[0].caller_key()))
    }

    /// Starts or restarts a VM with no in-memory state, and lists it on the platform.
    ///
    /// # Errors
    ///
    /// Fails when the router cannot start.
    pub async fn start_vm(&mut self, index: usize) -> Result<()> {
        self.vms[index].start().await?;
        let address = self.vms[index].peer_address()?;
        for ((_, to), link) in &self.peer_links {
            if *to == index {
                link.set_target(address);
            }
        }
        let settings = &self.vms[index].settings;
        self.platform.list_vm(ListedVm {
            id: settings.vm_id.clone(),
            data_centre_id: settings.data_centre_id.clone(),
            state: ListedState::Live,
        });
        Ok(())
    }

    /// Cuts or restores all links between VMs of two data centres.
    pub fn set_data_centres_cut(&self, a: usize, b: usize, is_cut: bool) {
        for ((from, to), link) in &self.peer_links {
            let ends = (self.data_centre_of(*from), self.data_centre_of(*to));
            if ends == (a, b) || ends == (b, a) {
                link.set_cut(is_cut);
            }
        }
    }

    /// Cuts or restores the connection of a data centre to the platform.
    pub fn set_platform_cut(&self, data_centre_index: usize, is_cut: bool) {
        let id = self.plan.data_centres[data_centre_index].id.clone();
        self.platform.set_faults(|faults| {
            if is_cut {
                faults.cut_data_centres.insert(id);
            } else {
                faults.cut_data_centres.remove(&id);
            }
        });
    }

    /// Returns the index of the data centre of a VM.
    pub fn data_centre_of(&self, vm_index: usize) -> usize {
        let id = &self.vms[vm_index].settings.data_centre_id;
        let position = self.plan.data_centres.iter().position(|plan| plan.id == *id);
        position.unwrap_or_default()
    }

    /// Waits until every running VM is ready with the given bundle version or a later one.
    ///
    /// # Errors
    ///
    /// Fails after a timeout.
    pub async fn wait_ready(&self, version: BundleVersion) -> Result<()> {
        let deadline = Instant::now() + READY_TIMEOUT;
        while !self.is_ready(version) {
            if Instant::now() >= deadline {
                bail!("fleet was not ready within {READY_TIMEOUT:?}");
            }
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
        Ok(())
    }

    fn is_ready(&self, version: BundleVersion) -> bool {
        let contexts = self.vms.iter().filter_map(|vm| vm.context().ok());
        contexts.into_iter().all(|context| {
            let active_version = context.tables.bundle().map_or(0, |bundle| bundle.version());
            active_version >= version && context.tables.readiness() == ReadinessStep::Ready
        })
    }

    async fn plan_vms(&mut self) -> Result<()> {
        let mut planned = Vec::new();
        for data_centre in &self.plan.data_centres {
            for number in 1..=data_centre.vm_count {
                planned.push((format!("{}-vm-{number}", data_centre.id), data_centre.id.clone()));
            }
        }
        for (from, (vm_id, data_centre_id)) in planned.iter().enumerate() {
            let mut peers = Vec::new();
            for (to, (peer_id, peer_data_centre_id)) in planned.iter().enumerate() {
                if from == to {
                    continue;
                }
                let link = TcpLink::start(&self.cancel).await?;
                if data_centre_id != peer_data_centre_id {
                    link.set_faults(LinkFaults {
                        delay: self.plan.data_centre_delay,
                        ..LinkFaults::default()
                    });
                }
                peers.push(Peer {
                    vm_id: peer_id.clone(),
                    data_centre_id: peer_data_centre_id.clone(),
                    address: link.address,
                });
                self.peer_links.insert((from, to), link);
            }
            let addresses = ListenAddresses {
                callers: ANY_LOOPBACK_PORT,
                admin: ANY_LOOPBACK_PORT,
                peers: ANY_LOOPBACK_PORT,
            };
            let mut settings = Settings::new(
                vm_id.clone(),
                data_centre_id.clone(),
                addresses,
                self.platform.address,
                operators(),
            );
            settings.peers = peers;
            settings.drain_timeout = self.plan.drain_timeout;
            settings.routing_policy = self.plan.routing_policy;
            settings.budget_policy = self.plan.budget_policy;
            self.vms.push(FleetVm::new(settings));
        }
        Ok(())
    }
}

impl Drop for RunningFleet {
    fn drop(&mut self) {
        self.cancel.cancel();
    }
}

async fn start_link(
    target: SocketAddr,
    delay: Duration,
    cancel: &CancellationToken,
) -> Result<TcpLink> {
    let link = TcpLink::start(cancel).await?;
    link.set_target(target);
    link.set_faults(LinkFaults { delay, ..LinkFaults::default() });
    Ok(link)
}
