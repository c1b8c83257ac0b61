//! The protocol between instances.
//!
//! Messages are plain types encoded with `postcard` and sent in authenticated frames, see
//! [`frame`]. Where possible, a message carries cumulative counters or a complete list, so that a
//! lost or repeated message does no harm.

pub mod frame;
pub mod message;
pub mod previous;

pub use frame::{Frame, FrameError, Opener, Sealer};
pub use message::{
    AccountTotal, ConfigPull, ConfigValues, Demand, EntrySlot, EntryState, Grant, GrantId,
    GrantedSlot, Grants, Handover, Heartbeat, LedgerSnapshot, Message, PoolState, ProbeAck, Report,
    RosterDelta, RosterEntry, RosterPull, SlotRelease,
};
