//! The memory and CPU time of a process, read from `/proc`.

use std::fs;
use std::time::Duration;

use eyre::{Result, WrapErr, eyre};

/// The unit of CPU time in `/proc/PID/stat`.
const CLOCK_TICK: Duration = Duration::from_millis(10);
/// The index of the user time, in ticks, among the fields of `/proc/PID/stat` after the command
/// name; the system time follows it.
const USER_TICKS_FIELD: usize = 11;
/// `/proc/PID/status` gives sizes in units of 1024 bytes.
const BYTES_PER_KILOBYTE: u64 = 1024;

/// The memory and CPU time of a process.
#[derive(Debug, Clone, Copy)]
pub struct ProcessStats {
    /// The resident set size.
    pub resident_bytes: u64,
    /// The CPU time used so far, user and system together.
    pub cpu_time: Duration,
}

/// Reads the memory and CPU time of a process.
///
/// # Errors
///
/// Fails when the process has ended or a field is missing.
pub fn read_process_stats(pid: u32) -> Result<ProcessStats> {
    let status = fs::read_to_string(format!("/proc/{pid}/status"))
        .wrap_err("failed to read the status of a process")?;
    let resident_kilobytes: u64 = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .and_then(|rest| rest.split_whitespace().next())
        .and_then(|number| number.parse().ok())
        .ok_or_else(|| eyre!("process status has no resident set size"))?;
    let stat = fs::read_to_string(format!("/proc/{pid}/stat"))
        .wrap_err("failed to read the CPU time of a process")?;
    let fields: Vec<&str> = stat
        .rsplit_once(')')
        .map(|(_, rest)| rest.split_whitespace().collect())
        .unwrap_or_default();
    let ticks = |index: usize| fields.get(index).and_then(|field| field.parse::<u32>().ok());
    let user_ticks =
        ticks(USER_TICKS_FIELD).ok_or_else(|| eyre!("process stat has no user time"))?;
    let system_ticks =
        ticks(USER_TICKS_FIELD + 1).ok_or_else(|| eyre!("process stat has no system time"))?;
    Ok(ProcessStats {
        resident_bytes: resident_kilobytes * BYTES_PER_KILOBYTE,
        cpu_time: CLOCK_TICK * (user_ticks + system_ticks),
    })
}
