//! Replays of one account whose callers reach one VM after the other, each with a link of its own.
//!
//! The load balancer sends all callers of the account to one VM: the first that is ready, in an order of
//! their own, or the first of all while fewer than half are ready. It asks once a second, and leaves a VM
//! out after two misses. Each request moves its body and its response over the link, in each direction.

use std::time::Duration;

use sassafrashoist_core::gateway::crowding::Crowding;
use sassafrashoist_core::gateway::link_budget::{LinkBudget, LinkDemand};
use sassafrashoist_core::ids::RouteId;

const SMALL_LINK_BITS_PER_S: u64 = 10_000_000;
const WIDE_LINK_BITS_PER_S: u64 = 200_000_000;
const TARGET_LATENCY: Duration = Duration::from_millis(120);
const BODY_BYTES: u64 = 3_200;
const RESPONSE_BYTES: u64 = 3_600;
const REFUSAL_BYTES: f64 = 60.0;
/// The time that a request takes without waiting for the link.
const SERVER_TIME_S: f64 = 0.03;
const PLAYED_S: u32 = 40;

/// One VM with its link, whose two directions carry the same.
struct Vm {
    bytes_per_s: f64,
    budget: LinkBudget,
    crowding: Crowding,
    queued_bytes: f64,
    paused_until: Duration,
    miss_count: u32,
}

impl Vm {
    fn new(bits_per_s: u64) -> Self {
        let mut budget = LinkBudget::default();
        budget.set_bandwidth(Some(bits_per_s));
        Self {
            bytes_per_s: bits_per_s as f64 / 8.0,
            budget,
            crowding: Crowding::default(),
            queued_bytes: 0.0,
            paused_until: Duration::ZERO,
            miss_count: 0,
        }
    }

    fn wait(&self) -> Duration {
        Duration::from_secs_f64(self.queued_bytes / self.bytes_per_s)
    }

    /// Takes one request; returns its latency in seconds, or `None` if it is refused.
    fn take(&mut self, limits_link: bool, now: Duration) -> Option<f64> {
        if limits_link && now < self.paused_until {
            self.queued_bytes += REFUSAL_BYTES;
            return None;
        }
        self.queued_bytes += BODY_BYTES as f64;
        if limits_link {
            let route_id = RouteId::from("chat");
            self.budget.delay.record(self.wait() * 2, now);
            let demand = LinkDemand {
                route_id: &route_id,
                body_bytes: BODY_BYTES,
                priority: 1,
                time_left: Duration::from_secs(1),
                shortest_target_latency: TARGET_LATENCY,
            };
            let admitted = self.budget.admit(&demand, || true, now);
            if let Some(pause) = self.budget.accept_pause(TARGET_LATENCY, now) {
                self.paused_until = now + pause;
                if self.budget.is_overloaded(now) {
                    self.crowding.record_overload(now);
                }
            }
            admitted.ok()?;
        }
        // The connection, the body and the response wait for one another's bytes.
        self.queued_bytes += RESPONSE_BYTES as f64;
        Some(SERVER_TIME_S + 3.0 * self.wait().as_secs_f64())
    }
}

/// Returns the share of an account's requests that is served within the target latency.
fn share_in_time(mut vms: Vec<Vm>, per_s: u32, limits_link: bool) -> f64 {
    let count = per_s * PLAYED_S;
    let step = Duration::from_secs(1) / per_s;
    let (mut in_time, mut asked_at) = (0, Duration::ZERO);
    for index in 0..count {
        let now = step * index;
        for vm in &mut vms {
            vm.queued_bytes = (vm.queued_bytes - vm.bytes_per_s * step.as_secs_f64()).max(0.0);
        }
        if now >= asked_at {
            asked_at += Duration::from_secs(1);
            let neighbour_count = vms.len() - 1;
            for vm in &mut vms {
                let is_ready = !vm.crowding.sends_callers_away(neighbour_count, now);
                vm.miss_count = if is_ready { 0 } else { vm.miss_count + 1 };
            }
        }
        let ready_count = vms.iter().filter(|vm| vm.miss_count < 2).count();
        let uses_all = ready_count * 2 < vms.len();
        let chosen = vms.iter_mut().find(|vm| uses_all || vm.miss_count < 2).unwrap();
        let latency_s = chosen.take(limits_link, now);
        in_time += u32::from(latency_s.is_some_and(|s| s <= TARGET_LATENCY.as_secs_f64()));
    }
    f64::from(in_time) / f64::from(count)
}

/// Returns VMs of which the account's callers reach the wide one after `small_before` small ones.
fn vms(small_before: usize, count: usize) -> Vec<Vm> {
    let is_wide = |index| index == small_before;
    let bits_per_s =
        |index| if is_wide(index) { WIDE_LINK_BITS_PER_S } else { SMALL_LINK_BITS_PER_S };
    (0..count).map(|index| Vm::new(bits_per_s(index))).collect()
}

// Without a budget the queue of the first link grows until nothing is served in time, and no other VM gets
// any of the callers.
#[test]
fn callers_of_one_account_reach_a_vm_that_can_carry_them() {
    for count in [24, 49] {
        let before = share_in_time(vms(3, count), 300, false);
        let after = share_in_time(vms(3, count), 300, true);

        assert!(before < 0.05, "{count} VMs: {before}");
        assert!(after > 0.75, "{count} VMs: {after}");
    }
}

// The load balancer uses all VMs again when fewer than half are ready; each then serves what it can.
#[test]
fn small_links_serve_their_part_when_no_vm_can_carry_an_account() {
    let before = share_in_time(vms(24, 24), 300, false);
    let after = share_in_time(vms(24, 24), 300, true);

    assert!(before < 0.05, "{before}");
    assert!(after > 0.25, "{after}");
}

#[test]
fn account_that_one_small_link_carries_stays_where_it_is() {
    let before = share_in_time(vms(24, 24), 80, false);
    let after = share_in_time(vms(24, 24), 80, true);

    assert_eq!((before, after), (1.0, 1.0));
}
