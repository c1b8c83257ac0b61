//! Idempotency keys of which this instance is the home: running calls and stored responses.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use hawthornmill::ident::InstanceId;
use hawthornmill::keys::{KeyPrefix, KeyTable, table::AccountKey};
use tokio::sync::watch;

use crate::fleet::Fleet;
use crate::settings::Limits;

/// Idempotency keys of which this instance is the home.
#[derive(Debug)]
pub struct KeyStore {
    state: Mutex<KeyState>,
}

/// The state that the lock of [`KeyStore`] guards.
#[derive(Debug)]
pub struct KeyState {
    /// State and stored response of every key.
    pub table: KeyTable,
    /// Calls in progress; the sender is dropped when the call ends.
    pub running: BTreeMap<AccountKey, watch::Receiver<()>>,
}

impl KeyStore {
    /// Creates an empty store bounded by `limits`.
    pub fn new(limits: &Limits) -> Self {
        Self {
            state: Mutex::new(KeyState {
                table: KeyTable::new(limits.max_keys, limits.kept_bytes),
                running: BTreeMap::new(),
            }),
        }
    }

    /// Locks the state of the keys.
    pub fn lock(&self) -> MutexGuard<'_, KeyState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Issues a key prefix for this run of the process, dated now.
pub fn issue_key_prefix(fleet: &Fleet) -> Box<str> {
    let age = fleet.clock.now().duration_since(fleet.started);
    let prefix = KeyPrefix {
        home: InstanceId::of(&fleet.settings.contact.name),
        incarnation: fleet.incarnation,
        issued_secs: age.as_secs() as u32,
    };
    prefix.encode(&fleet.settings.key)
}
