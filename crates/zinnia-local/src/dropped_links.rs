//! Message loss on the links between daemons.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use zinnia_daemon::settings::DropFilter;

/// Set of links on which all messages are dropped. Clones share the set.
///
/// A link leads in one direction, from the name of the sending VM to the peer address of the
/// receiver.
#[derive(Clone, Debug, Default)]
pub struct DroppedLinks {
    links: Arc<Mutex<BTreeSet<(String, String)>>>,
}

impl DroppedLinks {
    fn lock(&self) -> MutexGuard<'_, BTreeSet<(String, String)>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Drops all messages from the VM `sender` to the peer address `receiver`, replies included.
    pub fn drop_link(&self, sender: &str, receiver: &str) {
        self.lock().insert((sender.to_owned(), receiver.to_owned()));
    }

    /// Stops dropping messages on all links.
    pub fn restore_all(&self) {
        self.lock().clear();
    }

    /// Filter for the daemon settings of the VM `sender`. It follows later changes of the set.
    pub fn drop_filter(&self, sender: &str) -> DropFilter {
        let dropped_links = self.clone();
        let sender = sender.to_owned();
        DropFilter(Arc::new(move |receiver| {
            dropped_links
                .lock()
                .contains(&(sender.clone(), receiver.to_owned()))
        }))
    }
}
