//! Tests of a gateway whose configuration may be old, because it cannot read the newest one.

use std::time::Duration;

use http::Method;
use sassafrashoist_platform_stand_in::caller::{CallerRequest, CallerResponse};
use sassafrashoist_platform_stand_in::log_service::LogFault;
use sassafrashoist_platform_stand_in::raw_caller::RawCaller;
use sassafrashoist_platform_stand_in::stand_in_fleet::{
    API_KEY, CHAT_PATH, CONFIG_TOPIC, STATUS_PATH, StandInFleet,
};

use crate::fleet_fixture::start_one_gateway;

/// The time after which the reads that began before a fault have ended.
const LAST_READ_TIME: Duration = Duration::from_millis(1_300);
/// The time after the last read from which the configuration may be old, with a margin.
const DOUBT_TIME: Duration = Duration::from_secs(2);
/// How long a gateway may take to read the configuration when the log service is back, with a
/// margin for a slow machine.
const RECOVERY_TIME: Duration = Duration::from_secs(10);

async fn start(name: &str, paid_tokens: u64) -> StandInFleet {
    start_one_gateway("old_config", name, paid_tokens).await
}

fn get(path: &str, key: &str) -> CallerRequest {
    CallerRequest { key: Some(key.to_owned()), ..CallerRequest::plain(Method::GET, path) }
}

async fn statuses(fleet: &StandInFleet, name: &str, requests: &[CallerRequest]) -> Vec<u16> {
    let mut statuses = Vec::new();
    for (number, request) in requests.iter().enumerate() {
        let response = fleet.send(0, &format!("{name}-{number}"), request).await.unwrap();
        statuses.push(response.status);
    }
    statuses
}

/// Repeats a request until it gets this status, for at most [`RECOVERY_TIME`].
async fn send_until(fleet: &StandInFleet, request: &CallerRequest, status: u16) -> bool {
    let sending = async {
        for number in 0.. {
            let response = fleet.send(0, &format!("until-{number}"), request).await.unwrap();
            if response.status == status {
                return;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    tokio::time::timeout(RECOVERY_TIME, sending).await.is_ok()
}

fn assert_refused_for_now(response: &CallerResponse) {
    assert_eq!(response.status, 503, "{response:?}");
    assert_eq!(response.body, b"configuration may be old".as_slice());
    assert!(response.headers.contains_key("retry-after"), "{response:?}");
}

// A gateway that was cut off from the log service answered 404 and 401, which callers do not retry,
// for a route and a key that had been added meanwhile.
#[tokio::test]
async fn what_a_newer_configuration_may_allow_is_refused_for_now() {
    let mut fleet = start("route_and_key", 1_000_000).await;
    let in_touch = [get("/none/1", API_KEY), get(STATUS_PATH, "no-key")];
    for (number, fault) in [LogFault::Unresponsive, LogFault::Down].into_iter().enumerate() {
        let (route, key) = (format!("added{number}"), format!("key-{number}"));
        let added_route = get(&format!("/{route}/1?lot=7"), API_KEY);
        let added_key = get(STATUS_PATH, &key);
        assert_eq!(statuses(&fleet, "before", &in_touch).await, [404, 401]);

        fleet.log.set_fault(fault);
        tokio::time::sleep(LAST_READ_TIME).await;
        fleet.add_route(&route, &[API_KEY, &key]);
        tokio::time::sleep(DOUBT_TIME).await;
        let by_route = fleet.send(0, "by-route", &added_route).await.unwrap();
        let by_key = fleet.send(0, "by-key", &added_key).await.unwrap();
        let allowed = statuses(&fleet, "allowed", &[get(STATUS_PATH, API_KEY)]).await;
        fleet.log.set_fault(LogFault::None);

        assert_refused_for_now(&by_route);
        assert_refused_for_now(&by_key);
        assert_eq!(allowed, [200]);
        assert!(send_until(&fleet, &added_route, 200).await, "{fault:?}");
        assert!(send_until(&fleet, &added_key, 200).await, "{fault:?}");
        assert!(send_until(&fleet, &in_touch[0], 404).await, "{fault:?}");
        assert!(send_until(&fleet, &in_touch[1], 401).await, "{fault:?}");
    }
    let log = fleet.gateways[0].read_log().unwrap();
    let line = log.lines().find(|line| line.contains("by-route")).unwrap();
    assert!(line.contains("no route matches: configuration "), "{line}");
    assert!(line.contains("host desk.example, path /added0/1"), "{line}");
    assert!(!line.contains("lot=7"), "{line}");
}

// The top-up and the limits are in the configuration too.
#[tokio::test]
async fn what_exceeds_a_limit_that_a_newer_configuration_may_raise_is_refused_for_now() {
    let mut fleet = start("limits", 5_000).await;
    let chat = CallerRequest::to_model(CHAT_PATH, 900, 100);
    let too_long = CallerRequest { body: vec![b'x'; 70_000].into(), ..get(STATUS_PATH, API_KEY) };
    assert!(send_until(&fleet, &chat, 402).await);
    assert_eq!(statuses(&fleet, "before", std::slice::from_ref(&too_long)).await, [413]);

    fleet.log.set_fault(LogFault::TopicDown(CONFIG_TOPIC));
    tokio::time::sleep(LAST_READ_TIME).await;
    fleet.top_up(50_000);
    tokio::time::sleep(DOUBT_TIME).await;
    let by_budget = fleet.send(0, "by-budget", &chat).await.unwrap();
    let by_length = fleet.send(0, "by-length", &too_long).await.unwrap();
    fleet.log.set_fault(LogFault::None);

    assert_refused_for_now(&by_budget);
    assert_refused_for_now(&by_length);
    assert!(send_until(&fleet, &chat, 200).await);
    assert!(send_until(&fleet, &too_long, 413).await);
}

// The age shows a VM that is behind before a caller meets it.
#[tokio::test]
async fn gauge_shows_how_old_the_configuration_may_be() {
    const GAUGE: &str = "sassafrashoist_config_age_seconds";
    let fleet = start("gauge", 1_000_000).await;

    let in_touch_s = fleet.gateways[0].read_gauge(GAUGE).await.unwrap();
    fleet.log.set_fault(LogFault::Down);
    tokio::time::sleep(LAST_READ_TIME + DOUBT_TIME).await;
    let cut_off_s = fleet.gateways[0].read_gauge(GAUGE).await.unwrap();

    assert!(in_touch_s < 1.5, "{in_touch_s}");
    assert!(cut_off_s >= DOUBT_TIME.as_secs_f64(), "{cut_off_s}");
}

// A response that comes late shows the topic as it was when the service wrote it, not as it is.
#[tokio::test]
async fn response_that_comes_late_does_not_confirm_the_configuration_as_of_its_arrival() {
    const CONFIG_APPLY_TIME: Duration = Duration::from_secs(2);
    let mut fleet = start("late_confirmation", 1_000_000).await;
    fleet.log.set_fault(LogFault::LateFirstByte { delay: Duration::from_millis(1_500) });
    tokio::time::sleep(Duration::from_secs(8)).await;

    let mut final_refusals = Vec::new();
    for round in 0..6 {
        tokio::time::sleep(Duration::from_millis(300 * round + 1_000)).await;
        let route = format!("late{round}");
        fleet.add_route(&route, &[API_KEY]);
        let added_at = std::time::Instant::now();
        tokio::time::sleep(CONFIG_APPLY_TIME).await;
        while added_at.elapsed() < CONFIG_APPLY_TIME * 2 {
            let request = get(&format!("/{route}/1"), API_KEY);
            let response = fleet.send(0, &format!("late-{round}"), &request).await.unwrap();
            if response.status == 404 {
                final_refusals.push((round, added_at.elapsed()));
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    assert_eq!(final_refusals, []);
}

#[tokio::test]
async fn newest_configuration_that_cannot_be_decoded_leaves_the_active_one_in_doubt() {
    let fleet = start("undecodable", 1_000_000).await;
    let newest = fleet.log.newest(CONFIG_TOPIC);
    let key = newest.keys().next().unwrap().clone();

    fleet.log.write(CONFIG_TOPIC, &key, b"{\"version\": 99, \"routes\": 7}");
    tokio::time::sleep(DOUBT_TIME).await;
    let response = fleet.send(0, "odd", &get("/unknown/1", API_KEY)).await.unwrap();

    let log = fleet.gateways[0].read_log().unwrap();
    assert!(log.contains("configuration cannot be decoded"), "{log}");
    assert_refused_for_now(&response);
}

/// The callers that connect while a gateway stands still.
const CALLER_COUNT: usize = 40;
/// Longer than a change may take to come into force.
const LONG_TIME: Duration = Duration::from_millis(4_500);

// A gateway asked how old its configuration was before it refused a request, never before it served one.
#[tokio::test]
async fn gateway_that_stood_still_does_not_serve_by_a_key_that_was_removed_meanwhile() {
    let mut fleet = start("removed_key", 1_000_000).await;
    let request = get(STATUS_PATH, API_KEY);
    assert_eq!(statuses(&fleet, "before", std::slice::from_ref(&request)).await, [200]);

    // The configuration is read late, as when the gateway has no processor time for its response.
    fleet.gateways[0].set_paused(true).unwrap();
    fleet.change_keys_in_burst(&["another-key"], 1, 4_000_000);
    let mut callers = Vec::new();
    for index in 0..CALLER_COUNT {
        let mut caller = RawCaller::connect(fleet.gateways[0].caller_address).await.unwrap();
        caller.write(&request.encode(&format!("removed-{index}"))).await.unwrap();
        callers.push(caller);
    }
    tokio::time::sleep(LONG_TIME).await;
    fleet.gateways[0].set_paused(false).unwrap();

    for caller in &mut callers {
        let answer = caller.read_answer_until_silent(RECOVERY_TIME).await;
        assert!(matches!(answer.status(), Some(401 | 503)), "{answer:?}");
    }
    assert!(send_until(&fleet, &request, 401).await);
}

// Nobody can bring it a newer configuration.
#[tokio::test]
async fn gateway_that_is_cut_off_goes_on_serving() {
    let fleet = start("cut_off", 1_000_000).await;
    let request = get(STATUS_PATH, API_KEY);
    for fault in [LogFault::Unresponsive, LogFault::Down] {
        fleet.log.set_fault(fault);
        let mut refused = Vec::new();
        for number in 0..80 {
            let response = fleet.send(0, &format!("cut-off-{number}"), &request).await.unwrap();
            if response.status != 200 {
                refused.push((number, response.status));
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        fleet.log.set_fault(LogFault::None);

        assert_eq!(refused, [], "{fault:?}");
        tokio::time::sleep(LAST_READ_TIME).await;
    }
}
