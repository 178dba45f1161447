//! When a VM reads the configuration from the log service, and when it fetches it from another VM.
//!
//! A few VMs ([`ConfigReaders`]) read the log service and announce what is
//! in force. Any other VM fetches a newer version from a VM that announced it, and leaves the
//! log service alone as long as announcements say that a VM knew the newest version a short time
//! ago. In all other cases it reads the log service: when announcements stop, name an older version
//! or come late, and when fetches fail. Then it announces what it has read, so that few others have to
//! read it too, and goes on as a substitute until there are enough readers again. Random delays keep
//! VMs that lose their readers together from reading together. [`ConfigTimes`] bounds the sum of all
//! these waits.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::config_announcement::ConfigAnnouncement;
use super::config_readers::{ConfigReaders, READERS_PER_DATA_CENTRE};
use super::config_times::ConfigTimes;
use super::document_delta::ChunkedDocument;
use super::live_vms::FleetVm;
use super::{ConfigVersion, Uptime};
use crate::ids::VmId;

/// The time in which a change is to be in force if the platform names none.
pub const DEFAULT_APPLY_TIME: Duration = Duration::from_secs(4);
/// The longest delay until a VM reads a version that it cannot fetch, for each VM of the fleet, if
/// that is longer: then all others may have to read it too. The log service sends a long
/// configuration to 145 VMs a second.
const LOG_READ_SPREAD_PER_VM: Duration = Duration::from_millis(7);
/// The longest delay until a VM fetches a version, for each VM of the data centre.
const FETCH_SPREAD_PER_VM: Duration = Duration::from_millis(2);
/// The delay until a reader fetches a version that it does not find in the log service meanwhile.
const READER_FETCH_DELAY: Duration = Duration::from_secs(1);
/// The longest delay after a reader was busy.
const BUSY_DELAY: Duration = Duration::from_millis(300);
/// The number of readers that fail before a VM reads the log service.
const MAX_FAILED_FETCHES: usize = 2;
/// The number of times that readers are busy before a VM reads the log service.
const MAX_BUSY_RESPONSES: u32 = 4;
/// The longest time between two announcements of a VM that reads the log service.
const READER_INTERVAL: Duration = Duration::from_millis(1_500);
/// The probability with which a substitute goes on reading after a read if there are enough others.
const SUBSTITUTE_STAYS: f64 = 0.3;
/// An announcement is forgotten after this time.
const MAX_ANNOUNCEMENT_AGE: Duration = Duration::from_secs(3);
/// The longest delay after a first failed read of the log service; it doubles with each further one,
/// up to the larger of [`MAX_RETRY_DELAY`] and [`LOG_READ_SPREAD_PER_VM`] for each VM.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(500);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);
const MAX_RETRY_DOUBLINGS: u32 = 5;
/// The time without [`ConfigSharing::next_fetch`] after which the process was suspended, and its
/// datagrams have waited.
const MAX_SCHEDULING_GAP: Duration = Duration::from_millis(1_500);
/// How long datagrams that have waited may still come after that.
const LATE_DATAGRAM_TIME: Duration = Duration::from_millis(300);

/// The configuration in force as its record in the log service has it.
#[derive(Debug)]
pub struct ConfigDocument {
    /// Its version.
    pub version: ConfigVersion,
    /// The value of its record.
    pub content: ChunkedDocument,
}

/// What an announcement means to the VM that received it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Heard {
    /// No version newer than the one in force here existed at this time.
    Confirmed(Uptime),
    /// Another VM has a newer version.
    Newer(ConfigVersion),
    /// Nothing: the announcement has waited, is of an older version, or this VM has none yet.
    Nothing,
}

/// Whether a read of the log service reached the end of the topic, where the newest record is in force
/// or an older one than that.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TopicEnd {
    /// It did not, or the newest record cannot be decoded here.
    NotReached,
    /// It did.
    Reached,
    /// It did, and there was no new record within the time that the read waited.
    ReachedAfter(Duration),
}

/// When to read the log service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextLogRead {
    /// Now.
    Now,
    /// Not before this time, and later if announcements come.
    NotBefore(Uptime),
}

/// When to fetch a version from another VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NextFetch {
    /// Now; [`ConfigSharing::record_fetch`] follows.
    From {
        /// The VM to fetch from.
        vm: FleetVm,
        /// What it has announced.
        announced: ConfigAnnouncement,
    },
    /// At this time.
    At(Uptime),
    /// Not before another announcement.
    NotYet,
}

/// The result of a fetch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FetchOutcome {
    /// The document was received; it is in force unless a newer one is.
    Received,
    /// The document was received, and cannot be decoded here.
    Undecodable,
    /// The other VM serves too many fetches.
    Busy,
    /// The difference of the documents is too long for a message.
    TooLong,
    /// The other VM does not have the version, did not respond, or sent another document.
    Failed,
}

#[derive(Debug)]
struct Announcer {
    vm: FleetVm,
    announced: ConfigAnnouncement,
    heard_at: Uptime,
    /// When no version newer than the announced one existed; `None` if that is not certain.
    known_at: Option<Uptime>,
}

/// When a VM reads the configuration from the log service, and when it fetches it from another VM.
#[derive(Debug)]
pub struct ConfigSharing {
    times: ConfigTimes,
    document: Option<Arc<ConfigDocument>>,
    is_reader: bool,
    neighbour_count: usize,
    fleet_vm_count: usize,
    /// When this VM knew last by its own read that it has the newest version.
    known_at: Option<Uptime>,
    /// Whether this VM reads the log service in place of readers that it has not heard.
    is_substitute: bool,
    /// Whether the read that began last is one that readers should have made.
    is_substitute_read: bool,
    announcers: BTreeMap<VmId, Announcer>,
    newest_heard: ConfigVersion,
    newest_heard_at: Uptime,
    /// A version that this VM cannot decode, or that the log service does not have.
    ignored: ConfigVersion,
    /// A version whose difference to the one in force does not fit into a message.
    too_long: ConfigVersion,
    fetch_at: Option<Uptime>,
    is_fetching: bool,
    failed_at: Vec<VmId>,
    busy_count: u32,
    /// When to read the log service unless further announcements come.
    log_due_at: Uptime,
    /// When to read the log service because fetches failed.
    log_needed_at: Option<Uptime>,
    log_read_sent_at: Option<Uptime>,
    log_failure_count: u32,
    log_retry_at: Uptime,
    scheduled_at: Uptime,
    late_until: Uptime,
}

impl Default for ConfigSharing {
    fn default() -> Self {
        Self::new(ConfigTimes::new(DEFAULT_APPLY_TIME))
    }
}

impl ConfigSharing {
    /// Creates the state of a VM without a configuration.
    pub fn new(times: ConfigTimes) -> Self {
        Self {
            times,
            document: None,
            is_reader: false,
            neighbour_count: 0,
            fleet_vm_count: 0,
            known_at: None,
            is_substitute: false,
            is_substitute_read: false,
            announcers: BTreeMap::new(),
            newest_heard: 0,
            newest_heard_at: Uptime::ZERO,
            ignored: 0,
            too_long: 0,
            fetch_at: None,
            is_fetching: false,
            failed_at: Vec::new(),
            busy_count: 0,
            log_due_at: Uptime::ZERO,
            log_needed_at: None,
            log_read_sent_at: None,
            log_failure_count: 0,
            log_retry_at: Uptime::ZERO,
            scheduled_at: Uptime::ZERO,
            late_until: Uptime::ZERO,
        }
    }

    /// Records the part of this VM.
    pub fn record_role(&mut self, role: &ConfigReaders) {
        self.is_reader = role.is_reader;
        self.neighbour_count = role.neighbours.len();
        self.fleet_vm_count = role.fleet_vm_count;
    }

    /// Returns the configuration in force.
    pub fn document(&self) -> Option<Arc<ConfigDocument>> {
        self.document.clone()
    }

    /// Records the configuration that has come into force.
    pub fn record_in_force(&mut self, document: Arc<ConfigDocument>) {
        if self.version() < Some(document.version) {
            self.document = Some(document);
        }
    }

    /// Returns when to read the log service; `random` is from 0 to 1. A read that began and was not
    /// recorded has failed.
    pub fn next_log_read(&mut self, random: f64, now: Uptime) -> NextLogRead {
        if self.log_read_sent_at.take().is_some() {
            self.record_log_failure(random, now);
        }
        if self.is_reader || self.document.is_none() {
            return NextLogRead::Now;
        }
        if self.is_substitute && self.is_replaced(now) {
            self.is_substitute = random < SUBSTITUTE_STAYS;
        }
        if self.is_substitute {
            return NextLogRead::Now;
        }
        let needed_at = self.log_needed_at.unwrap_or(self.log_due_at);
        let read_at = needed_at.min(self.log_due_at).max(self.log_retry_at);
        if now >= read_at { NextLogRead::Now } else { NextLogRead::NotBefore(read_at) }
    }

    /// Lets this VM read the log service at the latest at a time, as the announcements that it hears do
    /// not say everything that it needs from the topic.
    pub fn require_log_read_by(&mut self, at: Uptime) {
        if self.has_heard_reader() {
            self.log_due_at = self.log_due_at.min(at);
        }
    }

    /// Records that a read of the log service begins.
    pub fn begin_log_read(&mut self, now: Uptime) {
        self.log_read_sent_at = Some(now);
        self.is_substitute_read = !self.is_reader && self.has_heard_reader();
    }

    /// Records the result of the read that began last, after what it returned has come into force.
    /// Returns the time at which no version newer than the one in force existed, if the read tells.
    pub fn record_log_read(&mut self, end: TopicEnd, now: Uptime) -> Option<Uptime> {
        self.log_failure_count = 0;
        self.log_retry_at = Uptime::ZERO;
        let sent_at = self.log_read_sent_at.take()?;
        let known_at = match end {
            TopicEnd::NotReached => return None,
            TopicEnd::Reached => sent_at,
            TopicEnd::ReachedAfter(wait) => now.min(sent_at + wait),
        };
        self.known_at = self.known_at.max(Some(known_at));
        self.is_substitute = self.is_substitute_read;
        if self.log_needed_at.is_some_and(|needed_at| needed_at <= sent_at) {
            self.log_needed_at = None;
            self.restart_fetches();
            if self.newest_heard_at <= sent_at {
                self.ignored = self.ignored.max(self.newest_heard);
            } else if self.is_fetch_wanted() {
                self.fetch_at = Some(now);
            }
        }
        Some(known_at)
    }

    fn record_log_failure(&mut self, random: f64, now: Uptime) {
        self.is_substitute = false;
        if self.log_needed_at.take().is_some() {
            self.restart_fetches();
            self.too_long = 0;
        }
        // Without readers that announce, nothing but the log service brings a new version.
        if self.log_due_at == Uptime::ZERO {
            return;
        }
        let doublings = self.log_failure_count.min(MAX_RETRY_DOUBLINGS);
        self.log_failure_count = self.log_failure_count.saturating_add(1);
        let longest = MAX_RETRY_DELAY.max(self.fleet_spread());
        let max_delay = longest.min(FIRST_RETRY_DELAY * 2_u32.pow(doublings));
        self.log_retry_at = now + max_delay.mul_f64(0.5 + random / 2.0);
    }

    /// Returns what this VM announces; `None` if it does not know from the log service whether its
    /// version is the newest, or if it is not a reader and has never heard one: during an upgrade, the
    /// others may not know announcements.
    pub fn announcement(&self, now: Uptime) -> Option<ConfigAnnouncement> {
        let may_announce = self.is_reader || self.has_heard_reader();
        let document = self.document.as_ref().filter(|_| may_announce)?;
        let known_ago = now.saturating_sub(self.known_at?);
        (known_ago < self.times.knowledge_age()).then(|| ConfigAnnouncement {
            version: document.version,
            document_hash: document.content.hash(),
            known_ago,
        })
    }

    /// Records an announcement of another VM of the data centre; `random` is from 0 to 1.
    pub fn hear(
        &mut self,
        vm: &FleetVm,
        announced: &ConfigAnnouncement,
        random: f64,
        now: Uptime,
    ) -> Heard {
        self.detect_suspension(now);
        let Some(version) = self.version() else {
            return Heard::Nothing;
        };
        let known_at = now.saturating_sub(announced.known_ago);
        let is_timely = now >= self.late_until;
        let announcer = Announcer {
            vm: vm.clone(),
            announced: *announced,
            heard_at: now,
            known_at: is_timely.then_some(known_at),
        };
        self.announcers.insert(vm.vm_id.clone(), announcer);
        if announced.version < version {
            return Heard::Nothing;
        }
        let is_newer = announced.version > version;
        let is_usable = !is_newer || announced.version > self.ignored;
        if is_timely && is_usable && announced.known_ago < self.times.knowledge_age() {
            let spread = self.times.log_read_spread().mul_f64(random);
            let due_at = known_at + self.times.knowledge_age() + spread;
            self.log_due_at = self.log_due_at.max(due_at);
        }
        if !is_newer {
            return if is_timely { Heard::Confirmed(known_at) } else { Heard::Nothing };
        }
        if announced.version > self.newest_heard {
            self.newest_heard = announced.version;
            self.newest_heard_at = now;
            self.failed_at.clear();
        }
        let has_failed = self.failed_at.contains(&vm.vm_id);
        if self.is_fetch_wanted() && !has_failed && self.fetch_at.is_none() && !self.is_fetching {
            self.fetch_at = Some(now + self.fetch_delay(random));
        }
        Heard::Newer(announced.version)
    }

    /// Returns the latest time at which no version newer than the one in force existed, by what other VMs
    /// have announced.
    pub fn newest_by_announcements(&self) -> Option<Uptime> {
        let version = self.version()?;
        let usable = self.announcers.values().filter(|other| other.announced.version <= version);
        usable.filter_map(|other| other.known_at).max()
    }

    /// Returns when to fetch a version, and from which VM; `random` is from 0 to 1.
    pub fn next_fetch(&mut self, random: f64, now: Uptime) -> NextFetch {
        self.detect_suspension(now);
        self.scheduled_at = now;
        let Some(fetch_at) = self.fetch_at.filter(|_| !self.is_fetching) else {
            return NextFetch::NotYet;
        };
        if !self.is_fetch_wanted() {
            self.restart_fetches();
            return NextFetch::NotYet;
        }
        if now < fetch_at {
            return NextFetch::At(fetch_at);
        }
        self.fetch_at = None;
        self.announcers.retain(|_, announcer| now < announcer.heard_at + MAX_ANNOUNCEMENT_AGE);
        let able = self.announcers.values().filter(|announcer| {
            announcer.announced.version >= self.newest_heard
                && !self.failed_at.contains(&announcer.vm.vm_id)
        });
        let able: Vec<_> = able.collect();
        let index = (random * able.len() as f64) as usize;
        let Some(chosen) = able.get(index.min(able.len().saturating_sub(1))) else {
            return self.give_up_fetching(random, now);
        };
        let (vm, announced) = (chosen.vm.clone(), chosen.announced);
        self.is_fetching = true;
        NextFetch::From { vm, announced }
    }

    /// Records the result of a fetch of an announced version; `random` is from 0 to 1.
    pub fn record_fetch(
        &mut self,
        vm_id: &VmId,
        announced: &ConfigAnnouncement,
        outcome: FetchOutcome,
        random: f64,
        now: Uptime,
    ) {
        self.is_fetching = false;
        match outcome {
            FetchOutcome::Received => {
                self.restart_fetches();
                self.log_needed_at = None;
                if self.is_fetch_wanted() {
                    self.fetch_at = Some(now + self.fetch_delay(random));
                }
            }
            FetchOutcome::Undecodable => {
                self.ignored = self.ignored.max(announced.version);
                self.restart_fetches();
            }
            FetchOutcome::Busy if self.busy_count < MAX_BUSY_RESPONSES => {
                self.busy_count += 1;
                self.fetch_at = Some(now + BUSY_DELAY.mul_f64(random));
            }
            FetchOutcome::Failed => {
                self.failed_at.push(vm_id.clone());
                if self.failed_at.len() < MAX_FAILED_FETCHES {
                    self.fetch_at = Some(now);
                } else {
                    self.give_up_fetching(random, now);
                }
            }
            FetchOutcome::TooLong => {
                self.too_long = self.too_long.max(announced.version);
                self.give_up_fetching(random, now);
            }
            FetchOutcome::Busy => {
                self.give_up_fetching(random, now);
            }
        }
    }

    fn version(&self) -> Option<ConfigVersion> {
        self.document.as_ref().map(|document| document.version)
    }

    fn has_heard_reader(&self) -> bool {
        self.log_due_at > Uptime::ZERO
    }

    /// Returns whether enough other VMs read the log service.
    fn is_replaced(&self, now: Uptime) -> bool {
        let is_recent = |announcer: &&Announcer| {
            now < announcer.heard_at + READER_INTERVAL
                && announcer.announced.known_ago < self.times.knowledge_age()
        };
        self.announcers.values().filter(is_recent).count() >= READERS_PER_DATA_CENTRE
    }

    /// Returns whether a newer version may be fetched.
    fn is_fetch_wanted(&self) -> bool {
        let is_newer = Some(self.newest_heard) > self.version();
        is_newer && self.newest_heard > self.ignored.max(self.too_long)
    }

    fn fleet_spread(&self) -> Duration {
        LOG_READ_SPREAD_PER_VM.mul_f64(self.fleet_vm_count as f64)
    }

    fn fetch_delay(&self, random: f64) -> Duration {
        if self.is_reader {
            READER_FETCH_DELAY
        } else {
            FETCH_SPREAD_PER_VM.mul_f64(self.neighbour_count as f64 * random)
        }
    }

    /// Leaves the version to the next read of the log service, unless a VM announces it before that at
    /// which no fetch has failed.
    fn give_up_fetching(&mut self, random: f64, now: Uptime) -> NextFetch {
        self.fetch_at = None;
        self.busy_count = 0;
        let spread = self.times.log_read_spread().max(self.fleet_spread());
        let needed_at = now + spread.mul_f64(random);
        self.log_needed_at = Some(self.log_needed_at.unwrap_or(needed_at).min(needed_at));
        NextFetch::NotYet
    }

    fn restart_fetches(&mut self) {
        self.fetch_at = None;
        self.failed_at.clear();
        self.busy_count = 0;
    }

    fn detect_suspension(&mut self, now: Uptime) {
        if now > self.scheduled_at + MAX_SCHEDULING_GAP {
            self.late_until = now + LATE_DATAGRAM_TIME;
        }
    }
}
