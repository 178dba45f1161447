use std::time::Duration;

use sassafrashoist_core::gateway::crash_trials::{CrashTrials, TrialSubject};
use sassafrashoist_core::requests::quarantine::RequestFingerprint;

const NOW: Duration = Duration::from_secs(100);
const END: Duration = Duration::from_secs(103);

fn fingerprint(number: u128) -> TrialSubject {
    TrialSubject::Request(RequestFingerprint { account_id: "a".into(), body_hash: number })
}

#[test]
fn one_copy_of_a_suspect_is_on_trial_until_it_ends_or_times_out() {
    let mut trials = CrashTrials::default();

    let first = trials.try_start(&fingerprint(1), 1, END, NOW);
    let second = trials.try_start(&fingerprint(1), 2, END, NOW);
    let other_request = trials.try_start(&fingerprint(2), 3, END, NOW);
    let after_time_out = trials.try_start(&fingerprint(1), 4, END * 2, END);
    trials.end(&fingerprint(1), 1);
    let after_wrong_end = trials.try_start(&fingerprint(1), 5, END * 2, END);
    trials.end(&fingerprint(1), 4);
    let after_end = trials.try_start(&fingerprint(1), 6, END * 2, END);

    assert_eq!(
        [first, second, other_request, after_time_out, after_wrong_end, after_end],
        [true, false, true, true, false, true]
    );
}
