//! The answer in parts that this instance waits for.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;

use hawthornmill::routing::fragments::{Fragment, Reassembly};
use tokio::sync::Notify;

/// The answer of one instance, as far as it has come.
#[derive(Debug, Default)]
pub struct Awaited {
    from: Cell<Option<SocketAddr>>,
    answer: RefCell<Reassembly>,
    came: Notify,
}

impl Awaited {
    /// Waits for an answer of `from` from now on.
    pub fn expect(&self, from: SocketAddr) {
        self.from.set(Some(from));
        self.answer.take();
    }

    /// Takes one part; one that nobody waits for is dropped.
    pub fn take(&self, from: SocketAddr, part: Fragment) {
        if self.from.get() == Some(from) {
            self.answer.borrow_mut().insert(part);
            self.came.notify_one();
        }
    }

    /// Looks at what has come.
    pub fn look<T>(&self, look: impl FnOnce(&Reassembly) -> T) -> T {
        look(&self.answer.borrow())
    }

    /// Ends when the answer has.
    pub async fn ended(&self) {
        while self.look(|a| a.outcome().is_none()) {
            self.came.notified().await;
        }
    }
}
