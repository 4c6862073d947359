//! RESP2 and HTTP/1.1 as codecs of `tokio-util` that know bytes only.
//!
//! [`resp`] decodes commands and replies and encodes both; [`http_client`] and [`http_server`] are the two sides of
//! HTTP/1.1. [`message_part`] has the parts in which large replies are passed on, [`budget`] the memory that decoders of
//! partially received messages may reserve together, [`buffer`] the handling of read and write buffers.
//!
//! The crate owns the limits on the size of each message and checks them before it allocates. It opens no socket, reads no
//! clock, and knows no request, client or server: whoever uses a codec gives its messages their meaning.
pub mod budget;
pub mod buffer;
pub mod http;
mod http_body;
pub mod http_client;
pub mod http_server;
pub mod message_part;
pub mod resp;
