//! An end-to-end run in one process: two data centres, three routers, an appraisal and a bid.

use std::time::Duration;

use eyre::{Result, ensure};

use crate::client::caller::CallerRequest;
use crate::engine::engine_settings::EngineSettings;
use crate::engine::response_tokens::response_text;
use crate::fleet::audit::Audit;
use crate::fleet::fleet_bundle::{APPRAISAL_PATH, BID_PATH};
use crate::fleet::fleet_plan::FleetPlan;
use crate::fleet::operators::AUTHOR_ID;
use crate::fleet::running_fleet::RunningFleet;
use sassafrasctl::ops::queries::explain_request::{explain_request, format_explanation};
use sassafrasctl::ops::queries::show_budget::show_budget;

/// The prompt of the appraisal request.
const APPRAISAL_PROMPT: &str = "Appraise lot 17: iroko flitch, 2.4 m, slight heart shake.";
/// The number of tokens in the response to the appraisal request.
const APPRAISAL_TOKENS: u64 = 40;
/// The idempotency key of the bid.
const BID_KEY: &str = "bid-lot-17-workshop-4";

/// Runs all steps and prints each.
///
/// # Errors
///
/// Fails with the first step that fails.
pub async fn run_quickstart() -> Result<RunningFleet> {
    let mut plan = FleetPlan::new(&["plateau", "rufisque"], 1, EngineSettings::default());
    plan.data_centres[0].vm_count = 2;
    let fleet = RunningFleet::start(plan).await?;
    println!("1. started the platform, 2 engines, 2 auction desks and 3 routers in 2 data centres");
    println!("2. bundle version 1 is active on all routers, signed by awa, approved by bram");
    send_appraisal(&fleet).await?;
    send_bids(&fleet).await?;
    report_budget(&fleet).await?;
    let audit = Audit::collect(&fleet);
    ensure!(audit.is_clean(), "an invariant was violated: {:?}", audit.violations);
    println!("7. every invariant counter is 0");
    Ok(fleet)
}

async fn send_appraisal(fleet: &RunningFleet) -> Result<()> {
    let body = serde_json::json!({
        "model": "appraiser", "prompt": APPRAISAL_PROMPT,
        "max_tokens": APPRAISAL_TOKENS, "stream": true,
    });
    let request = CallerRequest {
        path: APPRAISAL_PATH.to_owned(),
        body: body.to_string(),
        ..CallerRequest::default()
    };
    let response = fleet.caller(0)?.post(&request).await?;
    let expected = response_text(APPRAISAL_PROMPT, APPRAISAL_TOKENS);
    ensure!(response.status == 200, "appraisal returned status {}", response.status);
    ensure!(response.is_complete && response.text == expected, "appraisal is incomplete");
    println!(
        "3. appraisal: {APPRAISAL_TOKENS} tokens streamed, {} billed including its prompt, first token after {:.1} ms",
        response.used_tokens,
        response.time_to_first_token.as_secs_f64() * 1000.0
    );
    Ok(())
}

async fn send_bids(fleet: &RunningFleet) -> Result<()> {
    let request = CallerRequest {
        path: BID_PATH.to_owned(),
        body: r#"{"lot":17,"amount_xof":450000}"#.to_owned(),
        idempotency_key: Some(BID_KEY.to_owned()),
        ..CallerRequest::default()
    };
    let first = fleet.caller(0)?.post(&request).await?;
    ensure!(first.status == 200, "bid returned status {}", first.status);
    println!("4. bid: accepted, result {}", first.result_code());
    let second = fleet.caller(2)?.post(&request).await?;
    ensure!(second.body == first.body, "second response differs from the first");
    let request_id = second.request_id().to_owned();
    let execution_count: u32 =
        fleet.services.iter().map(|service| service.stand_in.execution_count(&request_id)).sum();
    ensure!(execution_count == 1, "bid ran {execution_count} times");
    println!(
        "5. the same bid through the other data centre: same response, result {}, runs of the bid = {execution_count}",
        second.result_code()
    );
    let explanation = explain_request(&fleet.ctl(AUTHOR_ID), &request_id).await;
    ensure!(!explanation.decisions.is_empty(), "no VM has a decision record of the bid");
    print!("{}", indent(&format_explanation(&explanation)));
    Ok(())
}

async fn report_budget(fleet: &RunningFleet) -> Result<()> {
    let budget_id = fleet.plan.accounts[0].budget_id();
    let report = show_budget(&fleet.ctl(AUTHOR_ID), &budget_id).await?;
    ensure!(
        report.unaccounted_tokens == 0,
        "{} tokens are unaccounted for",
        report.unaccounted_tokens
    );
    println!(
        "6. budget {budget_id}: {} tokens paid, {} billed, {} left",
        report.paid_tokens,
        report.settled_tokens,
        report.paid_tokens - report.settled_tokens - report.reserved_tokens
    );
    Ok(())
}

/// Prints the addresses of the routers and waits forever.
///
/// # Errors
///
/// Fails when a router is not running.
pub async fn stay(fleet: &RunningFleet) -> Result<()> {
    let key = fleet.plan.accounts[0].caller_key();
    for vm in &fleet.vms {
        println!(
            "{}: callers http://{}  admin http://{}/state",
            vm.settings.vm_id,
            vm.caller_address()?,
            vm.admin_address()?
        );
    }
    let address = fleet.vms[0].caller_address()?;
    println!(
        "try: curl -N http://{address}{APPRAISAL_PATH} -H 'Authorization: Bearer {key}' \
         -d '{{\"model\":\"appraiser\",\"prompt\":\"lot 18\",\"max_tokens\":20,\"stream\":true}}'"
    );
    tokio::time::sleep(Duration::MAX).await;
    Ok(())
}

fn indent(text: &str) -> String {
    text.lines().map(|line| format!("   {line}\n")).collect()
}
