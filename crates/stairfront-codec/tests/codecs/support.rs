//! Codecs with budgets that are never exhausted, and the feeding of input to them.
use bytes::{Bytes, BytesMut};
use stairfront_codec::budget::Budget;
use stairfront_codec::http_client::HttpClientCodec;
use stairfront_codec::http_server::HttpServerCodec;
use stairfront_codec::resp::{CommandDecoder, ReplyDecoder, StreamingDecoder, MAX_BULK_BYTES};
use tokio_util::codec::Decoder;

/// A budget that no test exhausts.
pub const AMPLE: usize = 1 << 24;
/// The longest value or body that a streaming codec of these tests accepts.
pub const MAX_STREAMED_BYTES: usize = 4 << 20;

pub fn command_decoder() -> CommandDecoder {
    CommandDecoder::new(&Budget::new(AMPLE), &Budget::new(AMPLE))
}

pub fn reply_decoder() -> ReplyDecoder {
    ReplyDecoder::new(MAX_BULK_BYTES, &Budget::new(AMPLE))
}

pub fn streaming_decoder() -> StreamingDecoder {
    StreamingDecoder::new(MAX_STREAMED_BYTES, &Budget::new(AMPLE))
}

pub fn http_client(max_body: usize) -> HttpClientCodec {
    HttpClientCodec::new(max_body, &Budget::new(AMPLE))
}

pub fn http_server(max_body: usize) -> HttpServerCodec {
    HttpServerCodec::new(max_body, &Budget::new(AMPLE))
}

pub fn elements(texts: &[&str]) -> Vec<Bytes> {
    texts
        .iter()
        .map(|text| Bytes::copy_from_slice(text.as_bytes()))
        .collect()
}

/// Feeds the input in two reads, split at `at`, and collects the items.
pub fn decode_split<D: Decoder>(mut codec: D, input: &[u8], at: usize) -> Vec<D::Item>
where
    D::Error: std::fmt::Debug,
{
    let mut buffer = BytesMut::new();
    let mut items = Vec::new();
    for read in [&input[..at], &input[at..]] {
        buffer.extend_from_slice(read);
        while let Some(item) = codec.decode(&mut buffer).unwrap() {
            items.push(item);
        }
    }
    assert!(buffer.is_empty());
    items
}
