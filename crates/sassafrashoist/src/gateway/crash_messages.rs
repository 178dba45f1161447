//! The messages that VMs exchange about requests that crash backend servers.

use std::time::Duration;

use sassafrashoist_core::gateway::crash_report::CrashReport;
use sassafrashoist_core::gateway::crash_trials::{TrialId, TrialSubject};
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

/// The path to which VMs send all crashes that they know, to get those that the receiver knows.
pub const CRASHES_PATH: &str = "/crashes";

/// The path to which VMs send requests for trials.
pub const TRIAL_PATH: &str = "/trial";

/// The path to which VMs send the end of a trial.
pub const TRIAL_END_PATH: &str = "/trial-end";

/// Asks whether one request of a suspect may be sent to a backend server.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialRequest {
    /// The suspect.
    pub subject: TrialSubject,
    /// Identifies the trial.
    pub trial_id: TrialId,
    /// The longest time that it takes.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "max_time_ms")]
    pub max_time: Duration,
}

/// The response to a [`TrialRequest`].
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TrialResponse {
    /// The request may be sent.
    Granted,
    /// Another request of the suspect is on trial.
    Busy,
    /// There is no trial of the suspect for this time.
    Quarantined(
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        #[serde(rename = "ends_in_ms")]
        Duration,
    ),
    /// The VM does not grant the trials of the suspect.
    NotGrantor,
}

/// Tells the VM that granted a trial that it has ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialEnd {
    /// The suspect.
    pub subject: TrialSubject,
    /// The trial.
    pub trial_id: TrialId,
    /// What the trial showed, if it was complete.
    pub result: CrashReport,
}
