use std::time::Duration;

use super::config_sharing_fleet::{Incident, Policy, SharingOutcome, SharingPlan, play};

const VM_COUNTS: [usize; 5] = [7, 60, 295, 336, 1_000];
const ROUTE_COUNTS: [usize; 2] = [29, 1_430];
/// How long a change may take to come into force at the last VM.
const CONFIG_APPLY_TIME: Duration = Duration::from_secs(4);
/// The bytes of a long configuration, rounded up.
const LONG_DOCUMENT_BYTES: f64 = 415e3;
const READERS: f64 = 18.0;

fn plan(vm_count: usize, route_count: usize, policy: Policy, incident: Incident) -> SharingPlan {
    SharingPlan { vm_count, route_count, policy, incident, apply_time: CONFIG_APPLY_TIME }
}

fn play_all(incident: Incident, policy: Policy) -> Vec<(SharingPlan, SharingOutcome)> {
    let plans = VM_COUNTS.into_iter().flat_map(|vm_count| {
        ROUTE_COUNTS.map(|route_count| plan(vm_count, route_count, policy, incident))
    });
    plans.map(|plan| (plan, play(plan))).collect()
}

/// Prints a line of the table in docs/CAPACITY.md; `--nocapture` shows it.
fn print(plan: &SharingPlan, outcome: &SharingOutcome) {
    let ms =
        |share| outcome.quantile(share).map_or("-".to_owned(), |time| time.as_millis().to_string());
    println!(
        "{:?} {:?} {} VMs {} routes: {} {} {} ms, missing {}, {:.1} MB, served {}",
        plan.policy,
        plan.incident,
        plan.vm_count,
        plan.route_count,
        ms(0.5),
        ms(0.99),
        ms(1.0),
        outcome.missing,
        outcome.log_bytes / 1e6,
        outcome.served_fetches
    );
}

fn assert_in_time(plan: &SharingPlan, outcome: &SharingOutcome) {
    let last = outcome.quantile(1.0);
    assert!(last.is_some_and(|last| last <= plan.apply_time), "{plan:?}: {outcome:?}");
}

// All VMs together read more than the log service sends in the time after which a read is given up.
#[test]
fn change_of_one_route_is_in_force_everywhere_and_read_by_few_vms() {
    for incident in [Incident::OneChange, Incident::Storm] {
        for (plan, outcome) in play_all(incident, Policy::Readers) {
            print(&plan, &outcome);

            assert_in_time(&plan, &outcome);
            let max_bytes = match incident {
                Incident::Storm => 25.0 * READERS * LONG_DOCUMENT_BYTES,
                _ => READERS * LONG_DOCUMENT_BYTES,
            };
            assert!(outcome.log_bytes <= max_bytes, "{plan:?}: {outcome:?}");
        }
    }
}

// Shows that the replay has the fault that the readers are for.
#[test]
fn change_is_late_or_costly_if_every_vm_reads_it() {
    for (vm_count, incident) in
        [(295, Incident::OneChange), (336, Incident::OneChange), (295, Incident::Cut)]
    {
        let policy = Policy::EveryVm;
        let plan = plan(vm_count, 1_430, policy, incident);

        let outcome = play(plan);

        print(&plan, &outcome);
        assert!(outcome.log_bytes > 100e6, "{plan:?}: {outcome:?}");
        let is_late = outcome.quantile(1.0).is_none_or(|last| last > CONFIG_APPLY_TIME);
        assert_eq!(is_late, (vm_count, incident) != (295, Incident::OneChange), "{plan:?}");
    }
}

// VMs that were all cut off read together when the log service was back, and gave up together.
#[test]
fn change_during_a_cut_is_in_force_soon_after_it() {
    for (plan, outcome) in play_all(Incident::Cut, Policy::Readers) {
        print(&plan, &outcome);

        assert_in_time(&plan, &outcome);
    }
}

#[test]
fn change_is_in_force_in_time_without_the_readers_of_a_data_centre() {
    for incident in [Incident::ReadersKilled, Incident::ReadersFrozen] {
        for (plan, outcome) in play_all(incident, Policy::Readers) {
            print(&plan, &outcome);

            assert_in_time(&plan, &outcome);
        }
    }
}

#[test]
fn change_is_in_force_in_time_although_a_reader_does_not_see_it() {
    for (plan, outcome) in play_all(Incident::StaleReader, Policy::Readers) {
        print(&plan, &outcome);

        assert_in_time(&plan, &outcome);
    }
}

// What is too long for a message between VMs must not bring all VMs to the log service at once. It
// takes the log service 7 s to send the long configuration to 1,000 VMs.
#[test]
fn change_of_every_route_is_read_by_every_vm_once_and_not_at_one_moment() {
    for (plan, outcome) in play_all(Incident::WholeChange, Policy::Readers) {
        print(&plan, &outcome);

        let most_bytes = plan.vm_count as f64 * LONG_DOCUMENT_BYTES * 4.0 / 3.0;
        assert!(outcome.log_bytes <= most_bytes, "{plan:?}: {outcome:?}");
        assert_eq!(outcome.missing, 0, "{plan:?}");
        if plan.vm_count < 1_000 || plan.route_count == 29 {
            assert_in_time(&plan, &outcome);
        }
    }
}

// During an upgrade the selected readers may all have a build that announces nothing.
#[test]
fn readers_of_an_old_build_leave_the_others_as_they_were() {
    for (plan, outcome) in play_all(Incident::OldReaders, Policy::Readers) {
        print(&plan, &outcome);

        assert_eq!(outcome, play(SharingPlan { policy: Policy::EveryVm, ..plan }), "{plan:?}");
    }
}

// Small fleets stay as they were.
#[test]
fn small_fleet_reads_as_before() {
    for incident in [Incident::OneChange, Incident::Cut, Incident::Storm] {
        let outcomes =
            [Policy::EveryVm, Policy::Readers].map(|policy| play(plan(7, 1_430, policy, incident)));

        assert_eq!(outcomes[0], outcomes[1], "{incident:?}");
    }
}

// The waits of a VM that hears no reader any more, or whose fetches fail, added up to more than the time
// in which a change is to be in force.
#[test]
fn change_is_in_force_in_time_at_vms_whose_readers_fail() {
    let incidents = [
        Incident::ReadersTurnedAway,
        Incident::ThirdTurnedAway,
        Incident::ThirdUnanswered,
        Incident::ReadersWithoutTime,
        Incident::All,
    ];
    for incident in incidents {
        for vm_count in [60, 295, 336] {
            let plan = plan(vm_count, 1_430, Policy::Readers, incident);

            let outcome = play(plan);

            print(&plan, &outcome);

            assert_in_time(&plan, &outcome);
        }
    }
}

// Fleets of data centres with other bounds have to be in time too.
#[test]
fn shorter_time_to_apply_a_change_is_kept() {
    for incident in [Incident::ReadersTurnedAway, Incident::ReadersWithoutTime, Incident::All] {
        let apply_time = Duration::from_secs(3);
        for vm_count in [60, 90] {
            let plan =
                SharingPlan { apply_time, ..plan(vm_count, 1_430, Policy::Readers, incident) };

            let outcome = play(plan);

            print(&plan, &outcome);
            assert_in_time(&plan, &outcome);
        }
    }
}
