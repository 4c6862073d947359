//! Full exchanges by TCP: a length of four bytes, then a packet; one each way on a connection.
use std::io::{self, ErrorKind};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use stairfront_gossip_membership::packet::MAX_EXCHANGE_BYTES;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::timeout;

/// For a whole exchange. Danger: a connection that is open at one end alone would be waited for for ever.
pub const LIMIT: Duration = Duration::from_millis(1500);

pub async fn send(socket: &mut TcpStream, packet: &[u8]) -> io::Result<()> {
    let length = u32::try_from(packet.len()).map_err(|_| ErrorKind::InvalidInput)?;
    socket.write_all(&length.to_be_bytes()).await?;
    socket.write_all(packet).await
}

/// The length is held against the largest packet before anything is allocated.
pub async fn receive(socket: &mut TcpStream) -> io::Result<Vec<u8>> {
    let length = socket.read_u32().await? as usize;
    if length > MAX_EXCHANGE_BYTES {
        return Err(ErrorKind::InvalidData.into());
    }
    let mut packet = Vec::with_capacity(length);
    // Read as it comes: a peer that names a length and sends nothing takes no room for it in pages.
    socket.take(length as u64).read_to_end(&mut packet).await?;
    if packet.len() < length {
        return Err(ErrorKind::UnexpectedEof.into());
    }
    Ok(packet)
}

/// Begins at this member's own address, so that what stands between the two can tell whose connection it is.
async fn connect(from: IpAddr, with: SocketAddr) -> io::Result<TcpStream> {
    let socket = if with.is_ipv4() {
        TcpSocket::new_v4()
    } else {
        TcpSocket::new_v6()
    }?;
    if from.is_ipv4() == with.is_ipv4() && !from.is_unspecified() {
        socket.bind(SocketAddr::new(from, 0))?;
    }
    let socket = socket.connect(with).await?;
    socket.set_nodelay(true)?;
    Ok(socket)
}

pub async fn ask(from: IpAddr, with: SocketAddr, packet: &[u8]) -> io::Result<Vec<u8>> {
    let whole = async {
        let mut socket = connect(from, with).await?;
        send(&mut socket, packet).await?;
        receive(&mut socket).await
    };
    timeout(LIMIT, whole)
        .await
        .unwrap_or_else(|_| Err(ErrorKind::TimedOut.into()))
}

/// Without an answer.
pub async fn tell(from: IpAddr, to: SocketAddr, packet: &[u8]) -> io::Result<()> {
    let whole = async {
        let mut socket = connect(from, to).await?;
        send(&mut socket, packet).await?;
        // Until it has read it: closed before, what is under way could be lost.
        drop(socket.read_u8().await);
        Ok(())
    };
    timeout(LIMIT, whole)
        .await
        .unwrap_or_else(|_| Err(ErrorKind::TimedOut.into()))
}
