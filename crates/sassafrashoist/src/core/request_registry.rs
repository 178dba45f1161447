//! Numbers the requests that come without a caller's key, and knows which requests this VM runs.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use sassafrashoist_core::ids::{Incarnation, RequestKey};

/// Numbers the requests that come without a caller's key, and knows which requests this VM runs.
#[derive(Debug)]
pub struct RequestRegistry {
    prefix: String,
    next_number: AtomicU64,
    running: Arc<Mutex<HashMap<RequestKey, usize>>>,
}

/// Marks a request as run by this VM until it is dropped.
#[derive(Debug)]
pub struct RunningMark {
    key: RequestKey,
    running: Arc<Mutex<HashMap<RequestKey, usize>>>,
}

impl RequestRegistry {
    /// Starts numbering for one incarnation of a VM.
    pub fn new(vm_id: &str, incarnation: Incarnation) -> Self {
        Self {
            prefix: format!("auto/{vm_id}-{incarnation}"),
            next_number: AtomicU64::new(1),
            running: Arc::default(),
        }
    }

    /// Returns a key that no other request has.
    pub fn next_key(&self) -> RequestKey {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        format!("{}-{number}", self.prefix)
    }

    /// Marks a request as run by this VM.
    pub fn mark_running(&self, key: &str) -> RunningMark {
        *lock(&self.running).entry(key.to_owned()).or_default() += 1;
        RunningMark { key: key.to_owned(), running: Arc::clone(&self.running) }
    }

    /// Returns whether this VM runs a request.
    pub fn is_running(&self, key: &str) -> bool {
        lock(&self.running).contains_key(key)
    }
}

impl Drop for RunningMark {
    fn drop(&mut self) {
        let mut running = lock(&self.running);
        if let Some(count) = running.get_mut(&self.key) {
            *count -= 1;
            if *count == 0 {
                running.remove(&self.key);
            }
        }
    }
}

fn lock(running: &Mutex<HashMap<RequestKey, usize>>) -> MutexGuard<'_, HashMap<RequestKey, usize>> {
    running.lock().unwrap_or_else(PoisonError::into_inner)
}
