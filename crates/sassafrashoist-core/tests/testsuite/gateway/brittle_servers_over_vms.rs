//! Many VMs in virtual time, with servers that fail when they have to turn too many requests away.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sassafrashoist_core::gateway::Uptime;
use sassafrashoist_core::gateway::brittle_users::BrittleUsers;
use sassafrashoist_core::gateway::server_directory::{ServerDirectory, ServerRequirements};
use sassafrashoist_core::gateway::server_listing::ServerListing;
use sassafrashoist_core::gateway::server_state::{RejectedBy, ReportedLoad};
use sassafrashoist_core::routing::circuit_breaker::AttemptVerdict;

const POOL: &str = "desk";
const SLOTS: u32 = 6;
const WORK_MS: u64 = 80;
const LATENCY: Duration = Duration::from_millis(3);
const MAX_REJECTIONS_PER_S: u32 = 5;
/// From then on the servers are brittle, and falls are counted.
const CONTACT_TIME: Duration = Duration::from_secs(3);
const RUN_TIME: Duration = Duration::from_secs(8);
const DOWN_TIME: Duration = Duration::from_secs(3);
const MAX_TRIES: usize = 4;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Done { vm: usize, server: usize },
    Notice { vm: usize, server: usize },
}

#[derive(Debug, Default)]
struct Server {
    running: u32,
    rejections: VecDeque<Uptime>,
    down_until: Uptime,
    falls: usize,
}

#[derive(Debug, Default)]
struct Outcome {
    falls: usize,
    /// From [`CONTACT_TIME`] on.
    served: usize,
    asked: usize,
    notices: usize,
}

fn server_id(server: usize) -> String {
    format!("desk-{server}")
}

fn directory(server_count: usize) -> ServerDirectory {
    let mut directory =
        ServerDirectory::new("dc".to_owned(), Duration::from_secs(10), Duration::from_secs(2));
    for server in 0..server_count {
        let listing = ServerListing {
            id: server_id(server),
            pool_id: POOL.to_owned(),
            address: SocketAddr::from(([10, 0, 0, 1], 1_000 + server as u16)),
            data_centre_id: "dc".to_owned(),
            slot_count: SLOTS,
            is_draining: false,
            started_at_unix_ms: 1,
            software_version: "v1".to_owned(),
        };
        directory.add_or_update(listing, Uptime::ZERO);
    }
    directory
}

/// Plays VMs whose callers ask for `load` times what the servers can do. `knows_brittle` is false for
/// VMs that ignore what the servers say.
fn play(vm_count: usize, server_count: usize, load: f64, knows_brittle: bool) -> Outcome {
    let mut rng = StdRng::seed_from_u64(9);
    let mut servers: Vec<Server> = (0..server_count).map(|_| Server::default()).collect();
    let mut vms: Vec<_> = (0..vm_count).map(|_| directory(server_count)).collect();
    let vm_ids: Vec<String> = (0..vm_count).map(|vm| format!("vm-{vm}")).collect();
    let vm_names: Vec<&str> = vm_ids.iter().map(String::as_str).collect();
    let pool: Vec<String> = (0..server_count).map(server_id).collect();
    let mut users: Vec<Vec<usize>> = vec![Vec::new(); server_count];
    for (server, users) in users.iter_mut().enumerate() {
        for (vm, directory) in vms.iter_mut().enumerate() {
            let found = BrittleUsers::find(&pool[server], &pool, &vm_ids[vm], &vm_names);
            directory.record_brittle_use(&pool[server], found.includes_own, Uptime::ZERO);
            if found.selected.contains(&vm_ids[vm]) {
                users.push(vm);
            }
        }
    }
    let user_count = vm_count.min(7 + vm_count / server_count);
    let capacity_per_s = server_count as f64 * f64::from(SLOTS) * 1_000.0 / WORK_MS as f64;
    let interval = Duration::from_secs_f64(1.0 / (capacity_per_s * load));
    let mut events = BinaryHeap::from([Reverse((Uptime::ZERO, Event::Arrival))]);
    let mut outcome = Outcome::default();
    while let Some(Reverse((now, event))) = events.pop() {
        match event {
            Event::Arrival if now >= RUN_TIME => break,
            Event::Arrival => {
                events.push(Reverse((now + interval.mul_f64(2.0 * rng.random::<f64>()), event)));
                let vm = rng.random_range(0..vm_count);
                outcome.asked += 1;
                let mut requirements =
                    ServerRequirements { pool_id: POOL.to_owned(), ..Default::default() };
                for _ in 0..MAX_TRIES {
                    let Some(choice) = vms[vm].choose(&requirements, rng.random(), now) else {
                        break;
                    };
                    requirements.excluded.push(choice.listing.id.clone());
                    let server: usize =
                        choice.listing.id.trim_start_matches("desk-").parse().unwrap();
                    let id = server_id(server);
                    if now < servers[server].down_until {
                        vms[vm].record_no_response(&id, choice.prefill_tokens);
                        vms[vm].end_attempt(&id, AttemptVerdict::Failed, now);
                        continue;
                    }
                    let max_running = if now < CONTACT_TIME { 2 * SLOTS } else { SLOTS };
                    let is_served = servers[server].running < max_running;
                    if knows_brittle {
                        vms[vm].record_brittle(&id, Some(MAX_REJECTIONS_PER_S), now);
                    }
                    let running_count = servers[server].running.min(SLOTS);
                    let waiting_count = servers[server].running.saturating_sub(SLOTS);
                    let reported = ReportedLoad {
                        running_count,
                        waiting_count,
                        slot_count: SLOTS,
                        slowness_percent: None,
                    };
                    if is_served {
                        servers[server].running += 1;
                        outcome.served += usize::from(now >= CONTACT_TIME);
                        let work = Duration::from_millis(rng.random_range(1..2 * WORK_MS));
                        events.push(Reverse((now + work + LATENCY, Event::Done { vm, server })));
                        break;
                    }
                    vms[vm].record_load(&id, reported, now);
                    vms[vm].record_no_response(&id, choice.prefill_tokens);
                    vms[vm].end_attempt(&id, AttemptVerdict::Neutral, now);
                    if knows_brittle {
                        vms[vm].record_rejection(
                            &id,
                            RejectedBy::ThisVm { vm_count: user_count },
                            rng.random(),
                            now,
                        );
                        for other in users[server].iter().copied().filter(|other| *other != vm) {
                            outcome.notices += 1;
                            let notice = Event::Notice { vm: other, server };
                            events.push(Reverse((now + LATENCY, notice)));
                        }
                    }
                    reject(&mut servers[server], now);
                }
            }
            Event::Done { vm, server } => {
                let id = server_id(server);
                servers[server].running = servers[server].running.saturating_sub(1);
                let running_count = servers[server].running;
                let load = ReportedLoad {
                    running_count,
                    waiting_count: 0,
                    slot_count: SLOTS,
                    slowness_percent: None,
                };
                vms[vm].record_response_start(&id, 0, Duration::ZERO);
                vms[vm].record_bytes(&id, now);
                vms[vm].end_attempt(&id, AttemptVerdict::Succeeded, now);
                vms[vm].record_load(&id, load, now);
            }
            Event::Notice { vm, server } => {
                vms[vm].record_brittle(&server_id(server), Some(MAX_REJECTIONS_PER_S), now);
                vms[vm].record_rejection(
                    &server_id(server),
                    RejectedBy::AnotherVm,
                    rng.random(),
                    now,
                );
            }
        }
    }
    outcome.falls = servers.iter().map(|server| server.falls).sum();
    outcome
}

fn reject(server: &mut Server, now: Uptime) {
    if now < CONTACT_TIME {
        return;
    }
    server.rejections.push_back(now);
    while server.rejections.front().is_some_and(|at| *at + Duration::from_secs(1) <= now) {
        server.rejections.pop_front();
    }
    if server.rejections.len() > MAX_REJECTIONS_PER_S as usize {
        server.falls += 1;
        server.rejections.clear();
        server.down_until = now + DOWN_TIME;
    }
}

// Servers that fail when they turn too many requests away were knocked over by requests of all VMs.
#[test]
fn brittle_servers_seldom_fall_under_twice_the_load_that_they_can_serve() {
    for (vm_count, server_count) in [(7, 4), (60, 30), (60, 12), (336, 80)] {
        let outcome = play(vm_count, server_count, 2.0, true);
        println!("{vm_count} VMs, {server_count} servers: {outcome:?}");

        assert!(outcome.falls <= 2 + server_count / 10, "{vm_count}: {outcome:?}");
    }
}

#[test]
fn more_requests_are_served_if_brittle_servers_are_spared() {
    for (vm_count, server_count) in [(7, 4), (60, 30)] {
        let unaware = play(vm_count, server_count, 2.0, false);
        let aware = play(vm_count, server_count, 2.0, true);
        println!("{vm_count} VMs, {server_count} servers: {unaware:?}, {aware:?}");

        assert!(unaware.falls > 2 + server_count / 10, "{vm_count}: {unaware:?}");
        assert!(aware.served > unaware.served, "{vm_count}: {aware:?}, {unaware:?}");
    }
}
