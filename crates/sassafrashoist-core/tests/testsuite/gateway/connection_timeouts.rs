use std::time::Duration;

use sassafrashoist_core::gateway::connection_phase::ConnectionPhase;
use sassafrashoist_core::gateway::connection_timeouts::ConnectionTimeouts;
use sassafrashoist_core::gateway::fleet_config::CallerLimits;

fn limits(idle_s: u64, header_s: u64) -> CallerLimits {
    CallerLimits {
        max_header_bytes: 8_192,
        max_body_bytes: 65_536,
        header_timeout: Duration::from_secs(header_s),
        idle_timeout: Duration::from_secs(idle_s),
    }
}

#[test]
fn connection_is_not_idle_for_less_than_a_head_may_take() {
    let timeouts = [(9, 3), (3, 9)].map(|(idle, head)| ConnectionTimeouts::of(&limits(idle, head)));

    for timeouts in timeouts {
        assert_eq!(timeouts.idle, Duration::from_secs(9));
        assert_eq!(timeouts.head, Duration::from_secs(9));
    }
}

#[test]
fn only_phases_without_a_request_have_a_timeout() {
    let timeouts =
        ConnectionTimeouts { idle: Duration::from_secs(5), head: Duration::from_secs(2) };

    assert_eq!(timeouts.longest(ConnectionPhase::Opened), Some(timeouts.idle));
    assert_eq!(timeouts.longest(ConnectionPhase::Idle), Some(timeouts.idle));
    assert_eq!(timeouts.longest(ConnectionPhase::ReadingHead), Some(timeouts.head));
    for phase in
        [ConnectionPhase::InRequest, ConnectionPhase::WritingResponse, ConnectionPhase::Closing]
    {
        assert_eq!(timeouts.longest(phase), None, "{phase:?}");
    }
}
