use sassafrashoist_core::gateway::connection_phase::{ConnectionPhase, PhaseCounts};

#[test]
fn request_is_unanswered_from_its_head_until_its_response_is_written() {
    let mut counts = PhaseCounts::default();
    let phases = [
        ConnectionPhase::Opened,
        ConnectionPhase::ReadingHead,
        ConnectionPhase::InRequest,
        ConnectionPhase::WritingResponse,
        ConnectionPhase::Idle,
    ];

    counts.open();
    let mut unanswered = vec![counts.unanswered()];
    for pair in phases.windows(2) {
        counts.change(pair[0], pair[1]);
        unanswered.push(counts.unanswered());
    }
    let total = counts.total();
    counts.close(ConnectionPhase::Idle);

    assert_eq!(unanswered, [0, 0, 1, 1, 0]);
    assert_eq!(total, 1);
    assert_eq!(counts, PhaseCounts::default());
}
