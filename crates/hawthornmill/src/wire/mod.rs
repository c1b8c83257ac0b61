//! What instances say to each other.
//!
//! Messages are plain types encoded with `postcard`. [`frame`] puts them into authenticated
//! frames. State travels as cumulative counters or whole lists wherever it can, so that a lost or
//! repeated message does no harm.

pub mod frame;
pub mod message;

pub use frame::{Frame, FrameError, Opener, Sealer};
pub use message::{
    AccountTotal, ConfigPull, ConfigValues, Demand, EntrySlot, EntryState, Grant, GrantId,
    GrantedSlot, Grants, Handover, Heartbeat, LedgerSnapshot, Message, PoolState, ProbeAck, Report,
    RosterDelta, RosterEntry, RosterPull, SlotRelease,
};
