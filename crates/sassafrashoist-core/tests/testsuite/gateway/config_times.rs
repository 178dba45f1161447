use std::time::Duration;

use proptest::prelude::*;
use sassafrashoist_core::gateway::config_times::ConfigTimes;

/// The time between two decisions whether to read.
const DECISION_TIME: Duration = Duration::from_millis(100);
/// The time to read a long configuration on the link of a small VM, and to decode it.
const READ_TIME: Duration = Duration::from_millis(400);

proptest! {
    // The waits were constants whose sum was longer than the time that some platforms name.
    #[test]
    fn waits_of_a_vm_that_hears_no_reader_any_more_leave_time_to_read(apply_ms in 2_500_u64..60_000) {
        let times = ConfigTimes::new(Duration::from_millis(apply_ms));

        let longest_wait = times.knowledge_age() + times.log_read_spread() + DECISION_TIME;

        prop_assert!(longest_wait + READ_TIME <= times.apply_time(), "{longest_wait:?}");
    }
}
