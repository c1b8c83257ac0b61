//! The gateway's processes before stand-ins of the platform, and its parts that need none.

mod at_most_once;
mod catching_up;
mod checking;
mod connection_pool;
mod door;
mod event_streams;
mod explaining;
#[expect(dead_code, reason = "the soak uses the other part of the fixtures")]
mod fleet;
mod http_parsing;
mod leaving;
mod platform_adapter;
mod platform_names;
mod request_handling;
mod responses;
#[expect(dead_code, reason = "the soak uses the other part of the fixtures")]
mod scripted_server;
mod store;
