//! Memory that a request holds.

use std::sync::Arc;

use super::Admission;

/// Memory reserved for a request; its drop gives it back.
#[derive(Debug)]
pub struct Hold {
    admission: Arc<Admission>,
    bytes: usize,
}

impl Hold {
    pub(super) fn new(admission: Arc<Admission>) -> Self {
        Self {
            admission,
            bytes: 0,
        }
    }

    /// Reserves `bytes` more; returns whether there was room for them.
    pub(super) fn grow(&mut self, bytes: usize) -> bool {
        let grown = self.admission.reserve(self.bytes, bytes);
        if grown {
            self.bytes = self.bytes.saturating_add(bytes);
        }
        grown
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        if self.bytes > 0 {
            self.admission.release(self.bytes);
        }
    }
}

/// Bytes with the memory reserved for them.
pub(super) struct HeldBytes<B> {
    pub(super) bytes: B,
    pub(super) hold: Hold,
}

impl<B: AsRef<[u8]>> AsRef<[u8]> for HeldBytes<B> {
    fn as_ref(&self) -> &[u8] {
        self.bytes.as_ref()
    }
}
