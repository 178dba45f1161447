//! Hands out places on backend servers and keeps the requests that wait for one.
//!
//! A request whose group has a server with room gets a [`ChosenServer`] at once, unless others wait
//! already. Otherwise it waits in the group's queue, and [`BackendDispatcher::pump`] gives it a
//! place when one is free. A request that has to give up is answered at that moment.
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

/// The longest that a request waits for a backend server.
const MAX_QUEUE_WAIT: Duration = Duration::from_secs(1);

/// The rate of more urgent requests a second from which places are reserved for them.
const MIN_URGENT_RATE: f64 = 1.0;
/// The largest part of the places in use that is reserved, as a divisor.
const MAX_RESERVED_DIVISOR: u32 = 8;

/// What a request asks for.
#[derive(Debug)]
pub struct PlaceRequest {
    /// What it needs of its server.
    pub need: ServerRequirements,
    /// Its client account.
    pub account_id: ClientAccountId,
    /// Its priority, 0 (first) to 9.
    pub priority: u8,
    /// The work that it may cause.
    pub cost_tokens: Tokens,
    /// The longest that it may take, with its wait.
    pub timeout: Duration,
}

/// Why a request got no place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlaceRefusal {
    /// The numbered result.
    pub code: ResultCode,
    /// When to try again.
    pub retry_after: Duration,
}

type PlaceResult = Result<ChosenServer, PlaceRefusal>;

#[derive(Debug)]
struct Waiter {
    need: ServerRequirements,
    wake: oneshot::Sender<PlaceResult>,
}

#[derive(Debug, Default)]
struct WaitingGroup {
    queue: AdmissionQueue,
    waiters: HashMap<Ticket, Waiter>,
}

#[derive(Debug, Default)]
struct AdmissionTable {
    groups: HashMap<GroupKey, WaitingGroup>,
    last_ticket: Ticket,
}

/// A place in a queue.
#[derive(Debug)]
struct QueuePlace {
    ticket: Ticket,
    group_key: GroupKey,
    priority: u8,
    give_up_at: Timestamp,
    woken: oneshot::Receiver<PlaceResult>,
}

enum Entered {
    Placed(PlaceResult),
    Queued(QueuePlace),
}

/// Hands out places on backend servers and keeps the requests that wait for one.
#[derive(Debug)]
pub struct BackendDispatcher {
    admission: Mutex<AdmissionTable>,
    routing: Mutex<RoutingTable>,
    policy: RoutingPolicy,
}

impl BackendDispatcher {
    /// Creates a dispatcher without servers for one of `router_count` routers of a data centre.
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

    /// Returns the number of waiting requests.
    pub fn waiting_count(&self) -> usize {
        self.lock_admission().groups.values().map(|group| group.queue.len()).sum()
    }

    /// Gets a place, waiting for it if that is worth while.
    ///
    /// # Errors
    ///
    /// Fails as soon as it is known that the request gets no place in time.
    pub async fn get_place(self: &Arc<Self>, request: PlaceRequest) -> PlaceResult {
        let place = match self.enter(request) {
            Entered::Placed(result) => return result,
            Entered::Queued(place) => place,
        };
        let wait = place.give_up_at.saturating_sub(read_clock());
        match tokio::time::timeout(wait, place.woken).await {
            Ok(Ok(result)) => result,
            _ => Err(self.give_up(place.ticket, &place.group_key, place.priority)),
        }
    }

    /// Gets a place without waiting, for an attempt after the first.
    ///
    /// # Errors
    ///
    /// Fails when no server has room.
    pub fn get_place_now(self: &Arc<Self>, need: &ServerRequirements) -> PlaceResult {
        self.choose(need, read_clock()).map_err(|code| refuse(code, Duration::ZERO))
    }

    /// Gives free places to the requests that wait.
    pub fn pump(self: &Arc<Self>) {
        for (waiter, result) in self.match_waiters() {
            // A caller that gave up drops its place, which frees it again.
            let _ = waiter.send(result);
        }
    }

    fn enter(self: &Arc<Self>, request: PlaceRequest) -> Entered {
        let now = read_clock();
        let key = request.need.group_key(true);
        let mut admission = self.lock_admission();
        let group = admission.groups.entry(key.clone()).or_default();
        group.queue.record_arrival(request.priority, now);
        if group.queue.next_priority().is_none_or(|waiting| waiting > request.priority) {
            let reserved_slot_count =
                self.count_reserved(&key, &group.queue, request.priority, now);
            let need = ServerRequirements { reserved_slot_count, ..request.need.clone() };
            match self.choose(&need, now) {
                Err(ResultCode::Overloaded) => {}
                result => {
                    return Entered::Placed(result.map_err(|code| refuse(code, Duration::ZERO)));
                }
            }
        }
        self.enter_queue(&mut admission, key, request, now)
    }

    fn enter_queue(
        self: &Arc<Self>,
        admission: &mut AdmissionTable,
        group_key: GroupKey,
        request: PlaceRequest,
        now: Timestamp,
    ) -> Entered {
        let (service_time, rate) = self.read_service(&group_key);
        let spare = request.timeout.saturating_sub(service_time);
        if spare.is_zero() {
            return Entered::Placed(Err(refuse(ResultCode::DeadlineUnreachable, service_time)));
        }
        let give_up_at = now + spare.min(MAX_QUEUE_WAIT);
        admission.last_ticket += 1;
        let ticket = admission.last_ticket;
        let group = admission.groups.entry(group_key.clone()).or_default();
        let priority = request.priority;
        let waiting = QueuedRequest {
            ticket,
            account_id: request.account_id,
            priority,
            cost_tokens: request.cost_tokens,
            give_up_at,
        };
        match group.queue.offer(waiting, now, rate) {
            OfferOutcome::Refused { estimated_wait } => {
                return Entered::Placed(Err(refuse(ResultCode::Overloaded, estimated_wait)));
            }
            OfferOutcome::QueuedByEvicting(evicted) => group.refuse_waiter(evicted),
            OfferOutcome::Queued => {}
        }
        let (wake, woken) = oneshot::channel();
        group.waiters.insert(ticket, Waiter { need: request.need, wake });
        Entered::Queued(QueuePlace { ticket, group_key, priority, give_up_at, woken })
    }

    fn give_up(&self, ticket: Ticket, group_key: &GroupKey, priority: u8) -> PlaceRefusal {
        let mut admission = self.lock_admission();
        if let Some(group) = admission.groups.get_mut(group_key) {
            group.queue.remove(ticket, priority);
            group.waiters.remove(&ticket);
        }
        refuse(ResultCode::Overloaded, MAX_QUEUE_WAIT)
    }

    fn match_waiters(self: &Arc<Self>) -> Vec<(oneshot::Sender<PlaceResult>, PlaceResult)> {
        let now = read_clock();
        let mut matched = Vec::new();
        let mut admission = self.lock_admission();
        for (key, group) in &mut admission.groups {
            while let Some(next) = group.queue.take_next() {
                let Some(mut waiter) = group.waiters.remove(&next.ticket) else {
                    continue;
                };
                waiter.need.reserved_slot_count =
                    self.count_reserved(key, &group.queue, next.priority, now);
                match self.choose(&waiter.need, now) {
                    Err(ResultCode::Overloaded) => {
                        group.queue.put_back(next.clone());
                        group.waiters.insert(next.ticket, waiter);
                        break;
                    }
                    result => {
                        let result = result.map_err(|code| refuse(code, Duration::ZERO));
                        matched.push((waiter.wake, result));
                    }
                }
            }
        }
        matched
    }

    fn choose(
        self: &Arc<Self>,
        need: &ServerRequirements,
        now: Timestamp,
    ) -> Result<ChosenServer, ResultCode> {
        let choice = choose_server(&mut self.lock_routing(), need, self.policy, now, rand::random)?;
        Ok(ChosenServer::new(choice, Arc::clone(self)))
    }

    /// Returns how long a request takes and how many a second end.
    fn read_service(&self, key: &GroupKey) -> (Duration, f64) {
        let routing = self.lock_routing();
        let Some(group) = routing.group(key) else {
            return (Duration::ZERO, 0.0);
        };
        (group.service_time.value().unwrap_or_default(), group.service_rate())
    }

    /// Counts the places that stay free for more urgent requests: as many as arrive until the next
    /// place is freed, within a part of those in use.
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
        let wanted = (urgent_rate / service_rate).ceil() as u32;
        wanted.min((group.in_flight_count / MAX_RESERVED_DIVISOR).max(1))
    }

    fn lock_admission(&self) -> MutexGuard<'_, AdmissionTable> {
        self.admission.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl WaitingGroup {
    fn refuse_waiter(&mut self, ticket: Ticket) {
        if let Some(waiter) = self.waiters.remove(&ticket) {
            let _ = waiter.wake.send(Err(refuse(ResultCode::Overloaded, MAX_QUEUE_WAIT)));
        }
    }
}

fn refuse(code: ResultCode, estimated_wait: Duration) -> PlaceRefusal {
    PlaceRefusal { code, retry_after: jittered_retry_delay(estimated_wait, rand::random()) }
}
