//! Decides which connections a listener accepts, and which memory its requests may hold.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use super::Hold;
use super::Limits;
use super::connection::Connection;
use super::report::Report;

/// Memory that a request may hold even while large ones have used up their part.
const SMALL_BYTES: usize = 16 * 1024;

/// Admission of one listener.
#[derive(Debug)]
pub struct Admission {
    limits: Limits,
    open: Mutex<OpenConnections>,
    held: AtomicUsize,
    report: Report,
}

#[derive(Debug, Default)]
struct OpenConnections {
    /// Number of the next connection.
    next: u64,
    /// Connections by their number, the oldest first.
    by_number: BTreeMap<u64, Arc<Connection>>,
    /// Number of connections of each address.
    by_address: BTreeMap<IpAddr, usize>,
}

impl OpenConnections {
    fn remove(&mut self, number: u64) -> Option<Arc<Connection>> {
        let removed = self.by_number.remove(&number)?;
        if let Some(count) = self.by_address.get_mut(&removed.address()) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.by_address.remove(&removed.address());
            }
        }
        Some(removed)
    }

    fn count_of(&self, address: IpAddr) -> usize {
        self.by_address.get(&address).copied().unwrap_or(0)
    }

    /// Closes the oldest connection that waits for its client; only one of `address`, if given.
    fn evict(&mut self, address: Option<IpAddr>) -> bool {
        let waits = |c: &Connection| {
            c.waits_for_client() && address.is_none_or(|address| c.address() == address)
        };
        let oldest = self.by_number.iter().find(|(_, c)| waits(c));
        let Some(number) = oldest.map(|(number, _)| *number) else {
            return false;
        };
        if let Some(connection) = self.remove(number) {
            connection.evict();
        }
        true
    }
}

impl Admission {
    /// Creates the admission of a listener.
    pub fn new(limits: Limits) -> Arc<Self> {
        Arc::new(Self {
            report: Report::new(limits.listener),
            limits,
            open: Mutex::default(),
            held: AtomicUsize::new(0),
        })
    }

    /// Limits of the listener.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Bytes that the open requests hold.
    pub fn held_bytes(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }

    /// Number of open connections.
    pub fn connections(&self) -> usize {
        self.open().by_number.len()
    }

    pub(super) fn report(&self) -> &Report {
        &self.report
    }

    fn open(&self) -> MutexGuard<'_, OpenConnections> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Admits a new connection, if need be in place of one that waits for its client. Returns `None` if it is
    /// refused.
    pub fn admit(self: &Arc<Self>, address: IpAddr) -> Option<Permit> {
        let address = address.to_canonical();
        let mut open = self.open();
        let over = if open.count_of(address) >= self.limits.per_address {
            Some(("address", Some(address)))
        } else if open.by_number.len() >= self.limits.connections {
            Some(("connections", None))
        } else {
            None
        };
        if let Some((reason, of)) = over {
            let evicted = open.evict(of);
            self.report.refused(reason);
            if !evicted {
                return None;
            }
        }
        let number = open.next;
        open.next = number.wrapping_add(1);
        let connection = Arc::new(Connection::new(address));
        open.by_number.insert(number, Arc::clone(&connection));
        *open.by_address.entry(address).or_default() += 1;
        self.report.set_connections(open.by_number.len());
        drop(open);
        let permit = Permit {
            admission: Arc::clone(self),
            connection,
            number,
            evicting: over.is_some(),
        };
        Some(permit)
    }

    /// Reserves memory for a request, or returns `None` if too little is left.
    pub fn hold(self: &Arc<Self>, bytes: usize) -> Option<Hold> {
        let mut hold = Hold::new(Arc::clone(self));
        hold.grow(bytes).then_some(hold)
    }

    /// Reserves memory for what is decoded from a body. At least one request has room at a time, whatever its size.
    pub fn hold_decoded(self: &Arc<Self>, bytes: usize) -> Option<Hold> {
        self.hold(bytes.min(self.limits.held_bytes / 2))
    }

    /// Reserves `bytes` more for a request that holds `present`.
    pub(super) fn reserve(&self, present: usize, bytes: usize) -> bool {
        let limit = match present.saturating_add(bytes) <= SMALL_BYTES {
            true => self.limits.held_bytes,
            false => self.limits.held_bytes / 4 * 3,
        };
        let reserved = self
            .held
            .try_update(Ordering::Relaxed, Ordering::Relaxed, |held| {
                held.checked_add(bytes).filter(|sum| *sum <= limit)
            });
        if let Ok(before) = reserved {
            self.report.set_held(before.saturating_add(bytes));
        }
        reserved.is_ok()
    }

    pub(super) fn release(&self, bytes: usize) {
        let before = self.held.fetch_sub(bytes, Ordering::Relaxed);
        self.report.set_held(before.saturating_sub(bytes));
    }
}

/// Place of an open connection, which its drop gives back.
#[derive(Debug)]
pub struct Permit {
    admission: Arc<Admission>,
    connection: Arc<Connection>,
    number: u64,
    /// Whether another connection was evicted for this one.
    evicting: bool,
}

impl Permit {
    /// Returns once the connection is to be closed, since newer ones need its place.
    pub async fn evicted(&self) {
        self.connection.evicted().await;
    }

    pub(super) fn is_evicting(&self) -> bool {
        self.evicting
    }

    pub(super) fn connection(&self) -> &Arc<Connection> {
        &self.connection
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let mut open = self.admission.open();
        open.remove(self.number);
        self.admission.report.set_connections(open.by_number.len());
    }
}
