use std::time::Duration;

use sassafrashoist_core::gateway::prompt_backlog::PromptBacklog;

const NOW: Duration = Duration::from_secs(100);

// Prompts that an engine has processed meanwhile would keep new ones away from it.
#[test]
fn own_prompts_count_until_they_are_processed_or_answered() {
    let mut backlog = PromptBacklog::default();
    backlog.begin(10_000, true, 100.0, NOW);
    backlog.begin(500, true, 100.0, NOW);

    assert!((backlog.tokens_ahead(100.0, NOW) - 10_500.0).abs() < 1.0);
    let later = NOW + Duration::from_millis(60);
    assert!((backlog.tokens_ahead(100.0, later) - 4_500.0).abs() < 1.0);
    assert_eq!(backlog.end(500), Some((NOW, Some(10_500.0))));
    assert_eq!(backlog.end(10_000), Some((NOW, Some(10_000.0))));
    assert_eq!(backlog.end(10_000), None);
    assert!(backlog.tokens_ahead(100.0, later).abs() < 1.0);
}

// The time of a prompt whose cached part is not known says nothing about the speed.
#[test]
fn prompt_of_uncertain_size_gives_no_sample() {
    let mut backlog = PromptBacklog::default();
    backlog.begin(10_000, false, 100.0, NOW);

    assert_eq!(backlog.end(10_000), Some((NOW, None)));
}

// A report of another moment would mark a server as busy that has finished its queue.
#[test]
fn reported_prompts_are_forgotten_within_two_seconds() {
    let mut backlog = PromptBacklog::default();
    backlog.record_report(10.0, 5.0, 1_000.0, NOW);

    assert!((backlog.tokens_ahead(100.0, NOW) - 6_000.0).abs() < 1.0);
    assert!(backlog.tokens_ahead(100.0, NOW + Duration::from_secs(2)) < 10.0);
}
