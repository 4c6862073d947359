//! The balancer's messages on the wire.
use bytes::{Bytes, BytesMut};
use proptest::prelude::*;
use stairfront_balancer::client::codec::ClientCodec;
use stairfront_balancer::messages::{Answer, Command, Outgoing, Verb};
use stairfront_balancer::upstream::cache_host::CacheCodec;
use stairfront_codec::budget::Budget;
use stairfront_codec::message_part::MessagePart;
use stairfront_codec::resp::{Value, MAX_BULK_BYTES};
use tokio_util::codec::{Decoder, Encoder};

const PLENTY: usize = 1 << 24;

fn client_codec() -> ClientCodec {
    ClientCodec::new(&Budget::new(PLENTY), &Budget::new(PLENTY))
}

fn cache_codec() -> CacheCodec {
    CacheCodec::new(MAX_BULK_BYTES, &Budget::new(PLENTY))
}

#[test]
fn answers_and_commands_are_encoded_as_the_protocol_defines() {
    let answer = |answer: Answer| {
        let mut out = BytesMut::new();
        client_codec().encode(answer, &mut out).unwrap();
        String::from_utf8(out.to_vec()).unwrap()
    };
    assert_eq!(
        answer(Answer::Value(Bytes::from_static(b"ab\r\n"))),
        "$4\r\nab\r\n\r\n"
    );
    assert_eq!(answer(Answer::Busy { after_ms: Some(30) }), "-BUSY 30\r\n");
    assert_eq!(answer(Answer::Busy { after_ms: None }), "-BUSY\r\n");
    assert_eq!(answer(Answer::Failed), "-ERR failed\r\n");
    assert_eq!(answer(Answer::Pong), "+PONG\r\n");

    let word = |text: &'static str| Bytes::from_static(text.as_bytes());
    let (key, id, info) = (word("k"), word("i"), word("c=read,d=480,r=1"));
    let command = Command {
        verb: Verb::Set,
        key,
        id,
        info,
        value: Some(word("v")),
        idempotent: true,
    };
    let mut out = BytesMut::new();
    cache_codec()
        .encode(
            Outgoing {
                command,
                left_ms: 7,
            },
            &mut out,
        )
        .unwrap();
    let wanted = "*5\r\n$5\r\nC.SET\r\n$1\r\nk\r\n$1\r\ni\r\n$14\r\nc=read,d=7,r=1\r\n$1\r\nv\r\n";
    assert_eq!(out, wanted);
    let info = Bytes::from_static(b"c=x,,dd=5,d=");
    let command = Command {
        verb: Verb::Get,
        key: word("k"),
        id: word("i"),
        info,
        value: None,
        idempotent: true,
    };
    assert_eq!(
        Outgoing {
            command,
            left_ms: 1
        }
        .info(),
        b"c=x,dd=5,d=1"
    );
}

proptest! {
    /// A value goes through both codecs unchanged, at any length up to the limit and any split.
    #[test]
    fn values_pass_both_codecs_unchanged(value in prop::collection::vec(any::<u8>(), 0..3000), at in 0.0..1.0f64) {
        let mut out = BytesMut::new();
        client_codec().encode(Answer::Value(Bytes::from(value.clone())), &mut out).unwrap();
        let at = (out.len() as f64 * at) as usize;
        let (mut codec, mut buffer) = (cache_codec(), BytesMut::from(&out[..at]));
        let early = codec.decode(&mut buffer).unwrap();
        buffer.extend_from_slice(&out[at..]);
        let whole = early.or_else(|| codec.decode(&mut buffer).unwrap());
        prop_assert_eq!(whole, Some(MessagePart::Complete(Value::Bulk(Bytes::from(value)))));
    }
}
