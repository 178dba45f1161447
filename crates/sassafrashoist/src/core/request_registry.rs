//! Generates keys for requests that arrive without one, and tracks the requests that this VM runs.

use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use sassafrashoist_core::ids::{Incarnation, RequestKey};

/// Generates keys for requests that arrive without one, and tracks the requests that this VM runs.
#[derive(Debug)]
pub struct RequestRegistry {
    prefix: String,
    next_number: AtomicU64,
    running: Arc<Mutex<HashMap<RequestKey, usize>>>,
    admitted: Mutex<HashSet<RequestKey>>,
}

/// Keeps a request marked as running on this VM until it is dropped.
#[derive(Debug)]
pub struct RunningGuard {
    key: RequestKey,
    running: Arc<Mutex<HashMap<RequestKey, usize>>>,
}

impl RequestRegistry {
    /// Creates the registry of one incarnation of a VM; the incarnation makes generated keys
    /// unique.
    pub fn new(vm_id: &str, incarnation: Incarnation) -> Self {
        Self {
            prefix: format!("auto/{vm_id}-{incarnation}"),
            next_number: AtomicU64::new(1),
            running: Arc::default(),
            admitted: Mutex::default(),
        }
    }

    /// Returns a new key that is unique in the fleet.
    pub fn next_key(&self) -> RequestKey {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        format!("{}-{number}", self.prefix)
    }

    /// Marks a request as running on this VM until the guard is dropped. A request may be marked
    /// several times.
    pub fn mark_running(&self, key: &str) -> RunningGuard {
        *lock(&self.running).entry(key.to_owned()).or_default() += 1;
        RunningGuard { key: key.to_owned(), running: Arc::clone(&self.running) }
    }

    /// Takes over the first attempt under a caller's key; returns whether no other request of this
    /// process has taken it over, so that it was not sent to a backend server.
    pub fn claim_admission(&self, key: &str) -> bool {
        lock(&self.admitted).insert(key.to_owned())
    }

    /// Forgets a claim after the owner has confirmed the outcome of the request, which no later
    /// request can be mistaken for.
    pub fn release_claim(&self, key: &str) {
        lock(&self.admitted).remove(key);
    }

    /// Returns whether a request is running on this VM.
    pub fn is_running(&self, key: &str) -> bool {
        lock(&self.running).contains_key(key)
    }
}

impl Drop for RunningGuard {
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

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
