//! Both sides of HTTP/1.1.
use bytes::{Bytes, BytesMut};
use stairfront_codec::http_client::{self, RequestBody};
use stairfront_codec::http_server;
use tokio_util::codec::{Decoder, Encoder};

use crate::support::{decode_split, http_client, http_server};

#[test]
fn responses_are_complete_however_the_input_is_split() {
    let input = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 X\r\nnot-started: 1\r\nSERVER-LOAD: util=0.5\r\n\
        Content-Length: 2\r\n\r\nnoHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n\
        3\r\nabc\r\n1;x=y\r\nd\r\n0\r\n\r\n";
    let first = http_client::Response {
        status: 503,
        not_started: true,
        server_load: Some(Bytes::from_static(b"util=0.5")),
        closes_connection: false,
        body: Bytes::from_static(b"no"),
    };
    let second = http_client::Response {
        status: 200,
        not_started: false,
        server_load: None,
        closes_connection: true,
        body: Bytes::from_static(b"abcd"),
    };
    let expected = [first, second];
    for at in 0..=input.len() {
        let responses = decode_split(http_client(100), input, at);
        assert_eq!(responses, expected, "split at {at}");
    }
}

/// A body that ends with its connection would be cut if it counted as complete as soon as it arrives.
#[test]
fn a_body_without_a_length_ends_with_the_orderly_end_of_its_connection() {
    for (status, text) in [(200, "all of it"), (500, ""), (200, "")] {
        let mut codec = http_client(100);
        let mut buffer = BytesMut::from(format!("HTTP/1.1 {status} X\r\n\r\n{text}").as_bytes());
        for _ in 0..2 {
            assert_eq!(codec.decode(&mut buffer).unwrap(), None);
        }
        let response = codec.decode_eof(&mut buffer).unwrap().unwrap();
        assert_eq!(response.status, status);
        assert_eq!(&response.body[..], text.as_bytes());
        assert!(response.closes_connection);
        assert_eq!(codec.decode_eof(&mut buffer).unwrap(), None);
    }
    let too_large = format!("HTTP/1.1 200 OK\r\n\r\n{}", "x".repeat(101));
    let mut buffer = BytesMut::from(too_large.as_bytes());
    assert!(http_client(100).decode(&mut buffer).is_err());
}

#[test]
fn a_response_that_is_cut_is_an_error() {
    for input in [
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
        "HTTP/1.1 200 OK\r\nServer-Lo",
    ] {
        let decoded = http_client(100).decode_eof(&mut BytesMut::from(input));
        assert!(decoded.is_err(), "{input}");
    }
}

#[test]
fn oversized_responses_are_errors_before_they_fill_memory() {
    for input in [
        "HTTP/1.1 200 OK\r\nContent-Length: 101\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc",
        "nonsense\r\n\r\n",
        &"HTTP/1.1 100 X\r\n\r\n".repeat(100_000),
    ] {
        let decoded = http_client(100).decode(&mut BytesMut::from(input));
        assert!(decoded.is_err(), "{input:.200}");
    }
}

#[test]
fn a_request_with_a_line_break_in_a_field_is_not_encoded() {
    let request = http_client::Request {
        method: "GET",
        target: "/k".into(),
        headers: vec![("Request-Id", Bytes::from_static(b"1\r\nX: y"))],
        body: RequestBody::Empty,
    };
    let encoded = http_client(1).encode(request, &mut BytesMut::new());
    assert!(encoded.is_err());
}

#[test]
fn a_response_with_a_line_break_in_a_field_is_not_encoded() {
    let response = |value: &str| http_server::Response {
        status: 200,
        reason: "OK",
        headers: vec![("X", value.into())],
        body: Bytes::new(),
    };
    let encode = |value| http_server(100).encode(response(value), &mut BytesMut::new());
    assert!(encode("a\r\nY: b").is_err());
    assert!(encode("a").is_ok());
}

#[test]
fn requests_are_complete_however_the_input_is_split() {
    let input = b"PUT /k?x=1 HTTP/1.1\r\nrequest-id: 7\r\nContent-Length: 3\r\n\r\nabcGET / HTTP/1.0\r\n\r\n";
    for at in 0..=input.len() {
        let requests = decode_split(http_server(100), input, at);
        let [first, second] = &requests[..] else {
            panic!("split at {at}: {} requests", requests.len());
        };
        assert_eq!(first.target, "/k?x=1");
        assert_eq!(&first.body[..], b"abc");
        assert!(!first.closes_connection);
        let request_id = first.header("Request-Id").map(|id| &id[..]);
        assert_eq!(request_id, Some(&b"7"[..]));
        assert!(
            second.closes_connection,
            "HTTP/1.0 does not keep a connection"
        );
    }
}

#[test]
fn ambiguous_requests_are_rejected() {
    for input in [
        "PUT / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n",
        "PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
        "PUT / HTTP/1.1\r\nContent-Length: 101\r\n\r\n",
        "PUT / HTTP/1.1\r\nContent-Length: +1\r\n\r\n",
        "nonsense\r\n\r\n",
    ] {
        let decoded = http_server(100).decode(&mut BytesMut::from(input));
        assert!(decoded.is_err(), "{input}");
    }
}
