use sassafrashoist_testkit::client::caller::Answer;
use sassafrashoist_testkit::engine::answer_tokens::whole_answer;
use sassafrashoist_testkit::experiments::load::{
    AnswerCheck, Appraisal, RequestMaker, check_appraisal,
};

fn appraisal() -> Appraisal {
    let mut appraisal = RequestMaker::new(1).make_appraisal(10);
    appraisal.answer_tokens = 5;
    appraisal
}

fn answer(text: String, is_whole: bool) -> eyre::Result<Answer> {
    Ok(Answer { status: 200, text, is_whole, ..Answer::default() })
}

#[test]
fn answer_check_accepts_the_whole_answer() {
    let appraisal = appraisal();
    let whole = whole_answer(&appraisal.prompt, 5);

    let check = check_appraisal(&appraisal, &answer(whole, true));

    assert_eq!(check, AnswerCheck::Right);
}

#[test]
fn answer_check_finds_an_answer_that_ends_short_and_says_it_is_whole() {
    let appraisal = appraisal();
    let short = whole_answer(&appraisal.prompt, 4);

    let check = check_appraisal(&appraisal, &answer(short, true));

    assert_eq!(check, AnswerCheck::Cut);
}

#[test]
fn answer_check_takes_a_short_answer_that_says_so_for_a_refusal() {
    let appraisal = appraisal();
    let short = whole_answer(&appraisal.prompt, 4);

    let check = check_appraisal(&appraisal, &answer(short, false));

    assert_eq!(check, AnswerCheck::Refused);
}

#[test]
fn answer_check_finds_the_answer_of_another_request() {
    let appraisal = appraisal();
    let other = whole_answer("another prompt", 5);

    let check = check_appraisal(&appraisal, &answer(other, false));

    assert_eq!(check, AnswerCheck::Crossed);
}
