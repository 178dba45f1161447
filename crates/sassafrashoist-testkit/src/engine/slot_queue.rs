//! The slots of an engine and the requests that wait for one, by priority.

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

/// How a request gets a slot.
#[derive(Debug)]
pub enum SlotOffer {
    /// It has one now.
    Taken,
    /// It is told when it has one.
    Wait(oneshot::Receiver<()>),
    /// The queue is full.
    Refused,
}

/// The slots of an engine.
#[derive(Debug)]
pub struct SlotQueue {
    slot_count: usize,
    max_queue_length: usize,
    running_count: usize,
    arrivals: u64,
    waiters: BinaryHeap<Waiter>,
}

impl SlotQueue {
    /// Creates free slots.
    pub fn new(slot_count: usize, max_queue_length: usize) -> Self {
        Self {
            slot_count,
            max_queue_length,
            running_count: 0,
            arrivals: 0,
            waiters: BinaryHeap::new(),
        }
    }

    /// Takes a slot or a place in the queue.
    pub fn take(&mut self, priority: u8) -> SlotOffer {
        if self.running_count < self.slot_count {
            self.running_count += 1;
            return SlotOffer::Taken;
        }
        if self.waiters.len() >= self.max_queue_length {
            return SlotOffer::Refused;
        }
        let (wake, woken) = oneshot::channel();
        self.arrivals += 1;
        self.waiters.push(Waiter { priority, arrival: self.arrivals, wake });
        SlotOffer::Wait(woken)
    }

    /// Frees a slot and gives it to the first waiter that is still there.
    pub fn release(&mut self) {
        while let Some(waiter) = self.waiters.pop() {
            if waiter.wake.send(()).is_ok() {
                return;
            }
        }
        self.running_count -= 1;
    }

    /// Returns the requests that run.
    pub fn running_count(&self) -> usize {
        self.running_count
    }

    /// Returns the requests that wait.
    pub fn queued_count(&self) -> usize {
        self.waiters.len()
    }
}
