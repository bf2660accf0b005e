//! A TCP proxy on the loopback interface that injects faults into its connections.
//!
//! It stays within the semantics of TCP: bytes may be delayed, or lost before a reset,
//! but no connection continues after lost bytes.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Size of the buffer of one direction.
const CHUNK_BYTES: usize = 4096;

/// Fault that the proxy injects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mode {
    /// No fault.
    Pass,
    /// Each chunk is delayed by this time, in both directions.
    Delay(Duration),
    /// Nothing is forwarded until the mode changes; then everything is.
    Silence,
    /// Bytes from callers are lost; connections that lost bytes are reset when the mode changes.
    CutUp,
    /// Bytes from the target are lost, in the same way.
    CutDown,
    /// All connections are reset, also new ones.
    Reset,
}

/// A running proxy, which ends with its runtime.
pub(crate) struct Proxy {
    pub(crate) address: SocketAddr,
    mode: watch::Sender<Mode>,
}

impl Proxy {
    /// Starts a proxy to a target on the current runtime.
    pub(crate) fn start(target: SocketAddr) -> Self {
        let listener = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        listener.set_nonblocking(true).unwrap();
        let listener = TcpListener::from_std(listener).unwrap();
        let address = listener.local_addr().unwrap();
        let (mode, seen) = watch::channel(Mode::Pass);
        tokio::spawn(accept(listener, target, seen));
        Proxy { address, mode }
    }

    /// Sets the fault for present and new connections.
    pub(crate) fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }
}

/// Accepts connections and forwards each in a task of its own.
async fn accept(listener: TcpListener, target: SocketAddr, mode: watch::Receiver<Mode>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let (stream, _) = accepted.unwrap();
                connections.spawn(forward(stream, target, mode.clone()));
            }
            Some(ended) = connections.join_next() => ended.unwrap(),
        }
    }
}

/// Forwards both directions of a connection; resets it on an error.
async fn forward(mut near: TcpStream, target: SocketAddr, mode: watch::Receiver<Mode>) {
    let Ok(mut far) = TcpStream::connect(target).await else {
        near.set_zero_linger().unwrap();
        return;
    };
    let (near_read, near_write) = near.split();
    let (far_read, far_write) = far.split();
    let up = pump(near_read, far_write, Mode::CutUp, mode.clone());
    let down = pump(far_read, near_write, Mode::CutDown, mode);
    if tokio::try_join!(up, down).is_err() {
        // After a normal close, a truncated answer without a length would look complete.
        near.set_zero_linger().unwrap();
        far.set_zero_linger().unwrap();
    }
}

/// Forwards one direction until its end; `cut` is the mode that loses bytes of this
/// direction. An error resets the connection.
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
    let mut buffer = [0; CHUNK_BYTES];
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
        if !is_forwarded(&mut mode, cut).await? {
            has_lost = true;
            if count == 0 {
                // The close of the connection is lost as well.
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

/// Waits according to the mode; returns whether a chunk is forwarded.
async fn is_forwarded(mode: &mut watch::Receiver<Mode>, cut: Mode) -> io::Result<bool> {
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
