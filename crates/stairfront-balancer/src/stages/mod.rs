//! The stages of a request, in this order: parsed, admitted, routed, sent, relayed, completed.
pub mod admit;
pub mod complete;
pub mod liveness;
pub mod open_ids;
pub mod parse;
pub mod relay;
pub mod route;
pub mod send;
pub mod used_ids;
