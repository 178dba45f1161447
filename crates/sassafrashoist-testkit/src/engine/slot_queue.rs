//! The slots of an engine and the queue of requests that wait for one, by priority.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use tokio::sync::oneshot;

/// A request that waits for a slot.
#[derive(Debug)]
struct Waiter {
    priority: u8,
    arrival: u64,
    wake: oneshot::Sender<()>,
}

impl PartialEq for Waiter {
    fn eq(&self, other: &Self) -> bool {
        self.rank() == other.rank()
    }
}

impl Eq for Waiter {}

impl PartialOrd for Waiter {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Waiter {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.rank().cmp(&other.rank())
    }
}

impl Waiter {
    fn rank(&self) -> Reverse<(u8, u64)> {
        Reverse((self.priority, self.arrival))
    }
}

/// The result of a request for a slot.
#[derive(Debug)]
pub enum SlotAcquisition {
    /// The request has a slot.
    Acquired,
    /// The request is queued; the channel signals when it has a slot.
    Queued(oneshot::Receiver<()>),
    /// All slots are in use and the queue is full.
    QueueFull,
}

/// The slots of an engine and their queue.
#[derive(Debug)]
pub struct SlotQueue {
    slot_count: usize,
    max_queue_length: usize,
    running_count: usize,
    arrival_count: u64,
    waiters: BinaryHeap<Waiter>,
}

impl SlotQueue {
    /// Creates slots that are all free.
    pub fn new(slot_count: usize, max_queue_length: usize) -> Self {
        Self {
            slot_count,
            max_queue_length,
            running_count: 0,
            arrival_count: 0,
            waiters: BinaryHeap::new(),
        }
    }

    /// Acquires a slot or joins the queue; a lower `priority` is served first.
    pub fn acquire(&mut self, priority: u8) -> SlotAcquisition {
        if self.running_count < self.slot_count {
            self.running_count += 1;
            return SlotAcquisition::Acquired;
        }
        if self.waiters.len() >= self.max_queue_length {
            return SlotAcquisition::QueueFull;
        }
        let (wake, woken) = oneshot::channel();
        self.arrival_count += 1;
        self.waiters.push(Waiter { priority, arrival: self.arrival_count, wake });
        SlotAcquisition::Queued(woken)
    }

    /// Releases a slot and assigns it to the first waiter that has not been dropped.
    pub fn release(&mut self) {
        while let Some(waiter) = self.waiters.pop() {
            if waiter.wake.send(()).is_ok() {
                return;
            }
        }
        self.running_count -= 1;
    }

    /// Returns the number of requests that hold a slot.
    pub fn running_count(&self) -> usize {
        self.running_count
    }

    /// Returns the number of queued requests.
    pub fn queued_count(&self) -> usize {
        self.waiters.len()
    }
}
