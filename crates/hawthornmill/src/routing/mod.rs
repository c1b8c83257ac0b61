//! Decisions of the gateway: which route, which server, now or later or not at all.
//!
//! The gateway is the second way into the fleet. Its callers speak plain HTTP to a host and a path
//! and get the server's answer unchanged; its servers register themselves. Everything here is free
//! of input and output and takes `now`.
//!
//! | module | owns |
//! |---|---|
//! | [`catalog`], [`route_table`] | what operators publish, and looking it up |
//! | [`registry`] | servers as they registered themselves |
//! | [`departures`] | servers that leave, told at once |
//! | [`shape`] | what a request will cost an engine |
//! | [`loads`], [`prefix_index`] | what is under way at each server, and what it has read |
//! | [`ttft`] | how long engines take to a first token |
//! | [`request`] | a request that wants a server, and what can become of it |
//! | [`placement`] | the server for a request |
//! | [`usage`] | what accounts asked for and got, and their max-min shares |
//! | [`allowance`] | how much of a server an account's requests may take |
//! | [`retry_budget`] | second sends over the fleet |
//! | [`unmet_demand`] | what found no room lately |
//! | [`scheduler`] | letting in, waiting, turning away |
//! | [`gossip`] | what instances tell each other |
//! | [`lag`] | how long it is known that others decide by something newer |
//! | [`fragments`] | what an instance knows, in parts that fit datagrams |
//! | [`domain_summary`] | what failure domains tell each other in a large fleet |

pub mod allowance;
pub mod catalog;
pub mod departures;
pub mod domain_summary;
pub mod fragments;
pub mod gossip;
pub mod lag;
pub mod loads;
pub mod placement;
pub mod prefix_index;
pub mod registry;
pub mod request;
pub mod retry_budget;
pub mod route_table;
pub mod scheduler;
pub mod shape;
pub mod ttft;
pub mod unmet_demand;
pub mod usage;
