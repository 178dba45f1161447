use std::time::Duration;

use sassafrashoist_core::gateway::read_precedence::{ReadPrecedence, TopicRank};

const NOW: Duration = Duration::from_secs(100);
const MAX_DELAY: Duration = Duration::from_secs(2);

fn all_current() -> ReadPrecedence {
    let mut precedence = ReadPrecedence::default();
    for rank in [TopicRank::Config, TopicRank::Servers, TopicRank::Ledger] {
        precedence.record_current(rank);
    }
    precedence
}

#[test]
fn the_ledger_does_not_delay_the_configuration() {
    let mut precedence = ReadPrecedence::default();

    precedence.record_ready(TopicRank::Ledger, NOW);

    assert_eq!(precedence.record_ready(TopicRank::Config, NOW), None);
}

#[test]
fn other_topics_wait_for_a_configuration_whose_connection_is_yet_to_open() {
    let mut precedence = ReadPrecedence::default();

    let servers = precedence.record_ready(TopicRank::Servers, NOW);
    let ledger = precedence.record_ready(TopicRank::Ledger, NOW);

    assert_eq!((servers, ledger), (Some(NOW + MAX_DELAY), Some(NOW + MAX_DELAY)));
}

#[test]
fn a_topic_is_read_once_the_topics_before_it_are() {
    let mut precedence = ReadPrecedence::default();

    precedence.record_current(TopicRank::Config);
    let servers = precedence.record_ready(TopicRank::Servers, NOW);
    let ledger = precedence.record_ready(TopicRank::Ledger, NOW);
    precedence.record_current(TopicRank::Servers);
    let ledger_later = precedence.record_ready(TopicRank::Ledger, NOW);

    assert_eq!((servers, ledger, ledger_later), (None, Some(NOW + MAX_DELAY), None));
}

#[test]
fn a_topic_that_cannot_be_read_does_not_delay_the_others_for_long() {
    let mut precedence = all_current();
    precedence.record_ready(TopicRank::Config, NOW);
    let later = NOW + Duration::from_millis(1_500);
    let much_later = NOW + Duration::from_secs(2);

    let first = precedence.record_ready(TopicRank::Servers, later);
    let second = precedence.record_ready(TopicRank::Servers, much_later);
    precedence.record_current(TopicRank::Servers);
    let again = precedence.record_ready(TopicRank::Servers, much_later);

    assert_eq!((first, second, again), (Some(NOW + MAX_DELAY), None, None));
}

// During an outage all topics are without a connection; their delay begins when one opens.
#[test]
fn the_delay_is_not_used_up_during_an_outage() {
    let mut precedence = all_current();
    precedence.record_ready(TopicRank::Servers, NOW);
    precedence.record_ready(TopicRank::Config, NOW);
    precedence.record_disconnected(TopicRank::Servers);
    precedence.record_disconnected(TopicRank::Config);
    let healed_at = NOW + Duration::from_secs(8);

    let servers = precedence.record_ready(TopicRank::Servers, healed_at);

    assert_eq!(servers, Some(healed_at + MAX_DELAY));
}
