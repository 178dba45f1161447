use std::time::Duration;

use sassafrashoist_core::gateway::recent_answers::RecentAnswers;
use sassafrashoist_core::requests::quarantine::RequestFingerprint;

const NOW: Duration = Duration::from_secs(100);

fn fingerprint(number: u128) -> RequestFingerprint {
    RequestFingerprint { account_id: "a".into(), body_hash: number }
}

#[test]
fn answer_is_remembered_for_five_to_ten_seconds() {
    let mut answers = RecentAnswers::default();
    answers.record(&fingerprint(1), NOW);

    let remembered = [0, 4, 9, 11]
        .map(|later| answers.contains(&fingerprint(1), NOW + Duration::from_secs(later)));

    assert_eq!(remembered, [true, true, true, false]);
    assert!(!answers.contains(&fingerprint(2), NOW));
}

#[test]
fn number_of_remembered_answers_is_bounded() {
    let mut answers = RecentAnswers::default();

    (0..20_000).for_each(|number| answers.record(&fingerprint(number), NOW));

    let count = (0..20_000).filter(|n| answers.contains(&fingerprint(*n), NOW)).count();
    assert_eq!(count, 8_192);
}
