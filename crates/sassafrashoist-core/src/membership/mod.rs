//! Fleet membership and failure detection by gossip, with indirect probes and suspicion, as one VM
//! sees it.
//!
//! Each VM keeps a [`member_table::MemberTable`]. In every round it exchanges a
//! [`heartbeat::Heartbeat`] with a bounded number of others, whatever the size of the fleet, and
//! each heartbeat carries a bounded number of [`member_update::MemberUpdate`]s. Updates about one
//! VM are totally ordered and a table keeps the greatest one, so tables converge in whatever order
//! updates arrive.
//!
//! A VM that does not respond becomes suspect. Until the platform's list drops it, only a VM of the
//! same data centre declares it gone: a partition between data centres makes VMs suspect on both
//! sides and gone on neither. Gone is final for an incarnation, so a VM takes a new incarnation
//! before it acts again when it receives an update that declares it gone, or detects that it was
//! paused for long enough to have been declared gone.

pub mod flap_damping;
pub mod heartbeat;
pub mod member;
pub mod member_change;
pub mod member_state;
pub mod member_table;
pub mod member_update;
pub mod membership_timing;
pub mod reader_choice;
