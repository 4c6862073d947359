//! The protocols' bytes: RESP2 (`resp`) and both sides of HTTP/1.1 (`http`, `http_server`) as tokio-util codecs, what
//! readers of half-read messages may hold together (`budget`), and replies that come in parts (`part`).
//!
//! Nothing here knows a request, a client or a server, opens a socket or reads a clock. Whoever speaks one of the
//! protocols gives its messages their meaning.
pub mod budget;
pub mod http;
pub mod http_server;
pub mod part;
pub mod resp;
