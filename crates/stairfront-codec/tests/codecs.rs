//! The codecs by themselves: every split of the input, limits, and any bytes at all.
use bytes::{Bytes, BytesMut};
use proptest::prelude::*;
use stairfront_codec::budget::Budget;
use stairfront_codec::http::{self, HttpCodec};
use stairfront_codec::http_server::{HttpServerCodec, Reply};
use stairfront_codec::part::{Part, LARGEST_WHOLE};
use stairfront_codec::resp::{
    CommandReader, PartReader, ReplyReader, RespError, Value, LARGEST_BULK, LARGEST_VALUE,
    ROOMY_BUFFER,
};
use tokio_util::codec::{Decoder, Encoder};

const PLENTY: usize = 1 << 24;

fn client_codec() -> CommandReader {
    CommandReader::new(&Budget::new(PLENTY), &Budget::new(PLENTY))
}

fn cache_codec() -> ReplyReader {
    ReplyReader::new(LARGEST_BULK, &Budget::new(PLENTY))
}

fn http_codec(largest_body: usize) -> HttpCodec {
    HttpCodec::new(largest_body, &Budget::new(PLENTY))
}

fn words(list: &[&str]) -> Vec<Bytes> {
    list.iter()
        .map(|word| Bytes::copy_from_slice(word.as_bytes()))
        .collect()
}

/// Feeds the input in two parts, split at `at`, and collects what comes out.
fn split<D: Decoder>(mut codec: D, input: &[u8], at: usize) -> Vec<D::Item>
where
    D::Error: std::fmt::Debug,
{
    let (mut buffer, mut out) = (BytesMut::new(), Vec::new());
    for part in [&input[..at], &input[at..]] {
        buffer.extend_from_slice(part);
        while let Some(item) = codec.decode(&mut buffer).unwrap() {
            out.push(item);
        }
    }
    assert!(buffer.is_empty());
    out
}

#[test]
fn commands_come_out_whole_however_the_input_is_split() {
    let input = b"*2\r\n$3\r\nONE\r\n$0\r\n\r\n*1\r\n$4\r\nPING\r\n";
    for at in 0..=input.len() {
        assert_eq!(
            split(client_codec(), input, at),
            [words(&["ONE", ""]), words(&["PING"])],
            "split at {at}"
        );
    }
}

#[test]
fn replies_come_out_whole_however_the_input_is_split() {
    let input = b"*3\r\n$1\r\nv\r\n$-1\r\n*1\r\n:7\r\n-BUSY\r\n+PONG\r\n*-1\r\n";
    let bytes = |text: &'static str| Bytes::from_static(text.as_bytes());
    let array = Value::Array(vec![
        Value::Bulk(bytes("v")),
        Value::Null,
        Value::Array(vec![Value::Integer(bytes("7"))]),
    ]);
    let wanted = [
        array,
        Value::Error(bytes("BUSY")),
        Value::Simple(bytes("PONG")),
        Value::Null,
    ];
    for at in 0..=input.len() {
        assert_eq!(split(cache_codec(), input, at), wanted, "split at {at}");
    }
}

#[test]
fn responses_come_out_whole_however_the_input_is_split() {
    let input = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 X\r\nnot-started: 1\r\nSERVER-LOAD: util=0.5\r\n\
        Content-Length: 2\r\n\r\nnoHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n\
        3\r\nabc\r\n1;x=y\r\nd\r\n0\r\n\r\n";
    for at in 0..=input.len() {
        let out = split(http_codec(100), input, at);
        assert_eq!(out.len(), 2, "split at {at}");
        assert_eq!(
            (
                out[0].status,
                &out[0].body[..],
                out[0].not_started,
                out[0].last
            ),
            (503, &b"no"[..], true, false)
        );
        assert_eq!(out[0].load.as_deref(), Some(&b"util=0.5"[..]));
        assert_eq!(
            (out[1].status, &out[1].body[..], out[1].last),
            (200, &b"abcd"[..], true)
        );
    }
}

/// Danger: taken for whole as it stands, a body whose end only the end of its connection tells would be cut.
#[test]
fn a_body_without_a_length_is_whole_at_the_proper_end_alone_and_a_cut_one_never() {
    for (status, text) in [(200, "all of it"), (500, ""), (200, "")] {
        let mut codec = http_codec(100);
        let mut buffer = BytesMut::from(format!("HTTP/1.1 {status} X\r\n\r\n{text}").as_bytes());
        for _ in 0..2 {
            assert_eq!(codec.decode(&mut buffer).unwrap(), None);
        }
        let whole = codec.decode_eof(&mut buffer).unwrap().unwrap();
        assert_eq!(
            (whole.status, &whole.body[..], whole.last),
            (status, text.as_bytes(), true)
        );
        assert_eq!(codec.decode_eof(&mut buffer).unwrap(), None);
    }
    let large = format!("HTTP/1.1 200 OK\r\n\r\n{}", "x".repeat(101));
    assert!(http_codec(100)
        .decode(&mut BytesMut::from(large.as_bytes()))
        .is_err());
    for cut in [
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
        "HTTP/1.1 200 OK\r\nServer-Lo",
    ] {
        assert!(
            http_codec(100)
                .decode_eof(&mut BytesMut::from(cut))
                .is_err(),
            "{cut}"
        );
    }
}

#[test]
fn oversized_messages_are_errors_before_they_fill_memory() {
    let too_long = format!("*1\r\n${}\r\n", LARGEST_BULK + 1);
    let too_large = format!(
        "*5\r\n{}${}\r\n",
        "$1\r\nw\r\n".repeat(4),
        LARGEST_VALUE + 1
    );
    let nested = "*1\r\n".repeat(4);
    let many = format!(
        "*3\r\n{}",
        format!("${LARGEST_VALUE}\r\n{}\r\n", "x".repeat(LARGEST_VALUE)).repeat(2)
    );
    let unending = "*".repeat(2000);
    for input in [
        &too_long,
        &too_large,
        &nested,
        &many,
        &unending,
        "*-7\r\n",
        "*1x\r\n",
        "*1\n",
        "*1\r\n$1\r\nabc",
    ] {
        assert!(
            client_codec()
                .decode(&mut BytesMut::from(input.as_bytes()))
                .is_err(),
            "{:.40}",
            input
        );
    }
    for input in [
        "HTTP/1.1 200 OK\r\nContent-Length: 101\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc",
        "nonsense\r\n\r\n",
        &"HTTP/1.1 100 X\r\n\r\n".repeat(100_000),
    ] {
        assert!(
            http_codec(100).decode(&mut BytesMut::from(input)).is_err(),
            "{input}"
        );
    }
}

#[test]
fn a_kept_slice_does_not_keep_a_large_buffer() {
    let mut buffer = BytesMut::with_capacity(4 * ROOMY_BUFFER);
    buffer.extend_from_slice(b"*1\r\n$4\r\nPING\r\n*1\r\n$4\r\nPING\r\n");
    let whole = buffer.as_ptr() as usize..buffer.as_ptr() as usize + 4 * ROOMY_BUFFER;
    for _ in 0..2 {
        let kept = client_codec().decode(&mut buffer).unwrap().unwrap();
        assert!(
            !whole.contains(&(kept[0].as_ptr() as usize)),
            "copied out of the large buffer"
        );
    }
    assert!(buffer.capacity() <= ROOMY_BUFFER);
}

#[test]
fn a_line_break_in_a_header_never_goes_out() {
    let headers = vec![("Request-Id", Bytes::from_static(b"1\r\nX: y"))];
    let request = http::Request {
        method: "GET",
        target: "/k".into(),
        headers,
        body: http::Body::None,
    };
    assert!(http_codec(1).encode(request, &mut BytesMut::new()).is_err());
}

proptest! {
    /// Broken input may be an error, never a panic, and a codec never gives more than it was given.
    #[test]
    fn any_bytes_at_all(input in prop::collection::vec(prop_oneof![any::<u8>(), prop::sample::select(&b"*$+-:\r\n0123"[..])], 0..200)) {
        let mut buffer = BytesMut::from(&input[..]);
        while let Ok(Some(command)) = client_codec().decode(&mut buffer) {
            prop_assert!(command.iter().map(Bytes::len).sum::<usize>() <= input.len());
        }
        let mut buffer = BytesMut::from(&input[..]);
        while let Ok(Some(_)) = cache_codec().decode(&mut buffer) {}
        let mut buffer = BytesMut::from([&b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"[..], &input].concat().as_slice());
        let mut codec = http_codec(100);
        while let Ok(Some(_)) = codec.decode(&mut buffer) {}
        let _ = http_codec(100).decode_eof(&mut BytesMut::from(&input[..]));
        let _ = HttpServerCodec::new(100, &Budget::new(PLENTY)).decode_eof(&mut BytesMut::from(&input[..]));
    }
}

#[test]
fn readers_hold_no_more_than_their_budget_together_and_give_it_back() {
    let (budget, value) = (Budget::new(1_000_000), "x".repeat(400_000));
    let reply = format!("*3\r\n${}\r\n{value}\r\n$3\r\nhit\r\n$-1\r\n", value.len());
    let begun = || BytesMut::from(&reply[..200]);
    let mut readers: Vec<_> = (0..3).map(|_| ReplyReader::new(1 << 20, &budget)).collect();
    assert!(readers[0].decode(&mut begun()).unwrap().is_none());
    assert!(readers[1].decode(&mut begun()).unwrap().is_none());
    assert!(budget.left() < 250_000, "{}", budget.left());
    assert!(
        readers[2].decode(&mut begun()).is_err(),
        "a third one is too many"
    );
    let mut http = HttpCodec::new(1 << 20, &budget);
    assert!(http
        .decode(&mut BytesMut::from(
            "HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\nx"
        ))
        .is_err());
    // One is read to its end, one is dropped.
    assert!(readers[0]
        .decode(&mut BytesMut::from(reply.as_str()))
        .unwrap()
        .is_some());
    drop(readers);
    assert_eq!(budget.left(), 1_000_000);
}

#[test]
fn requests_come_out_whole_and_what_is_ambiguous_is_turned_away() {
    let server = || HttpServerCodec::new(100, &Budget::new(PLENTY));
    let input = b"PUT /k?x=1 HTTP/1.1\r\nrequest-id: 7\r\nContent-Length: 3\r\n\r\nabcGET / HTTP/1.0\r\n\r\n";
    for at in 0..=input.len() {
        let out = split(server(), input, at);
        assert_eq!(out.len(), 2, "split at {at}");
        assert_eq!(
            (&out[0].target[..], &out[0].body[..], out[0].last),
            ("/k?x=1", &b"abc"[..], false)
        );
        assert_eq!(
            out[0].header("Request-Id").map(|id| &id[..]),
            Some(&b"7"[..])
        );
        assert!(out[1].last, "HTTP/1.0 keeps no connection");
    }
    for input in [
        "PUT / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n",
        "PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
        "PUT / HTTP/1.1\r\nContent-Length: 101\r\n\r\n",
        "PUT / HTTP/1.1\r\nContent-Length: +1\r\n\r\n",
        "nonsense\r\n\r\n",
    ] {
        assert!(
            server().decode(&mut BytesMut::from(input)).is_err(),
            "{input}"
        );
    }
    let reply = |value: &str| Reply {
        status: 200,
        reason: "OK",
        headers: vec![("X", value.into())],
        body: Bytes::new(),
    };
    assert!(server()
        .encode(reply("a\r\nY: b"), &mut BytesMut::new())
        .is_err());
    assert!(server().encode(reply("a"), &mut BytesMut::new()).is_ok());
}

fn part_codec() -> PartReader {
    PartReader::new(4 << 20, &Budget::new(PLENTY))
}

/// The HTTP reader as a decoder of parts.
struct HttpParts(HttpCodec);

impl Decoder for HttpParts {
    type Item = Part<http::Response>;
    type Error = http::HttpError;
    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Self::Item>, Self::Error> {
        self.0.next_part(src)
    }
}

/// A row of parts with the pieces of each value put together.
fn joined<R>(parts: Vec<Part<R>>) -> Vec<Part<R>> {
    let mut out: Vec<Part<R>> = Vec::new();
    for part in parts {
        match (out.last_mut(), part) {
            (Some(Part::Piece(before)), Part::Piece(piece)) => {
                *before = Bytes::from([&before[..], &piece].concat())
            }
            (_, part) => out.push(part),
        }
    }
    out
}

#[test]
fn large_values_come_in_pieces_however_the_input_is_split() {
    let value = "v".repeat(LARGEST_WHOLE + 1);
    let small = "*3\r\n$1\r\ns\r\n$3\r\nhit\r\n$-1\r\n";
    let large = format!(
        "*3\r\n${}\r\n{value}\r\n$4\r\nmiss\r\n$10\r\nutil=0.500\r\n",
        value.len()
    );
    let input = format!("{small}{large}{small}");
    let word = |text: &str| Value::Bulk(Bytes::copy_from_slice(text.as_bytes()));
    let whole = || Part::Whole(Value::Array(vec![word("s"), word("hit"), Value::Null]));
    let wanted = [
        whole(),
        Part::Begun(
            value.len(),
            Value::Array(vec![word(""), Value::Null, Value::Null]),
        ),
        Part::Piece(Bytes::from(value.clone())),
        Part::Done(Value::Array(vec![
            word(""),
            word("miss"),
            word("util=0.500"),
        ])),
        whole(),
    ];
    // Every place in the heads and behind the value, and some within it.
    let (start, end) = (small.len(), input.len());
    let cuts = (0..start + 40)
        .chain((start + 40..end - 100).step_by(4001))
        .chain(end - 100..=end);
    for at in cuts {
        assert_eq!(
            joined(split(part_codec(), input.as_bytes(), at)),
            wanted,
            "split at {at}"
        );
    }
}

#[test]
fn large_bodies_come_in_pieces_however_the_input_is_split() {
    let value = "v".repeat(LARGEST_WHOLE + 1);
    let head = format!(
        "HTTP/1.1 200 OK\r\nServer-Load: util=1\r\nContent-Length: {}\r\n\r\n",
        value.len()
    );
    let small = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\ns";
    let input = format!("{head}{value}{small}");
    let cuts = (0..head.len() + 10).chain(head.len() + value.len() - 10..=input.len());
    for at in cuts {
        let out = joined(split(HttpParts(http_codec(4 << 20)), input.as_bytes(), at));
        let [Part::Begun(length, begun), Part::Piece(piece), Part::Done(done), Part::Whole(last)] =
            &out[..]
        else {
            panic!("split at {at}: {} parts", out.len());
        };
        assert_eq!(
            (*length, piece.len(), begun, &last.body[..]),
            (value.len(), value.len(), done, &b"s"[..])
        );
        assert_eq!(begun.load.as_deref(), Some(&b"util=1"[..]));
    }
}

#[test]
fn what_stands_wrong_behind_a_large_value_is_an_error() {
    let value = "v".repeat(LARGEST_WHOLE + 1);
    for tail in [
        "xx",
        "\r\n$3\r\nhit\r\nnonsense",
        "\r\n$99999\r\n",
        "\r\n*1\r\n*1\r\n:1\r\n$-1\r\n",
    ] {
        let (mut codec, mut fault) = (part_codec(), None);
        let mut buffer =
            BytesMut::from(format!("*3\r\n${}\r\n{value}{tail}", value.len()).as_bytes());
        while fault.is_none() {
            match codec.decode(&mut buffer) {
                Ok(Some(Part::Done(reply))) => panic!("{tail:?} passed as {reply:?}"),
                Ok(Some(_)) => {}
                Ok(None) => panic!("{tail:?} is not noticed"),
                Err(problem) => fault = Some(problem),
            }
        }
        assert!(matches!(fault, Some(RespError::Malformed(_))), "{tail:?}");
    }
    let beyond = format!("*3\r\n${}\r\n", (4 << 20) + 1);
    assert!(part_codec()
        .decode(&mut BytesMut::from(beyond.as_str()))
        .is_err());
}

#[test]
fn a_large_command_waits_for_room_and_loses_nothing_by_it() {
    let (usual, large) = (Budget::new(PLENTY), Budget::new(LARGEST_VALUE + 1000));
    let value = "v".repeat(LARGEST_VALUE);
    let command = format!(
        "*5\r\n{}${}\r\n{value}\r\n",
        "$1\r\nk\r\n".repeat(4),
        value.len()
    );
    let reader = || CommandReader::new(&usual, &large);
    let (mut first, mut second, mut third) = (reader(), reader(), reader());
    let mut begun: Vec<BytesMut> = (0..3)
        .map(|_| BytesMut::from(&command.as_bytes()[..100]))
        .collect();
    assert!(first.decode(&mut begun[0]).unwrap().is_none());
    assert!(matches!(
        second.decode(&mut begun[1]),
        Err(RespError::NoRoom(_))
    ));
    // A usual one has room of its own.
    let ping = b"*1\r\n$4\r\nPING\r\n";
    assert_eq!(
        third.decode(&mut BytesMut::from(&ping[..])).unwrap(),
        Some(words(&["PING"]))
    );
    begun[0].extend_from_slice(&command.as_bytes()[100..]);
    assert_eq!(
        first.decode(&mut begun[0]).unwrap().unwrap()[4].len(),
        LARGEST_VALUE
    );
    // Its room goes with its value: only when that is dropped the second goes on where it stood.
    let room = first.take_room();
    assert!(matches!(
        second.decode(&mut begun[1]),
        Err(RespError::NoRoom(_))
    ));
    drop(room);
    assert!(second.decode(&mut begun[1]).unwrap().is_none());
    begun[1].extend_from_slice(&command.as_bytes()[100..]);
    assert_eq!(
        second.decode(&mut begun[1]).unwrap(),
        Some(words(&["k", "k", "k", "k", &value]))
    );
    // What could never be held is told at once.
    let mut poor = CommandReader::new(&usual, &Budget::new(1_000_000));
    assert!(matches!(
        poor.decode(&mut begun[2]),
        Err(RespError::Malformed(_))
    ));
}
