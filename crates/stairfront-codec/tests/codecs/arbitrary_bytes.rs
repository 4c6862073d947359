//! Arbitrary input.
use bytes::{Bytes, BytesMut};
use proptest::prelude::{any, prop, prop_assert, prop_oneof, proptest, Strategy};
use tokio_util::codec::Decoder;

use crate::support::{command_decoder, http_client, http_server, reply_decoder};

/// Bytes among which those with a meaning in RESP are frequent.
fn bytes() -> impl Strategy<Value = Vec<u8>> {
    let meaningful = prop::sample::select(&b"*$+-:\r\n0123"[..]);
    prop::collection::vec(prop_oneof![any::<u8>(), meaningful], 0..200)
}

proptest! {
    /// Invalid input may be an error, never a panic, and no codec yields more bytes than it was given.
    #[test]
    fn arbitrary_bytes_never_panic(input in bytes()) {
        let mut buffer = BytesMut::from(&input[..]);
        while let Ok(Some(command)) = command_decoder().decode(&mut buffer) {
            prop_assert!(command.iter().map(Bytes::len).sum::<usize>() <= input.len());
        }
        let mut buffer = BytesMut::from(&input[..]);
        while let Ok(Some(_)) = reply_decoder().decode(&mut buffer) {}
        let head = &b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"[..];
        let mut buffer = BytesMut::from([head, &input].concat().as_slice());
        let mut codec = http_client(100);
        while let Ok(Some(_)) = codec.decode(&mut buffer) {}
        let _ = http_client(100).decode_eof(&mut BytesMut::from(&input[..]));
        let _ = http_server(100).decode_eof(&mut BytesMut::from(&input[..]));
    }
}
