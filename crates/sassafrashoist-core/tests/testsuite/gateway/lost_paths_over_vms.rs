use super::path_fleet::{Cut, PathFleetOutcome, PathFleetPlan, Policy, play};

const VM_COUNTS: [usize; 3] = [7, 60, 336];
const CUTS: [Cut; 5] =
    [Cut::One, Cut::HalfOfDataCentre, Cut::AllButOneOfDataCentre, Cut::DataCentre, Cut::Scattered];
/// A VM without paths probes at most this often.
const MAX_PROBES_PER_S: f64 = 4.0;
/// The requests that a VM holds however little memory it has.
const MAX_CARRIED: usize = 32;

fn play_all(policy: Policy) -> Vec<(PathFleetPlan, PathFleetOutcome)> {
    let plans = VM_COUNTS.into_iter().flat_map(|vm_count| {
        CUTS.into_iter().flat_map(move |cut| {
            [true, false].map(|hangs| PathFleetPlan { vm_count, cut, hangs, policy })
        })
    });
    plans.map(|plan| (plan, play(plan))).collect()
}

/// Returns whether first tries at VMs without paths are served two thirds as often as all others,
/// which are all served.
fn is_served_as_asked(outcome: &PathFleetOutcome) -> bool {
    3 * outcome.served_at_cut >= 2 * outcome.sent_at_cut
}

// The figures for docs/incidents/lost-paths.md; `--nocapture` prints them.
#[test]
fn callers_of_vms_without_paths_are_served_through_other_vms() {
    for (plan, outcome) in play_all(Policy::Relay) {
        println!("{plan:?}: {outcome:?}");

        assert!(outcome.sent_at_cut > 0, "{plan:?}");
        assert!(is_served_as_asked(&outcome), "{plan:?}: {outcome:?}");
        assert!(outcome.max_probes_per_s <= MAX_PROBES_PER_S, "{plan:?}: {outcome:?}");
        assert!(outcome.max_carried <= MAX_CARRIED, "{plan:?}: {outcome:?}");
        assert_eq!(outcome.relayed_after_return, 0, "{plan:?}");
    }
}

#[test]
fn refusing_serves_no_caller_of_a_vm_without_paths() {
    for (plan, outcome) in play_all(Policy::Refuse) {
        assert!(outcome.sent_at_cut > 0, "{plan:?}");
        assert_eq!(outcome.served_at_cut, 0, "{plan:?}");
    }
}

// The load balancer uses all VMs of a data centre of which fewer than half are ready.
#[test]
fn not_being_ready_does_not_help_when_most_vms_of_a_data_centre_have_no_paths() {
    for vm_count in [60, 336] {
        let cut = Cut::AllButOneOfDataCentre;
        let plan = PathFleetPlan { vm_count, cut, hangs: true, policy: Policy::NotReady };

        let outcome = play(plan);

        assert!(outcome.sent_at_cut > 0, "{plan:?}");
        assert_eq!(outcome.served_at_cut, 0, "{plan:?}");
    }
}
