//! The gateway's processes before stand-ins of the platform, and its parts that need none.

mod answers;
mod boundary;
mod catching_up;
mod checking;
mod connections;
mod door;
mod explaining;
#[expect(dead_code, reason = "the soak uses the other part of the fixtures")]
mod fleet;
mod http;
mod ingress;
mod leaving;
mod once;
#[expect(dead_code, reason = "the soak uses the other part of the fixtures")]
mod server;
mod store;
mod streams;
mod translation;
