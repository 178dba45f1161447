//! What this VM has yet to tell the others about crashes.
//!
//! When a server ends, each of its requests is a suspect, and soon after most of them are cleared. In
//! a fleet of N VMs each report costs N datagrams, and each VM processes those of all others. Reports
//! are therefore collected for a short time and sent together, in as few datagrams as they fit into.

use super::Uptime;
use super::crash_report::CrashReport;

/// What this VM has yet to tell the others about crashes.
#[derive(Debug, Default)]
pub struct CrashOutbox {
    reports: Vec<(Uptime, CrashReport)>,
}

impl CrashOutbox {
    /// Adds a report that was made now; returns whether it is the first one, so that the outbox is
    /// to be sent soon.
    pub fn add(&mut self, report: CrashReport, now: Uptime) -> bool {
        self.reports.push((now, report));
        self.reports.len() == 1
    }

    /// Takes all reports as one, with their ages as of now.
    pub fn take(&mut self, now: Uptime) -> CrashReport {
        let mut all = CrashReport::default();
        for (made_at, mut report) in self.reports.drain(..) {
            report.add_age(now.saturating_sub(made_at));
            all.append(report);
        }
        all
    }
}
