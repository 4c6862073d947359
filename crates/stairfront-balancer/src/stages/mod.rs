//! The stages of a request, in this order: taken in, admitted, routed, sent, relayed, booked.
pub mod admit;
pub mod complete;
pub mod parse;
pub mod relay;
pub mod route;
pub mod send;
