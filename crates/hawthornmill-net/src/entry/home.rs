//! The home's keys: prefixes it made, calls that run, answers that are kept.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use hawthornmill::ident::InstanceId;
use hawthornmill::keys::{KeyPrefix, KeyTable, table::AccountKey};
use tokio::sync::watch;

use crate::fleet::Fleet;
use crate::settings::Limits;

/// Keys of one home.
#[derive(Debug)]
pub struct Home {
    inner: Mutex<Inner>,
}

/// What is behind the home's lock.
#[derive(Debug)]
pub struct Inner {
    /// Marks and kept answers.
    pub table: KeyTable,
    /// Calls that run now; the sender is dropped when the call ends.
    pub running: BTreeMap<AccountKey, watch::Receiver<()>>,
}

impl Home {
    /// An empty home within `limits`.
    pub fn new(limits: &Limits) -> Self {
        Self {
            inner: Mutex::new(Inner {
                table: KeyTable::new(limits.keys, limits.kept),
                running: BTreeMap::new(),
            }),
        }
    }

    /// Locks the keys.
    pub fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A fresh prefix of this process run.
pub fn fresh_prefix(fleet: &Fleet) -> Box<str> {
    let age = fleet.clock.now().duration_since(fleet.started);
    let prefix = KeyPrefix {
        home: InstanceId::of(&fleet.settings.contact.name),
        incarnation: fleet.incarnation,
        issued_secs: age.as_secs() as u32,
    };
    prefix.encode(&fleet.settings.key)
}
