use std::collections::BTreeMap;
use std::time::Duration;

use proptest::prelude::*;
use sassafrashoist_core::ids::{Incarnation, Timestamp, VmId};
use sassafrashoist_core::membership::heartbeat::ActiveBundleId;
use sassafrashoist_core::membership::member::PlatformListing;
use sassafrashoist_core::membership::member_state::MemberState;
use sassafrashoist_core::membership::member_table::MemberTable;
use sassafrashoist_core::membership::member_update::MemberUpdate;
use sassafrashoist_core::membership::membership_timing::MembershipTiming;

const START: Timestamp = Duration::from_secs(1_000);
/// Rounds after the last fault within which all tables of a fleet of `VM_COUNT` converge.
const CONVERGENCE_ROUNDS: usize = 20;
const VM_COUNT: usize = 6;

#[derive(Debug, Clone)]
enum Fault {
    Cut(usize, usize),
    Repair(usize, usize),
    Pause(usize),
    Resume(usize),
    Restart(usize),
}

/// A fleet of tables whose heartbeats are delivered immediately or not at all.
struct Fleet {
    tables: Vec<MemberTable>,
    cuts: BTreeMap<(usize, usize), bool>,
    paused: [bool; VM_COUNT],
    now: Timestamp,
    incarnations_used: Vec<Vec<Incarnation>>,
}

fn vm(index: usize) -> VmId {
    format!("vm-{index}")
}

fn data_centre(index: usize) -> String {
    format!("dc-{}", index / 3)
}

fn new_table(index: usize, incarnation: Incarnation, now: Timestamp) -> MemberTable {
    let timing = MembershipTiming::default();
    let mut table = MemberTable::new(vm(index), data_centre(index), incarnation, timing);
    for other in (0..VM_COUNT).filter(|other| *other != index) {
        table.add_peer(vm(other), data_centre(other), now);
    }
    table
}

impl Fleet {
    fn new() -> Self {
        let tables = (0..VM_COUNT).map(|i| new_table(i, START.as_millis() as u64, START)).collect();
        Self {
            tables,
            cuts: BTreeMap::new(),
            paused: [false; VM_COUNT],
            now: START,
            incarnations_used: vec![Vec::new(); VM_COUNT],
        }
    }

    fn apply(&mut self, fault: &Fault) {
        match *fault {
            Fault::Cut(a, b) => drop(self.cuts.insert((a, b), true)),
            Fault::Repair(a, b) => drop(self.cuts.insert((a, b), false)),
            Fault::Pause(index) => self.paused[index] = true,
            Fault::Resume(index) => self.paused[index] = false,
            Fault::Restart(index) => {
                self.tables[index] = new_table(index, self.now.as_millis() as u64, self.now);
                self.paused[index] = false;
            }
        }
    }

    fn stop_faults(&mut self) {
        self.cuts.clear();
        self.paused = [false; VM_COUNT];
    }

    fn can_exchange(&self, from: usize, to: usize) -> bool {
        let is_cut = |a, b| self.cuts.get(&(a, b)).copied().unwrap_or(false);
        from != to
            && !self.paused[from]
            && !self.paused[to]
            && !is_cut(from, to)
            && !is_cut(to, from)
    }

    fn exchange(&mut self, from: usize, to: usize) -> bool {
        if !self.can_exchange(from, to) {
            return false;
        }
        let request = self.tables[from].make_heartbeat(&vm(to), ActiveBundleId::default());
        self.tables[to].receive(&request, self.now);
        let response = self.tables[to].make_heartbeat(&vm(from), ActiveBundleId::default());
        self.tables[from].record_response(&vm(to), self.now);
        self.tables[from].receive(&response, self.now);
        true
    }

    fn probe(&mut self, from: usize, target: &str) {
        let to = (0..VM_COUNT).find(|index| vm(*index) == target).unwrap();
        if self.exchange(from, to) {
            return;
        }
        let helpers = self.tables[from].choose_probe_helpers(target, 2);
        let is_reached = helpers.iter().any(|helper| {
            let index = (0..VM_COUNT).find(|index| vm(*index) == *helper).unwrap();
            self.can_exchange(from, index) && self.can_exchange(index, to)
        });
        self.tables[from].record_failure(target, is_reached, self.now);
    }

    fn round(&mut self, seed: u64) {
        self.now += MembershipTiming::default().round_interval;
        for index in (0..VM_COUNT).filter(|index| !self.paused[*index]).collect::<Vec<_>>() {
            self.tables[index].tick(self.now);
            self.incarnations_used[index].push(self.tables[index].incarnation());
            for target in self.tables[index].choose_targets(seed + index as u64) {
                self.probe(index, &target);
            }
        }
    }

    fn views(&self) -> Vec<Vec<MemberUpdate>> {
        self.tables.iter().map(MemberTable::updates).collect()
    }
}

fn faults() -> impl Strategy<Value = Vec<(Fault, u8)>> {
    let index = 0..VM_COUNT;
    let fault = prop_oneof![
        (index.clone(), index.clone()).prop_map(|(a, b)| Fault::Cut(a, b)),
        (index.clone(), index.clone()).prop_map(|(a, b)| Fault::Repair(a, b)),
        index.clone().prop_map(Fault::Pause),
        index.clone().prop_map(Fault::Resume),
        index.prop_map(Fault::Restart),
    ];
    prop::collection::vec((fault, 0..12u8), 0..12)
}

proptest! {
    #[test]
    fn membership_views_agree_after_the_faults_stop(faults in faults(), seed in any::<u32>()) {
        let mut fleet = Fleet::new();
        for (fault, rounds) in &faults {
            fleet.apply(fault);
            (0..*rounds).for_each(|round| fleet.round(u64::from(seed) + u64::from(round)));
        }

        fleet.stop_faults();
        (0..CONVERGENCE_ROUNDS).for_each(|round| fleet.round(u64::from(seed) + round as u64));

        let views = fleet.views();
        prop_assert!(views.iter().all(|view| *view == views[0]), "{:#?}", views);
        prop_assert!(views[0].iter().all(|update| update.state == MemberState::Alive));
    }

    #[test]
    fn membership_never_returns_to_an_incarnation_that_is_over(
        faults in faults(),
        seed in any::<u32>(),
    ) {
        let mut fleet = Fleet::new();
        let mut ended: BTreeMap<(usize, usize), Incarnation> = BTreeMap::new();

        for (fault, rounds) in &faults {
            fleet.apply(fault);
            if let Fault::Restart(index) = fault {
                ended.retain(|(observer, _), _| observer != index);
            }
            for round in 0..*rounds {
                fleet.round(u64::from(seed) + u64::from(round));
                for observer in 0..VM_COUNT {
                    for subject in (0..VM_COUNT).filter(|subject| *subject != observer) {
                        let incarnation = fleet.tables[subject].incarnation();
                        if let Some(previous) = ended.get(&(observer, subject)) {
                            prop_assert!(fleet.tables[observer].is_gone(&vm(subject), *previous));
                        }
                        if fleet.tables[observer].is_gone(&vm(subject), incarnation) {
                            ended.insert((observer, subject), incarnation);
                        }
                    }
                }
            }
        }

        for incarnations in &fleet.incarnations_used {
            prop_assert!(incarnations.is_sorted(), "{incarnations:?}");
        }
    }

    #[test]
    fn membership_update_order_is_total(
        a in (0..3u64, 0..3u32, 0..4usize),
        b in (0..3u64, 0..3u32, 0..4usize),
    ) {
        let [a, b] = [a, b].map(|(incarnation, revision, state)| MemberUpdate {
            vm_id: vm(0),
            data_centre_id: data_centre(0),
            incarnation,
            revision,
            state: STATES[state],
        });

        let replaces = (a.replaces(&b), b.replaces(&a));

        prop_assert!(replaces == (true, false) || replaces == (false, true) || a == b);
    }
}

const STATES: [MemberState; 4] =
    [MemberState::Alive, MemberState::Leaving, MemberState::Suspect, MemberState::Gone];

fn run_rounds(fleet: &mut Fleet, count: u64) {
    (0..count).for_each(|round| fleet.round(round));
}

#[test]
fn membership_declares_a_stopped_vm_gone_and_it_returns_in_a_new_incarnation() {
    let mut fleet = Fleet::new();
    run_rounds(&mut fleet, 5);
    let before = fleet.tables[1].incarnation();

    fleet.apply(&Fault::Pause(1));
    run_rounds(&mut fleet, 20);
    let was_gone = fleet.tables[5].is_gone("vm-1", before);
    let may_act = fleet.tables[1].may_act(fleet.now);
    fleet.apply(&Fault::Resume(1));
    run_rounds(&mut fleet, 5);

    assert!(was_gone);
    assert!(!may_act);
    assert!(fleet.tables[1].incarnation() > before);
    assert!(fleet.tables[0].is_gone("vm-1", before));
    assert_eq!(fleet.tables[0].state_of("vm-1"), Some(MemberState::Alive));
}

#[test]
fn membership_holds_a_cut_off_data_centre_suspect_and_not_gone() {
    let mut fleet = Fleet::new();
    run_rounds(&mut fleet, 5);

    for (a, b) in (0..3).flat_map(|a| (3..6).map(move |b| (a, b))) {
        fleet.apply(&Fault::Cut(a, b));
    }
    run_rounds(&mut fleet, 200);

    assert_eq!(fleet.tables[0].state_of("vm-4"), Some(MemberState::Suspect));
    assert_eq!(fleet.tables[4].state_of("vm-0"), Some(MemberState::Suspect));
    assert_eq!(fleet.tables[0].state_of("vm-1"), Some(MemberState::Alive));
}

#[test]
fn membership_probes_through_others_before_it_suspects_a_vm_behind_a_cut_link() {
    let mut fleet = Fleet::new();
    run_rounds(&mut fleet, 5);

    fleet.apply(&Fault::Cut(0, 1));
    run_rounds(&mut fleet, 50);

    assert_eq!(fleet.tables[0].state_of("vm-1"), Some(MemberState::Alive));
    assert_eq!(fleet.tables[2].state_of("vm-0"), Some(MemberState::Alive));
}

#[test]
fn membership_gives_a_flapping_vm_no_role_until_it_is_steady() {
    let mut fleet = Fleet::new();
    run_rounds(&mut fleet, 5);

    for _ in 0..4 {
        fleet.apply(&Fault::Pause(1));
        run_rounds(&mut fleet, 5);
        fleet.apply(&Fault::Resume(1));
        run_rounds(&mut fleet, 5);
    }
    let while_flapping = fleet.tables[0].eligible_of("dc-0");
    run_rounds(&mut fleet, 100);
    let when_steady = fleet.tables[0].eligible_of("dc-0");

    assert_eq!(while_flapping, ["vm-0", "vm-2"]);
    assert_eq!(when_steady, ["vm-0", "vm-1", "vm-2"]);
}

#[test]
fn membership_takes_leaving_from_the_platforms_list_before_the_vm_says_so() {
    let mut fleet = Fleet::new();
    run_rounds(&mut fleet, 5);

    fleet.tables[0].apply_platform_list(&BTreeMap::from([(vm(1), PlatformListing::Leaving)]));

    assert_eq!(fleet.tables[0].state_of("vm-1"), Some(MemberState::Leaving));
    assert_eq!(fleet.tables[0].eligible_of("dc-0"), ["vm-0", "vm-2"]);
}

#[test]
fn membership_heartbeat_stays_within_its_bound_of_updates() {
    let mut table = MemberTable::new(vm(0), "dc-0".into(), 1, MembershipTiming::default());
    (1..340).for_each(|index| table.add_peer(vm(index), format!("dc-{}", index % 21), START));

    let heartbeat = table.make_heartbeat("vm-7", ActiveBundleId::default());
    let targets = table.choose_targets(1);

    assert_eq!(heartbeat.updates.len(), MembershipTiming::default().max_updates);
    assert_eq!(heartbeat.updates[0].vm_id, "vm-7");
    assert_eq!(targets.len(), MembershipTiming::default().fan_out);
}
