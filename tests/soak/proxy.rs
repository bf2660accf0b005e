//! A TCP proxy on the loopback that disturbs the connections it carries.
//!
//! It never does what TCP cannot do: bytes are late or missing up to a reset, but
//! no connection goes on behind bytes that were lost.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Bytes that are carried at once.
const CHUNK: usize = 4096;

/// What happens to connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mode {
    /// Nothing.
    Pass,
    /// Each piece is late by this much, in both directions.
    Delay(Duration),
    /// Nothing gets through until the mode changes; then all of it does.
    Silence,
    /// What callers send is lost; connections that lost something are reset later.
    CutUp,
    /// What the other side sends is lost, likewise.
    CutDown,
    /// Connections are reset, new ones as well.
    Reset,
}

/// A running proxy. Its tasks end with their runtime.
pub(crate) struct Proxy {
    pub(crate) address: SocketAddr,
    mode: watch::Sender<Mode>,
}

impl Proxy {
    /// Starts a proxy to a target, on the runtime that was entered.
    pub(crate) fn start(target: SocketAddr) -> Self {
        let listener = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        listener.set_nonblocking(true).unwrap();
        let listener = TcpListener::from_std(listener).unwrap();
        let address = listener.local_addr().unwrap();
        let (mode, seen) = watch::channel(Mode::Pass);
        tokio::spawn(accept(listener, target, seen));
        Proxy { address, mode }
    }

    /// Changes what happens from now on.
    pub(crate) fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, mode: watch::Receiver<Mode>) {
    let mut carried = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let (stream, _) = accepted.unwrap();
                carried.spawn(carry(stream, target, mode.clone()));
            }
            Some(ended) = carried.join_next() => ended.unwrap(),
        }
    }
}

async fn carry(mut near: TcpStream, target: SocketAddr, mode: watch::Receiver<Mode>) {
    let Ok(mut far) = TcpStream::connect(target).await else {
        near.set_zero_linger().unwrap();
        return;
    };
    let (near_read, near_write) = near.split();
    let (far_read, far_write) = far.split();
    let up = pump(near_read, far_write, Mode::CutUp, mode.clone());
    let down = pump(far_read, near_write, Mode::CutDown, mode);
    if tokio::try_join!(up, down).is_err() {
        // Closed properly, a cut answer without a length would look whole.
        near.set_zero_linger().unwrap();
        far.set_zero_linger().unwrap();
    }
}

/// Carries one direction, which one mode cuts, to its end; an error resets the
/// connection.
async fn pump<R, W>(
    mut from: R,
    mut to: W,
    cut: Mode,
    mut mode: watch::Receiver<Mode>,
) -> io::Result<()>
where
    R: AsyncRead + Unpin,
    W: AsyncWrite + Unpin,
{
    let mut buffer = [0; CHUNK];
    let mut has_lost = false;
    loop {
        let now = *mode.borrow_and_update();
        if now == Mode::Reset || (has_lost && now != cut) {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        let count = tokio::select! {
            read = from.read(&mut buffer) => read?,
            changed = mode.changed() => {
                changed.map_err(io::Error::other)?;
                continue;
            }
        };
        if !passes(&mut mode, cut).await? {
            has_lost = true;
            if count == 0 {
                // The end of the connection is lost as well.
                mode.changed().await.map_err(io::Error::other)?;
            }
            continue;
        }
        if has_lost {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        if count == 0 {
            return to.shutdown().await;
        }
        to.write_all(&buffer[..count]).await?;
    }
}

/// Waits as the mode says; gives whether a piece gets through.
async fn passes(mode: &mut watch::Receiver<Mode>, cut: Mode) -> io::Result<bool> {
    loop {
        let now = *mode.borrow_and_update();
        match now {
            Mode::Reset => return Err(io::ErrorKind::ConnectionReset.into()),
            Mode::Silence => mode.changed().await.map_err(io::Error::other)?,
            Mode::Delay(time) => {
                tokio::time::sleep(time).await;
                return Ok(true);
            }
            Mode::Pass | Mode::CutUp | Mode::CutDown => return Ok(now != cut),
        }
    }
}
