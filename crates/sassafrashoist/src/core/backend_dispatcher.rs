//! Assigns slots on backend servers to requests and queues the requests that must wait.
//!
//! A request gets a [`ChosenServer`] at once if its server group has a free slot and no request of
//! the same or a more urgent priority is queued. Otherwise it waits in the group's admission queue
//! until [`BackendDispatcher::fill_free_slots`] assigns it a slot. A queued request is refused as
//! soon as it is evicted from the queue or its maximum wait has passed.
//!
//! Lock order: `admission`, `routing`.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::oneshot;

use super::chosen_server::ChosenServer;
use super::clock::read_clock;
use sassafrashoist_core::ids::{ClientAccountId, DataCentreId, Timestamp, Tokens};
use sassafrashoist_core::result_code::ResultCode;
use sassafrashoist_core::routing::admission_queue::{
    AdmissionQueue, OfferOutcome, QueuedRequest, Ticket, jittered_retry_delay,
};
use sassafrashoist_core::routing::choose::{ServerRequirements, choose_server};
use sassafrashoist_core::routing::policy::RoutingPolicy;
use sassafrashoist_core::routing::routing_table::RoutingTable;
use sassafrashoist_core::routing::server_group::GroupKey;

/// The maximum time that a request waits for a slot.
const MAX_QUEUE_WAIT: Duration = Duration::from_secs(1);

/// The arrival rate of more urgent requests, per second, from which slots are reserved for them.
const MIN_URGENT_RATE: f64 = 1.0;
/// Caps the reserved slots at the group's requests in flight divided by this, or at 1 if that is 0.
const MAX_RESERVED_DIVISOR: u32 = 8;

/// A request for a slot on a backend server.
#[derive(Debug)]
pub struct SlotRequest {
    /// What the server must provide.
    pub requirements: ServerRequirements,
    /// The client account of the request.
    pub account_id: ClientAccountId,
    /// The priority, from 0 (most urgent) to 9.
    pub priority: u8,
    /// The worst-case token cost, used for fairness between accounts.
    pub cost_tokens: Tokens,
    /// The time left for the request, including its wait for a slot.
    pub timeout: Duration,
}

/// Why a request got no slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotRefusal {
    /// The result code.
    pub code: ResultCode,
    /// The suggested delay before a retry.
    pub retry_after: Duration,
}

type SlotResult = Result<ChosenServer, SlotRefusal>;

#[derive(Debug)]
struct Waiter {
    requirements: ServerRequirements,
    result_sender: oneshot::Sender<SlotResult>,
}

#[derive(Debug, Default)]
struct GroupQueue {
    queue: AdmissionQueue,
    waiters: HashMap<Ticket, Waiter>,
}

#[derive(Debug, Default)]
struct AdmissionTable {
    groups: HashMap<GroupKey, GroupQueue>,
    last_ticket: Ticket,
}

/// A request's position in the queue of a server group.
#[derive(Debug)]
struct QueuePosition {
    ticket: Ticket,
    group_key: GroupKey,
    priority: u8,
    give_up_at: Timestamp,
    result_receiver: oneshot::Receiver<SlotResult>,
}

enum Admission {
    Decided(SlotResult),
    Queued(QueuePosition),
}

/// Assigns slots on backend servers to requests and queues the requests that must wait.
#[derive(Debug)]
pub struct BackendDispatcher {
    admission: Mutex<AdmissionTable>,
    routing: Mutex<RoutingTable>,
    policy: RoutingPolicy,
}

impl BackendDispatcher {
    /// Creates a dispatcher without servers. The data centre has `router_count` routers in all.
    pub fn new(
        data_centre_id: DataCentreId,
        router_count: u32,
        policy: RoutingPolicy,
    ) -> Arc<Self> {
        let routing = Mutex::new(RoutingTable::new(data_centre_id, router_count));
        Arc::new(Self { admission: Mutex::default(), routing, policy })
    }

    /// Locks the routing table.
    pub fn lock_routing(&self) -> MutexGuard<'_, RoutingTable> {
        self.routing.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the number of queued requests.
    pub fn waiting_count(&self) -> usize {
        self.lock_admission().groups.values().map(|group| group.queue.len()).sum()
    }

    /// Acquires a slot, waiting in the queue if a slot is likely to be free in time.
    ///
    /// # Errors
    ///
    /// Fails as soon as the request cannot get a slot in time.
    pub async fn acquire_slot(self: &Arc<Self>, request: SlotRequest) -> SlotResult {
        let position = match self.assign_or_queue(request) {
            Admission::Decided(result) => return result,
            Admission::Queued(position) => position,
        };
        let wait = position.give_up_at.saturating_sub(read_clock());
        match tokio::time::timeout(wait, position.result_receiver).await {
            Ok(Ok(result)) => result,
            _ => Err(self.leave_queue(position.ticket, &position.group_key, position.priority)),
        }
    }

    /// Acquires a slot without waiting, for an attempt after the first.
    ///
    /// # Errors
    ///
    /// Fails when no suitable server has a free slot.
    pub fn try_acquire_slot(self: &Arc<Self>, requirements: &ServerRequirements) -> SlotResult {
        self.choose(requirements, read_clock()).map_err(|code| build_refusal(code, Duration::ZERO))
    }

    /// Assigns free slots to queued requests.
    pub fn fill_free_slots(self: &Arc<Self>) {
        for (sender, result) in self.match_waiters() {
            // If the waiting task is gone, the slot in `result` is dropped and so freed again.
            let _ = sender.send(result);
        }
    }

    fn assign_or_queue(self: &Arc<Self>, request: SlotRequest) -> Admission {
        let now = read_clock();
        let key = request.requirements.group_key(true);
        let mut admission = self.lock_admission();
        let group = admission.groups.entry(key.clone()).or_default();
        group.queue.record_arrival(request.priority, now);
        if group.queue.next_priority().is_none_or(|next_priority| next_priority > request.priority)
        {
            let reserved_slot_count =
                self.count_reserved(&key, &group.queue, request.priority, now);
            let requirements =
                ServerRequirements { reserved_slot_count, ..request.requirements.clone() };
            match self.choose(&requirements, now) {
                Err(ResultCode::Overloaded) => {}
                result => {
                    return Admission::Decided(
                        result.map_err(|code| build_refusal(code, Duration::ZERO)),
                    );
                }
            }
        }
        self.add_to_queue(&mut admission, key, request, now)
    }

    fn add_to_queue(
        self: &Arc<Self>,
        admission: &mut AdmissionTable,
        group_key: GroupKey,
        request: SlotRequest,
        now: Timestamp,
    ) -> Admission {
        let (service_time, service_rate) = self.read_service_estimate(&group_key);
        let max_wait = request.timeout.saturating_sub(service_time);
        if max_wait.is_zero() {
            return Admission::Decided(Err(build_refusal(
                ResultCode::DeadlineUnreachable,
                service_time,
            )));
        }
        let give_up_at = now + max_wait.min(MAX_QUEUE_WAIT);
        admission.last_ticket += 1;
        let ticket = admission.last_ticket;
        let group = admission.groups.entry(group_key.clone()).or_default();
        let priority = request.priority;
        let queued = QueuedRequest {
            ticket,
            account_id: request.account_id,
            priority,
            cost_tokens: request.cost_tokens,
            give_up_at,
        };
        match group.queue.offer(queued, now, service_rate) {
            OfferOutcome::Refused { estimated_wait } => {
                return Admission::Decided(Err(build_refusal(
                    ResultCode::Overloaded,
                    estimated_wait,
                )));
            }
            OfferOutcome::QueuedByEvicting(evicted) => group.refuse_waiter(evicted),
            OfferOutcome::Queued => {}
        }
        let (result_sender, result_receiver) = oneshot::channel();
        group.waiters.insert(ticket, Waiter { requirements: request.requirements, result_sender });
        Admission::Queued(QueuePosition {
            ticket,
            group_key,
            priority,
            give_up_at,
            result_receiver,
        })
    }

    /// Removes a request from the queue and returns its refusal.
    fn leave_queue(&self, ticket: Ticket, group_key: &GroupKey, priority: u8) -> SlotRefusal {
        let mut admission = self.lock_admission();
        if let Some(group) = admission.groups.get_mut(group_key) {
            group.queue.remove(ticket, priority);
            group.waiters.remove(&ticket);
        }
        build_refusal(ResultCode::Overloaded, MAX_QUEUE_WAIT)
    }

    /// Removes from the queues the requests that get a slot, and those that fail for another reason
    /// than a lack of free slots; returns each result with its sender.
    fn match_waiters(self: &Arc<Self>) -> Vec<(oneshot::Sender<SlotResult>, SlotResult)> {
        let now = read_clock();
        let mut matched = Vec::new();
        let mut admission = self.lock_admission();
        for (key, group) in &mut admission.groups {
            while let Some(next) = group.queue.take_next() {
                let Some(mut waiter) = group.waiters.remove(&next.ticket) else {
                    continue;
                };
                waiter.requirements.reserved_slot_count =
                    self.count_reserved(key, &group.queue, next.priority, now);
                match self.choose(&waiter.requirements, now) {
                    Err(ResultCode::Overloaded) => {
                        group.queue.put_back(next.clone());
                        group.waiters.insert(next.ticket, waiter);
                        break;
                    }
                    result => {
                        let result = result.map_err(|code| build_refusal(code, Duration::ZERO));
                        matched.push((waiter.result_sender, result));
                    }
                }
            }
        }
        matched
    }

    fn choose(
        self: &Arc<Self>,
        requirements: &ServerRequirements,
        now: Timestamp,
    ) -> Result<ChosenServer, ResultCode> {
        let choice =
            choose_server(&mut self.lock_routing(), requirements, self.policy, now, rand::random)?;
        Ok(ChosenServer::new(choice, Arc::clone(self)))
    }

    /// Returns a group's estimated service time and the rate at which its requests end, per second.
    fn read_service_estimate(&self, key: &GroupKey) -> (Duration, f64) {
        let routing = self.lock_routing();
        let Some(group) = routing.group(key) else {
            return (Duration::ZERO, 0.0);
        };
        (group.service_time.value().unwrap_or_default(), group.service_rate())
    }

    /// Returns the number of slots to keep free for more urgent requests: the number of those that
    /// are expected to arrive before the next slot is freed, up to a fraction of the slots in use.
    fn count_reserved(
        &self,
        key: &GroupKey,
        queue: &AdmissionQueue,
        priority: u8,
        now: Timestamp,
    ) -> u32 {
        let urgent_rate = queue.more_urgent_arrival_rate(priority, now);
        let routing = self.lock_routing();
        let Some(group) = routing.group(key).filter(|group| group.in_flight_count > 0) else {
            return 0;
        };
        let service_rate = group.service_rate();
        if urgent_rate < MIN_URGENT_RATE || service_rate <= 0.0 {
            return 0;
        }
        let desired = (urgent_rate / service_rate).ceil() as u32;
        desired.min((group.in_flight_count / MAX_RESERVED_DIVISOR).max(1))
    }

    fn lock_admission(&self) -> MutexGuard<'_, AdmissionTable> {
        self.admission.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl GroupQueue {
    fn refuse_waiter(&mut self, ticket: Ticket) {
        if let Some(waiter) = self.waiters.remove(&ticket) {
            let _ = waiter
                .result_sender
                .send(Err(build_refusal(ResultCode::Overloaded, MAX_QUEUE_WAIT)));
        }
    }
}

fn build_refusal(code: ResultCode, estimated_wait: Duration) -> SlotRefusal {
    SlotRefusal { code, retry_after: jittered_retry_delay(estimated_wait, rand::random()) }
}
