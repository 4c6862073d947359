//! Budgets that several decoders share.
use std::rc::Rc;

use bytes::BytesMut;
use stairfront_codec::budget::Budget;
use stairfront_codec::http_client::HttpClientCodec;
use stairfront_codec::resp::{CommandDecoder, ReplyDecoder, RespError, MAX_VALUE_BYTES};
use tokio_util::codec::Decoder;

use crate::support::{elements, AMPLE};

#[test]
fn decoders_reserve_no_more_than_their_common_budget_and_release_it() {
    let budget = Budget::new(1_000_000);
    let value = "x".repeat(400_000);
    let reply = format!("*3\r\n${}\r\n{value}\r\n$3\r\nhit\r\n$-1\r\n", value.len());
    let partial = || BytesMut::from(&reply[..200]);
    let new_decoder = || ReplyDecoder::new(1 << 20, &budget);
    let mut first = new_decoder();
    let mut second = new_decoder();
    let mut third = new_decoder();
    assert!(first.decode(&mut partial()).unwrap().is_none());
    assert!(second.decode(&mut partial()).unwrap().is_none());
    assert!(budget.available() < 250_000, "{}", budget.available());
    assert!(
        third.decode(&mut partial()).is_err(),
        "there is no memory for a third one"
    );
    let mut http = HttpClientCodec::new(1 << 20, &budget);
    let response = "HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\nx";
    assert!(http.decode(&mut BytesMut::from(response)).is_err());
    // The first reply is decoded to its end, and the second decoder is dropped within one.
    let mut complete = BytesMut::from(reply.as_str());
    assert!(first.decode(&mut complete).unwrap().is_some());
    drop((first, second, third));
    assert_eq!(budget.available(), 1_000_000);
}

/// The budgets of usual commands and of large ones, of which one fits.
struct CommandBudgets {
    usual: Rc<Budget>,
    large: Rc<Budget>,
}

impl CommandBudgets {
    fn new(large: usize) -> Self {
        CommandBudgets {
            usual: Budget::new(AMPLE),
            large: Budget::new(large),
        }
    }

    fn decoder(&self) -> CommandDecoder {
        CommandDecoder::new(&self.usual, &self.large)
    }
}

fn large_command() -> String {
    let value = "v".repeat(MAX_VALUE_BYTES);
    let keys = "$1\r\nk\r\n".repeat(4);
    format!("*5\r\n{keys}${}\r\n{value}\r\n", value.len())
}

#[test]
fn a_large_command_waits_for_memory_and_loses_nothing() {
    let budgets = CommandBudgets::new(MAX_VALUE_BYTES + 1000);
    let command = large_command();
    let (start, rest) = command.as_bytes().split_at(100);
    let mut first = budgets.decoder();
    let mut first_input = BytesMut::from(start);
    let mut second = budgets.decoder();
    let mut second_input = BytesMut::from(start);
    assert!(first.decode(&mut first_input).unwrap().is_none());
    let waiting = second.decode(&mut second_input);
    assert!(matches!(waiting, Err(RespError::AwaitingMemory(_))));
    // A usual command has memory of its own.
    let mut ping = BytesMut::from(&b"*1\r\n$4\r\nPING\r\n"[..]);
    let decoded = budgets.decoder().decode(&mut ping).unwrap();
    assert_eq!(decoded, Some(elements(&["PING"])));
    first_input.extend_from_slice(rest);
    let decoded = first.decode(&mut first_input).unwrap().unwrap();
    assert_eq!(decoded[4].len(), MAX_VALUE_BYTES);
    // The memory belongs to the value: only when that is dropped does the second decoder continue where it was.
    let reservation = first.take_memory();
    let waiting = second.decode(&mut second_input);
    assert!(matches!(waiting, Err(RespError::AwaitingMemory(_))));
    drop(reservation);
    assert!(second.decode(&mut second_input).unwrap().is_none());
    second_input.extend_from_slice(rest);
    let value = "v".repeat(MAX_VALUE_BYTES);
    let decoded = second.decode(&mut second_input).unwrap();
    assert_eq!(decoded, Some(elements(&["k", "k", "k", "k", &value])));
}

/// It is known at once, so that it need not wait, and what stands behind it is read on.
#[test]
fn a_command_that_never_fits_is_told_at_once_and_can_be_dropped() {
    let budgets = CommandBudgets::new(1_000_000);
    let mut decoder = budgets.decoder();
    let command = large_command();
    let mut input = BytesMut::from(&command.as_bytes()[..100]);
    let Err(RespError::AwaitingMemory(never)) = decoder.decode(&mut input) else {
        panic!("it is taken");
    };
    assert!(never.exceeds_limit);
    assert_eq!(never.bytes, command.len());
    decoder.skip(&never);
    input.extend_from_slice(&command.as_bytes()[100..]);
    input.extend_from_slice(b"*1\r\n$4\r\nPING\r\n");
    let decoded = decoder.decode(&mut input).unwrap();
    assert_eq!(decoded, Some(elements(&["PING"])));
}

/// Nor is it known where the commands behind it begin.
#[test]
fn a_command_that_never_fits_and_whose_end_is_unknown_is_an_error_at_once() {
    let budgets = CommandBudgets {
        usual: Budget::new(10_000),
        large: Budget::new(AMPLE),
    };
    let mut input = BytesMut::from("*6\r\n$1\r\nk\r\n$60000\r\n");
    let decoded = budgets.decoder().decode(&mut input);
    assert!(
        matches!(decoded, Err(RespError::Malformed(_))),
        "{decoded:?}"
    );
}
