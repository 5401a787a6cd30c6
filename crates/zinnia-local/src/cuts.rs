//! Links between daemons that drop their messages.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use zinnia_daemon::settings::DropFilter;

/// Which messages between VMs are dropped, by name of sender and peer address of receiver.
#[derive(Clone, Debug, Default)]
pub struct Cuts {
    pairs: Arc<Mutex<BTreeSet<(String, String)>>>,
}

impl Cuts {
    fn lock(&self) -> MutexGuard<'_, BTreeSet<(String, String)>> {
        self.pairs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Drops what `from` sends to the peer address `to`, answers included.
    pub fn cut(&self, from: &str, to: &str) {
        self.lock().insert((from.to_owned(), to.to_owned()));
    }

    /// Lets everything through again.
    pub fn heal(&self) {
        self.lock().clear();
    }

    /// The seam for the settings of the daemon called `from`.
    pub fn seam(&self, from: &str) -> DropFilter {
        let cuts = self.clone();
        let from = from.to_owned();
        DropFilter(Arc::new(move |to| {
            cuts.lock().contains(&(from.clone(), to.to_owned()))
        }))
    }
}
