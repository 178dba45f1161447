use std::time::Duration;

use sassafrashoist_core::gateway::connection_limits::ConnectionLimits;
use sassafrashoist_core::gateway::connection_phase::ConnectionPhase;
use sassafrashoist_core::gateway::fleet_config::CallerLimits;

fn limits(idle_s: u64, header_s: u64, max_header_bytes: usize) -> ConnectionLimits {
    ConnectionLimits::of(&CallerLimits {
        max_header_bytes,
        max_body_bytes: 65_536,
        header_timeout: Duration::from_secs(header_s),
        idle_timeout: Duration::from_secs(idle_s),
    })
}

#[test]
fn connection_is_not_idle_for_less_than_a_head_may_take() {
    for limits in [limits(9, 3, 8_192), limits(3, 9, 8_192)] {
        assert_eq!(limits.idle_timeout, Duration::from_secs(9));
        assert_eq!(limits.head_timeout, Duration::from_secs(9));
    }
}

#[test]
fn head_may_be_as_long_as_what_is_read_at_once() {
    let lengths = [100, 8_192, 20_000].map(|bytes| limits(9, 3, bytes).max_head_bytes);

    assert_eq!(lengths, [8_192, 8_192, 20_000]);
}

#[test]
fn only_phases_without_a_request_have_a_timeout() {
    let limits = ConnectionLimits {
        idle_timeout: Duration::from_secs(5),
        head_timeout: Duration::from_secs(2),
        ..ConnectionLimits::default()
    };

    assert_eq!(limits.longest(ConnectionPhase::Opened), Some(limits.idle_timeout));
    assert_eq!(limits.longest(ConnectionPhase::Idle), Some(limits.idle_timeout));
    assert_eq!(limits.longest(ConnectionPhase::ReadingHead), Some(limits.head_timeout));
    for phase in
        [ConnectionPhase::InRequest, ConnectionPhase::WritingResponse, ConnectionPhase::Closing]
    {
        assert_eq!(limits.longest(phase), None, "{phase:?}");
    }
}
