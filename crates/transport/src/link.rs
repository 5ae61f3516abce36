//! What waits to be written on a connection.

use std::cell::RefCell;
use std::rc::Rc;

use bytes::BytesMut;
use tokio::sync::Notify;

/// Bytes that may wait on one connection; a peer that reads no more than that late is cut off.
const MOST_WAITING: usize = 32 * 1024 * 1024;

#[derive(Default)]
struct State {
    waiting: BytesMut,
    is_closed: bool,
}

/// The writing end of a connection, shared by those that send and the task that writes.
#[derive(Clone, Default)]
pub(crate) struct Link {
    state: Rc<RefCell<State>>,
    wake: Rc<Notify>,
}

impl Link {
    pub fn push<E>(&self, write: impl FnOnce(&mut BytesMut) -> Result<(), E>) -> Result<(), E> {
        let mut state = self.state.borrow_mut();
        if state.is_closed {
            return Ok(());
        }
        write(&mut state.waiting)?;
        if state.waiting.len() > MOST_WAITING {
            state.is_closed = true;
        }
        drop(state);
        self.wake.notify_one();
        Ok(())
    }

    /// Waits for bytes to write; none once the connection is to close.
    pub async fn next(&self) -> Option<BytesMut> {
        loop {
            {
                let mut state = self.state.borrow_mut();
                if state.is_closed {
                    return None;
                }
                if !state.waiting.is_empty() {
                    return Some(std::mem::take(&mut state.waiting));
                }
            }
            self.wake.notified().await;
        }
    }

    pub fn close(&self) {
        self.state.borrow_mut().is_closed = true;
        self.wake.notify_one();
    }

    pub fn is_empty(&self) -> bool {
        self.state.borrow().waiting.is_empty()
    }

    pub fn is(&self, other: &Link) -> bool {
        Rc::ptr_eq(&self.state, &other.state)
    }
}
