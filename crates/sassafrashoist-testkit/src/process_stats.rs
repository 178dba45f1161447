//! The memory and processor time of a process, as the kernel counts them.

use std::fs;
use std::time::Duration;

use eyre::{Result, WrapErr, eyre};

/// Processor time is counted in hundredths of a second.
const TICK: Duration = Duration::from_millis(10);
/// The field of `/proc/PID/stat`, after the command's name, with the user time in ticks.
const USER_TICKS_FIELD: usize = 11;
/// Bytes of a kilobyte in `/proc/PID/status`.
const KILOBYTE_BYTES: u64 = 1024;

/// The memory and processor time of a process.
#[derive(Debug, Clone, Copy)]
pub struct ProcessStats {
    /// The memory that the process has in RAM.
    pub resident_bytes: u64,
    /// The processor time that it has used.
    pub cpu_time: Duration,
}

/// Reads a process's memory and processor time.
///
/// # Errors
///
/// Fails when the process has ended.
pub fn read_process_stats(pid: u32) -> Result<ProcessStats> {
    let status = fs::read_to_string(format!("/proc/{pid}/status"))
        .wrap_err("failed to read the memory of a process")?;
    let resident_kilobytes: u64 = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .and_then(|rest| rest.split_whitespace().next())
        .and_then(|number| number.parse().ok())
        .ok_or_else(|| eyre!("process has no resident memory"))?;
    let stat = fs::read_to_string(format!("/proc/{pid}/stat"))
        .wrap_err("failed to read the processor time of a process")?;
    let fields: Vec<&str> = stat
        .rsplit_once(')')
        .map(|(_, rest)| rest.split_whitespace().collect())
        .unwrap_or_default();
    let ticks = |index: usize| fields.get(index).and_then(|field| field.parse::<u32>().ok());
    let user_ticks = ticks(USER_TICKS_FIELD).ok_or_else(|| eyre!("no user time"))?;
    let system_ticks = ticks(USER_TICKS_FIELD + 1).ok_or_else(|| eyre!("no system time"))?;
    Ok(ProcessStats {
        resident_bytes: resident_kilobytes * KILOBYTE_BYTES,
        cpu_time: TICK * (user_ticks + system_ticks),
    })
}
