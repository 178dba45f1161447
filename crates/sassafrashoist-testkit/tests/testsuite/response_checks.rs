use sassafrashoist_testkit::client::caller::CallerResponse;
use sassafrashoist_testkit::engine::response_tokens::response_text;
use sassafrashoist_testkit::experiments::load::{
    Appraisal, RequestGenerator, ResponseCheck, check_appraisal,
};

fn appraisal() -> Appraisal {
    let mut appraisal = RequestGenerator::new(1).make_appraisal(10);
    appraisal.output_tokens = 5;
    appraisal
}

fn response(text: String, is_complete: bool) -> eyre::Result<CallerResponse> {
    Ok(CallerResponse { status: 200, text, is_complete, ..CallerResponse::default() })
}

#[test]
fn response_check_accepts_the_complete_response() {
    let appraisal = appraisal();
    let complete = response_text(&appraisal.prompt, 5);

    let check = check_appraisal(&appraisal, &response(complete, true));

    assert_eq!(check, ResponseCheck::Correct);
}

#[test]
fn response_check_finds_a_truncated_response_that_claims_to_be_complete() {
    let appraisal = appraisal();
    let truncated = response_text(&appraisal.prompt, 4);

    let check = check_appraisal(&appraisal, &response(truncated, true));

    assert_eq!(check, ResponseCheck::Truncated);
}

#[test]
fn response_check_treats_a_declared_partial_response_as_failed() {
    let appraisal = appraisal();
    let truncated = response_text(&appraisal.prompt, 4);

    let check = check_appraisal(&appraisal, &response(truncated, false));

    assert_eq!(check, ResponseCheck::Failed);
}

#[test]
fn response_check_finds_the_response_to_another_request() {
    let appraisal = appraisal();
    let other = response_text("another prompt", 5);

    let check = check_appraisal(&appraisal, &response(other, false));

    assert_eq!(check, ResponseCheck::Mismatched);
}
