//! Packets by TCP: a length of four bytes, then the packet; at most one in each direction of a connection.
use std::io::{self, ErrorKind};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use stairfront_gossip_membership::packet::MAX_STREAM_BYTES;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::timeout;

/// Time for a whole connection. Without it, a connection that only one end still has would be waited for without end.
pub(crate) const TIMEOUT: Duration = Duration::from_millis(1500);

/// A TCP socket of the address's family.
pub(crate) fn tcp_socket(address: SocketAddr) -> io::Result<TcpSocket> {
    if address.is_ipv4() {
        TcpSocket::new_v4()
    } else {
        TcpSocket::new_v6()
    }
}

/// Sends a packet.
pub(crate) async fn send(stream: &mut TcpStream, packet: &[u8]) -> io::Result<()> {
    let length = u32::try_from(packet.len()).map_err(|_| ErrorKind::InvalidInput)?;
    stream.write_all(&length.to_be_bytes()).await?;
    stream.write_all(packet).await
}

/// Receives a packet. Its length is checked before anything is allocated.
pub(crate) async fn receive(stream: &mut TcpStream) -> io::Result<Vec<u8>> {
    let length = stream.read_u32().await? as usize;
    if length > MAX_STREAM_BYTES {
        return Err(ErrorKind::InvalidData.into());
    }
    let mut packet = Vec::with_capacity(length);
    // The memory is used as the bytes arrive: a peer that announces a length and sends nothing uses no page of it.
    stream.take(length as u64).read_to_end(&mut packet).await?;
    if packet.len() < length {
        return Err(ErrorKind::UnexpectedEof.into());
    }
    Ok(packet)
}

/// Connects from this member's own address, so that the network between the two can tell whose connection it is.
async fn connect(from: IpAddr, to: SocketAddr) -> io::Result<TcpStream> {
    let socket = tcp_socket(to)?;
    if from.is_ipv4() == to.is_ipv4() && !from.is_unspecified() {
        socket.bind(SocketAddr::new(from, 0))?;
    }
    let stream = socket.connect(to).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Sends a packet and receives the reply.
pub(crate) async fn push_pull(
    from: IpAddr,
    with: SocketAddr,
    packet: &[u8],
) -> io::Result<Vec<u8>> {
    let exchange = async {
        let mut stream = connect(from, with).await?;
        send(&mut stream, packet).await?;
        receive(&mut stream).await
    };
    timeout(TIMEOUT, exchange)
        .await
        .unwrap_or_else(|_| Err(ErrorKind::TimedOut.into()))
}

/// Sends a packet that has no reply.
pub(crate) async fn send_once(from: IpAddr, to: SocketAddr, packet: &[u8]) -> io::Result<()> {
    let transfer = async {
        let mut stream = connect(from, to).await?;
        send(&mut stream, packet).await?;
        // The receiver closes the connection after it has read the packet; closed here before, the packet could be lost.
        drop(stream.read_u8().await);
        Ok(())
    };
    timeout(TIMEOUT, transfer)
        .await
        .unwrap_or_else(|_| Err(ErrorKind::TimedOut.into()))
}
