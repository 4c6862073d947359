//! Large values and bodies, which come in chunks.
use bytes::{Bytes, BytesMut};
use stairfront_codec::http::HttpError;
use stairfront_codec::http_client::{HttpClientCodec, Response};
use stairfront_codec::message_part::{MessagePart, MAX_BUFFERED_BYTES};
use stairfront_codec::resp::{RespError, Value};
use tokio_util::codec::Decoder;

use crate::support::{decode_split, http_client, streaming_decoder, MAX_STREAMED_BYTES};

/// The HTTP codec as a decoder of parts.
struct HttpParts(HttpClientCodec);

impl Decoder for HttpParts {
    type Item = MessagePart<Response>;
    type Error = HttpError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Self::Item>, Self::Error> {
        self.0.decode_part(src)
    }
}

/// The parts with the chunks of each value joined.
fn join_chunks<R>(parts: Vec<MessagePart<R>>) -> Vec<MessagePart<R>> {
    let mut joined: Vec<MessagePart<R>> = Vec::new();
    for part in parts {
        match (joined.last_mut(), part) {
            (Some(MessagePart::Chunk(before)), MessagePart::Chunk(chunk)) => {
                *before = Bytes::from([&before[..], &chunk].concat())
            }
            (_, part) => joined.push(part),
        }
    }
    joined
}

fn bulk(text: &str) -> Value {
    Value::Bulk(Bytes::copy_from_slice(text.as_bytes()))
}

fn large_value() -> String {
    "v".repeat(MAX_BUFFERED_BYTES + 1)
}

#[test]
fn large_values_come_in_chunks_however_the_input_is_split() {
    let value = large_value();
    let length = value.len();
    let small = "*3\r\n$1\r\ns\r\n$3\r\nhit\r\n$-1\r\n";
    let large = format!("*3\r\n${length}\r\n{value}\r\n$4\r\nmiss\r\n$10\r\nutil=0.500\r\n");
    let input = format!("{small}{large}{small}");
    let complete =
        || MessagePart::Complete(Value::Array(vec![bulk("s"), bulk("hit"), Value::Null]));
    let reply = Value::Array(vec![bulk(""), Value::Null, Value::Null]);
    let end = Value::Array(vec![bulk(""), bulk("miss"), bulk("util=0.500")]);
    let expected = [
        complete(),
        MessagePart::Head { length, reply },
        MessagePart::Chunk(Bytes::from(value)),
        MessagePart::End(end),
        complete(),
    ];
    // Every position in the heads and behind the value, and some within it.
    let value_start = small.len() + 40;
    let value_end = input.len() - 100;
    let positions = (0..value_start)
        .chain((value_start..value_end).step_by(4001))
        .chain(value_end..=input.len());
    for at in positions {
        let parts = decode_split(streaming_decoder(), input.as_bytes(), at);
        assert_eq!(join_chunks(parts), expected, "split at {at}");
    }
}

#[test]
fn large_bodies_come_in_chunks_however_the_input_is_split() {
    let value = large_value();
    let head = format!(
        "HTTP/1.1 200 OK\r\nServer-Load: util=1\r\nContent-Length: {}\r\n\r\n",
        value.len()
    );
    let small = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\ns";
    let input = format!("{head}{value}{small}");
    let large_response = || Response {
        status: 200,
        server_load: Some(Bytes::from_static(b"util=1")),
        ..Response::default()
    };
    let small_response = Response {
        status: 200,
        body: Bytes::from_static(b"s"),
        ..Response::default()
    };
    let expected = [
        MessagePart::Head {
            length: value.len(),
            reply: large_response(),
        },
        MessagePart::Chunk(Bytes::from(value.clone())),
        MessagePart::End(large_response()),
        MessagePart::Complete(small_response),
    ];
    let value_end = head.len() + value.len();
    let positions = (0..head.len() + 10).chain(value_end - 10..=input.len());
    for at in positions {
        let codec = HttpParts(http_client(MAX_STREAMED_BYTES));
        let parts = join_chunks(decode_split(codec, input.as_bytes(), at));
        assert_eq!(parts, expected, "split at {at}");
    }
}

#[test]
fn invalid_bytes_behind_a_large_value_are_an_error() {
    let value = large_value();
    for trailer in [
        "xx",
        "\r\n$3\r\nhit\r\nnonsense",
        "\r\n$99999\r\n",
        "\r\n*1\r\n*1\r\n:1\r\n$-1\r\n",
    ] {
        let input = format!("*3\r\n${}\r\n{value}{trailer}", value.len());
        let error = first_error(&input);
        assert!(matches!(error, RespError::Malformed(_)), "{trailer:?}");
    }
    let too_large = format!("*3\r\n${}\r\n", MAX_STREAMED_BYTES + 1);
    let mut buffer = BytesMut::from(too_large.as_str());
    assert!(streaming_decoder().decode(&mut buffer).is_err());
}

/// The error of an input that has no complete reply.
fn first_error(input: &str) -> RespError {
    let mut codec = streaming_decoder();
    let mut buffer = BytesMut::from(input.as_bytes());
    loop {
        match codec.decode(&mut buffer) {
            Ok(Some(MessagePart::End(reply))) => panic!("accepted as {reply:?}"),
            Ok(Some(_)) => {}
            Ok(None) => panic!("not detected: {:?}", &buffer[..]),
            Err(error) => return error,
        }
    }
}
