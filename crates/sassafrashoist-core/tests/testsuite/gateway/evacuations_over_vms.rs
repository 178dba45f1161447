//! The time until the last VM of a fleet knows an order, in virtual time. The log service pushes a
//! record to the VMs that read it; these announce what they know once a second and after each record.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sassafrashoist_core::gateway::Uptime;
use sassafrashoist_core::gateway::clock_reading::ClockReading;
use sassafrashoist_core::gateway::config_readers::ConfigReaders;
use sassafrashoist_core::gateway::config_times::ConfigTimes;
use sassafrashoist_core::gateway::evacuations::{
    Evacuations, OrderRecord, OrderState, OrdersAnnouncement, OrdersPosition,
};
use sassafrashoist_core::gateway::holder_record::HolderRecord;
use sassafrashoist_core::gateway::live_vms::{FleetVm, LiveVms};
use sassafrashoist_core::gateway::token_ledger::TokenLedger;

const DATA_CENTRES: usize = 4;
const START: Uptime = Duration::from_secs(100);
const ORDER_AT: Uptime = Duration::from_secs(105);
const REMOVAL_AT: Uptime = Duration::from_secs(115);
const END: Uptime = Duration::from_secs(125);
const BOUND: Duration = Duration::from_secs(5);
/// The part of the bound that a VM plans with; the rest is for the read itself.
const PLANNED: Duration = Duration::from_millis(4_500);
const READ_WAIT: Duration = Duration::from_secs(1);
const LATENCY: Duration = Duration::from_millis(2);
/// The time for a read of the log service by a VM that is not a reader, with its connection.
const READ_TIME: Duration = Duration::from_millis(300);
const GATE_INTERVAL: Duration = Duration::from_millis(100);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Incident {
    /// No failure but the usual loss of datagrams.
    None,
    /// A third of the datagrams is lost.
    HeavyLoss,
    /// The readers of all data centres end as the order is given.
    ReadersEnd,
    /// The readers have an older build, which announces no orders.
    OlderReaders,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Read(usize),
    Gate(usize),
    Datagram { to: usize, from: usize, sent: usize },
}

struct Vm {
    evacuations: Evacuations,
    is_reader: bool,
    is_gone: bool,
    is_reading: bool,
    times: [Option<Uptime>; 2],
}

fn fleet_vm(index: usize) -> FleetVm {
    FleetVm {
        vm_id: format!("vm-{index}"),
        peer_address: SocketAddr::from(([10, 0, 0, 1], 1_000 + index as u16)),
        data_centre_id: format!("dc-{}", index % DATA_CENTRES),
    }
}

fn readers(vm_count: usize) -> Vec<bool> {
    let mut ledger = TokenLedger::default();
    for index in 0..vm_count {
        let FleetVm { vm_id, peer_address, data_centre_id } = fleet_vm(index);
        let record = HolderRecord {
            vm_id: vm_id.clone(),
            data_centre_id,
            peer_address,
            sequence: 1,
            is_closed: false,
            sent_at: ClockReading::default(),
            limits_active_for: Duration::ZERO,
            accounts: Vec::new(),
        };
        ledger.apply(index as u64 + 1, vm_id, record);
    }
    let is_reader = |index| {
        let mut live_vms = LiveVms::new(fleet_vm(index));
        live_vms.record_read(&ledger, START);
        ConfigReaders::select(&live_vms, START).is_reader
    };
    (0..vm_count).map(is_reader).collect()
}

/// Applies what the log service holds at a time, as an appended read to its end does.
fn read_log(evacuations: &mut Evacuations, now: Uptime) {
    let record = |state| OrderRecord { data_centre_id: "dc-0".to_owned(), state };
    let all = [(ORDER_AT, 0, Some(OrderState::InForce)), (REMOVAL_AT, 1, None)];
    let written = all.into_iter().filter(|(at, ..)| *at <= now);
    let records: Vec<_> = written.map(|(_, offset, state)| (offset, record(state))).collect();
    let position = OrdersPosition { era: 0, end: records.len() as u64 };
    evacuations.record_appended(position, records);
}

/// Returns the longest time until the order, and its removal, take effect at a VM that goes on, and the
/// number of reads by VMs that are not readers.
fn play(vm_count: usize, incident: Incident) -> ([Option<Duration>; 2], usize) {
    let times = ConfigTimes::new(PLANNED);
    let mut rng = StdRng::seed_from_u64(57);
    let readers = readers(vm_count);
    let mut vms: Vec<Vm> = readers
        .into_iter()
        .map(|is_reader| {
            let mut evacuations = Evacuations::default();
            read_log(&mut evacuations, START);
            evacuations.record_confirmed(START, &times, rng.random());
            Vm { evacuations, is_reader, is_gone: false, is_reading: false, times: [None; 2] }
        })
        .collect();
    let mut events = BinaryHeap::new();
    let mut sent: Vec<(Uptime, OrdersAnnouncement)> = Vec::new();
    for (index, vm) in vms.iter().enumerate() {
        let event = if vm.is_reader { Event::Read(index) } else { Event::Gate(index) };
        events.push(Reverse((START + READ_WAIT.mul_f64(rng.random()), event)));
    }
    let loss = if incident == Incident::HeavyLoss { 0.33 } else { 0.01 };
    let mut other_reads = 0;
    while let Some(Reverse((now, event))) = events.pop() {
        if now > END {
            break;
        }
        if incident == Incident::ReadersEnd && now >= ORDER_AT {
            vms.iter_mut().filter(|vm| vm.is_reader).for_each(|vm| vm.is_gone = true);
        }
        let index = match &event {
            Event::Read(index) | Event::Gate(index) | Event::Datagram { to: index, .. } => *index,
        };
        if vms[index].is_gone {
            continue;
        }
        match event {
            Event::Read(_) => {
                let vm = &mut vms[index];
                read_log(&mut vm.evacuations, now);
                vm.evacuations.record_confirmed(now, &times, rng.random());
                vm.is_reading = false;
                if vm.is_reader {
                    let written = [ORDER_AT, REMOVAL_AT].into_iter().find(|at| *at > now);
                    let pushed_at = written.map_or(Uptime::MAX, |at| at + LATENCY);
                    events.push(Reverse((pushed_at.min(now + READ_WAIT), Event::Read(index))));
                }
                let is_silent = vm.is_reader && incident == Incident::OlderReaders;
                if let Some(announced) = vm.evacuations.announcement(now).filter(|_| !is_silent) {
                    sent.push((now, announced));
                    let neighbours = (index % DATA_CENTRES..vm_count).step_by(DATA_CENTRES);
                    for to in neighbours.filter(|to| *to != index) {
                        if rng.random::<f64>() >= loss {
                            let datagram =
                                Event::Datagram { to, from: index, sent: sent.len() - 1 };
                            events.push(Reverse((now + LATENCY, datagram)));
                        }
                    }
                }
            }
            Event::Gate(_) => {
                let vm = &mut vms[index];
                if now >= vm.evacuations.read_due_at() && !vm.is_reading {
                    vm.is_reading = true;
                    other_reads += 1;
                    events.push(Reverse((now + READ_TIME, Event::Read(index))));
                }
                events.push(Reverse((now + GATE_INTERVAL, Event::Gate(index))));
            }
            Event::Datagram { sent: number, .. } => {
                let (sent_at, announced) = sent[number].clone();
                let known_at = sent_at - Duration::from_millis(announced.known_ago_ms);
                vms[index].evacuations.hear(announced, known_at, &times, rng.random());
            }
        }
        let vm = &mut vms[index];
        let is_evacuated = vm.evacuations.is_evacuated("dc-0");
        if now >= REMOVAL_AT && !is_evacuated {
            vm.times[1].get_or_insert(now - REMOVAL_AT);
        } else if now >= ORDER_AT && is_evacuated {
            vm.times[0].get_or_insert(now - ORDER_AT);
        }
    }
    let living: Vec<_> = vms.iter().filter(|vm| !vm.is_gone).collect();
    let last = [0, 1].map(|change| {
        let times: Option<Vec<_>> = living.iter().map(|vm| vm.times[change]).collect();
        times.and_then(|times| times.into_iter().max())
    });
    (last, other_reads)
}

// Only three VMs of each data centre read the topic of the orders.
#[test]
fn order_and_its_removal_take_effect_at_the_last_vm_in_time() {
    for vm_count in [85, 336] {
        for incident in
            [Incident::None, Incident::HeavyLoss, Incident::ReadersEnd, Incident::OlderReaders]
        {
            let (last, other_reads) = play(vm_count, incident);

            println!("{vm_count} VMs, {incident:?}: {last:?}, {other_reads} other reads");
            assert!(
                last.iter().all(|last| last.is_some_and(|l| l <= BOUND)),
                "{incident:?} {last:?}"
            );
        }
    }
}

// The other VMs leave the log service alone while they hear the readers.
#[test]
fn vms_that_hear_announcements_do_not_read_the_log_service() {
    for vm_count in [85, 336] {
        let (last, other_reads) = play(vm_count, Incident::None);

        assert_eq!(other_reads, 0);
        assert!(last[0].is_some_and(|last| last < Duration::from_millis(1_500)), "{last:?}");
    }
}
