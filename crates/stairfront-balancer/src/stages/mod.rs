//! The stages of a request, in this order: taken in, admitted, routed, sent, relayed, booked.
pub mod admit;
pub mod book;
pub mod relay;
pub mod route;
pub mod send;
pub mod take_in;
