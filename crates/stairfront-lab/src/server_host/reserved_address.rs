//! Loopback addresses that stay reserved while nobody listens.
use std::io;
use std::net::{Ipv4Addr, SocketAddr};

use socket2::{Domain, Socket, Type};
use tokio::net::TcpListener;

/// Connections that may wait to be accepted.
const ACCEPT_BACKLOG: i32 = 1024;

/// An address that is kept for as long as this lives, whether or not anybody listens. The port of a stopped stand-in
/// would otherwise be given to another socket of this machine, and its restart would fail.
pub struct ReservedAddress {
    reservation: Socket,
    address: SocketAddr,
}

impl ReservedAddress {
    /// Reserves a loopback address with any port.
    ///
    /// # Errors
    ///
    /// No socket can be bound.
    pub fn reserve() -> io::Result<Self> {
        Self::reserve_at(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))
    }

    /// Reserves this address.
    ///
    /// # Errors
    ///
    /// No socket can be bound there.
    pub fn reserve_at(wanted: SocketAddr) -> io::Result<Self> {
        let reservation = bind(wanted)?;
        let address = reservation
            .local_addr()?
            .as_socket()
            .ok_or(io::ErrorKind::Unsupported)?;
        Ok(ReservedAddress {
            reservation,
            address,
        })
    }

    /// The address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    pub(super) fn listen(&self) -> io::Result<TcpListener> {
        // The reserving socket does not listen itself, so that a stopped stand-in refuses connections.
        debug_assert!(!self.reservation.is_listener().unwrap_or(false));
        let socket = bind(self.address)?;
        socket.set_nonblocking(true)?;
        socket.listen(ACCEPT_BACKLOG)?;
        TcpListener::from_std(socket.into())
    }
}

fn bind(address: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(true)?;
    socket.bind(&address.into())?;
    Ok(socket)
}
