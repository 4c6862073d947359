//! The frames between members, as a golden file: a change of names must not change a byte.
use stairfront_raft::{ClusterMessage, Envelope, Message, MessageBody, Voter};
use stairfront_raft_node::frame::Frame;
use stairfront_test_support::golden::GoldenFiles;

fn voter(name: &str, incarnation: u64) -> Voter {
    Voter {
        name: name.to_string(),
        incarnation,
    }
}

fn envelope(to: Option<Voter>, message: ClusterMessage) -> Envelope {
    Envelope {
        from: voter("ash", 1001),
        to,
        cluster_id: 43,
        message,
    }
}

#[test]
fn frames_between_members() {
    let message = Message {
        term: 44,
        body: MessageBody::VoteResponse { granted: true },
    };
    let to = Some(voter("birch", 1002));
    let cases = [
        (
            "heartbeat",
            Frame::Raft(envelope(None, ClusterMessage::Heartbeat)),
        ),
        (
            "vote",
            Frame::Raft(envelope(to, ClusterMessage::Raft(message))),
        ),
        ("side message", Frame::SideMessage(vec![45, 46, 200])),
        ("empty side message", Frame::SideMessage(Vec::new())),
    ];
    GoldenFiles::of_crate(env!("CARGO_MANIFEST_DIR")).assert_postcard("frames.hex", &cases);
}
