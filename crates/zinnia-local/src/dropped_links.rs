//! Links between daemons that drop their messages.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use zinnia_daemon::settings::DropFilter;

/// Which messages between VMs are dropped, by name of sender and peer address of receiver.
#[derive(Clone, Debug, Default)]
pub struct DroppedLinks {
    links: Arc<Mutex<BTreeSet<(String, String)>>>,
}

impl DroppedLinks {
    fn lock(&self) -> MutexGuard<'_, BTreeSet<(String, String)>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Drops what `from` sends to the peer address `to`, answers included.
    pub fn drop_link(&self, from: &str, to: &str) {
        self.lock().insert((from.to_owned(), to.to_owned()));
    }

    /// Lets everything through again.
    pub fn restore_all(&self) {
        self.lock().clear();
    }

    /// The seam for the settings of the daemon called `from`.
    pub fn drop_filter(&self, from: &str) -> DropFilter {
        let dropped_links = self.clone();
        let from = from.to_owned();
        DropFilter(Arc::new(move |to| {
            dropped_links
                .lock()
                .contains(&(from.clone(), to.to_owned()))
        }))
    }
}
