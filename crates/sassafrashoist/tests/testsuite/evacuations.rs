//! Tests of data centres that operators evacuate: nothing may be sent to their servers until the order
//! is removed.

use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use http::Method;
use sassafrashoist_core::gateway::config_readers::MAX_SMALL_FLEET_VMS;
use sassafrashoist_platform_stand_in::caller::CallerRequest;
use sassafrashoist_platform_stand_in::stand_in_fleet::{
    CONFIG_TOPIC, DRAFT_PATH, EVENT_COUNT, EVENT_INTERVAL, FleetPlan, StandInFleet,
};

/// The time in which an order is to take effect.
const EVACUATION_TIME: Duration = Duration::from_secs(5);
/// How long a change in the log service may take to become active in a small fleet, with a margin for a
/// slow machine.
const PROPAGATION_TIME: Duration = Duration::from_millis(800);
/// The time in which all gateways of a large fleet learn of the others.
const SETTLING_TIME: Duration = Duration::from_secs(7);
const REQUESTS_PER_GATEWAY: usize = 8;

/// Starts a fleet whose engines 0 and 1 are in data centre `plateau`, and 2 and 3 in `shore`.
async fn start(name: &str, gateway_count: usize, event_interval: Duration) -> StandInFleet {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("evacuations").join(name);
    std::fs::remove_dir_all(&folder).ok();
    let program = Path::new(env!("CARGO_BIN_EXE_sassafrashoist"));
    let plan = FleetPlan {
        gateway_count,
        engine_count: 4,
        plain_count: 0,
        paid_tokens: 10_000_000,
        has_own_paths: false,
        event_interval,
    };
    let mut fleet = StandInFleet::start(program, &folder, plan).await.unwrap();
    fleet.set_engine_zone(2, "shore");
    fleet.set_engine_zone(3, "shore");
    tokio::time::sleep(PROPAGATION_TIME).await;
    fleet
}

fn draft(number: usize) -> CallerRequest {
    let mut request = CallerRequest::plain(Method::POST, DRAFT_PATH);
    request.headers = vec![("prefix-hash", format!("a{number}:450,b{number}:450"))];
    request
}

/// Sends requests to all gateways; returns how many were served by engines of each data centre, first
/// `plateau`, and how many got 503.
async fn send_to_all(fleet: &StandInFleet, name: &str) -> ([usize; 2], usize) {
    let mut served = [0; 2];
    let mut refused = 0;
    for gateway in 0..fleet.gateways.len() {
        for number in 0..REQUESTS_PER_GATEWAY {
            let id = format!("{name}-{gateway}-{number}");
            let response = fleet.send(gateway, &id, &draft(number)).await.unwrap();
            match response.status {
                200 => fleet.engines_of(&id).into_iter().for_each(|e| served[e / 2] += 1),
                503 => refused += 1,
                status => panic!("{id}: {status}"),
            }
        }
    }
    (served, refused)
}

// Requests went on to the servers of a data centre that was about to be switched off.
#[tokio::test]
async fn no_request_reaches_an_evacuated_data_centre_until_the_order_is_removed() {
    let fleet = start("one", 2, EVENT_INTERVAL).await;
    let all = 2 * REQUESTS_PER_GATEWAY;

    fleet.evacuate("plateau");
    tokio::time::sleep(PROPAGATION_TIME).await;
    let with_one = send_to_all(&fleet, "one").await;
    fleet.evacuate("shore");
    tokio::time::sleep(PROPAGATION_TIME).await;
    let with_all = send_to_all(&fleet, "all").await;
    fleet.revoke_evacuation("plateau");
    tokio::time::sleep(PROPAGATION_TIME).await;
    let after_removal = send_to_all(&fleet, "removed").await;

    assert_eq!(with_one, ([0, all], 0));
    assert_eq!(with_all, ([0, 0], all));
    assert_eq!(after_removal, ([all, 0], 0));
}

// A gateway that served before it had read the order sent requests to the data centre.
#[tokio::test]
async fn gateway_that_starts_without_the_topics_records_obeys_the_order() {
    let mut fleet = start("restarted", 1, EVENT_INTERVAL).await;
    fleet.evacuate("plateau");
    fleet.evacuate("nowhere");
    fleet.log.write(CONFIG_TOPIC, "evacuate/shore", b"\x00\xff");
    tokio::time::sleep(PROPAGATION_TIME).await;
    fleet.trim_topics();

    fleet.gateways[0].kill_and_restart().await.unwrap();
    let (served, _) = send_to_all(&fleet, "restarted").await;

    assert_eq!(served[0], 0);
    assert!(served[1] > 0);
    let log = fleet.gateways[0].read_log().unwrap();
    let count = |text: &str| log.lines().filter(|line| line.contains(text)).count();
    assert_eq!(count("evacuation order names a data centre without servers"), 1, "{log}");
    assert!((1..=2).contains(&count("evacuation order cannot be read")), "{log}");
}

#[tokio::test]
async fn stream_that_runs_in_an_evacuated_data_centre_goes_on() {
    let fleet = start("stream", 1, Duration::from_millis(400)).await;
    fleet.evacuate("shore");
    tokio::time::sleep(PROPAGATION_TIME).await;

    let request = draft(0);
    let (response, ()) = tokio::join!(fleet.send(0, "running", &request), async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        fleet.evacuate("plateau");
    });
    let (served, refused) = send_to_all(&fleet, "after").await;

    let body = response.unwrap().body;
    assert_eq!(String::from_utf8_lossy(&body).matches("\n\n").count() as u64, EVENT_COUNT);
    assert_eq!(fleet.runs_of("running").len(), 1);
    assert_eq!((served, refused), ([0, 0], REQUESTS_PER_GATEWAY));
}

// In a large fleet, most gateways do not read the topic of the orders.
#[tokio::test]
async fn order_and_its_removal_take_effect_at_all_gateways_of_a_large_fleet_in_time() {
    let gateway_count = MAX_SMALL_FLEET_VMS + 1;
    let fleet = start("large", gateway_count, Duration::from_millis(2)).await;
    tokio::time::sleep(SETTLING_TIME).await;

    fleet.evacuate("plateau");
    let all_know = |text: &'static str| {
        let fleet = &fleet;
        async move {
            let begun_at = Instant::now();
            let knows = |gateway: &usize| {
                fleet.gateways[*gateway].read_log().unwrap().lines().any(|l| l.contains(text))
            };
            while (0..gateway_count).any(|gateway| !knows(&gateway)) {
                assert!(begun_at.elapsed() <= EVACUATION_TIME, "{text}");
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
            begun_at.elapsed()
        }
    };
    let evacuated_in = all_know("\"data centre evacuated\"").await;
    let (with_order, _) = send_to_all(&fleet, "large").await;
    fleet.revoke_evacuation("plateau");
    let revoked_in = all_know("evacuation of a data centre revoked").await;
    let (after_removal, _) = send_to_all(&fleet, "removed").await;

    println!("evacuated in {evacuated_in:?}, revoked in {revoked_in:?}");
    assert_eq!(with_order, [0, gateway_count * REQUESTS_PER_GATEWAY]);
    assert!(after_removal[0] > 0);
}
