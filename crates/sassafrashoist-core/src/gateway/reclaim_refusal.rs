//! Why the tokens of a previous incarnation on this VM stay charged.

/// Why the tokens of a previous incarnation on this VM stay charged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReclaimRefusal {
    /// The ledger has no open record of a previous incarnation.
    NoPreviousRun,
    /// The newest record of the VM's id was written at another address, so that its process may run.
    OtherAddress,
    /// The time of day is behind that of the record, and the VM has booted since.
    ClocksNotComparable,
    /// The time of day is behind records that other VMs have written.
    ClockBehind,
    /// The spending limits had expired by the start of this incarnation.
    LimitsExpired,
}

impl ReclaimRefusal {
    /// Returns the name in log lines and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoPreviousRun => "no-previous-run",
            Self::OtherAddress => "other-address",
            Self::ClocksNotComparable => "clocks-not-comparable",
            Self::ClockBehind => "clock-behind",
            Self::LimitsExpired => "limits-expired",
        }
    }
}
