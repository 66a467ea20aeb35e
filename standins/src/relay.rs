//! A TCP relay that counts bytes, can cut or silence connections, and can shift the clock of the connecting side.

use std::net::SocketAddr;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, watch};
use tokio_util::sync::CancellationToken;

use crate::server;

/// Bytes that one read moves at most.
const CHUNK: usize = 16 * 1024;

/// What the relay does with connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RelayMode {
    /// Bytes pass in both directions.
    #[default]
    Pass,
    /// New connections are closed at once and open ones are cut.
    Cut,
    /// Open connections stay open but nothing passes any more, as when a middlebox forgot them.
    Silent,
}

/// Bytes and connections that a relay has seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RelayCount {
    /// Bytes from the connecting side.
    pub sent: u64,
    /// Bytes to the connecting side.
    pub received: u64,
    /// Accepted connections.
    pub connections: u64,
}

/// What holds for all connections of a relay.
#[derive(Clone, Copy, Debug, Default)]
struct RelaySettings {
    mode: RelayMode,
    /// Added to each `at_ms` of the connecting side, in milliseconds.
    clock_shift: i64,
}

enum RelayMessage {
    Moved { sent: u64, received: u64, connections: u64 },
    Read(oneshot::Sender<RelayCount>),
}

/// A running relay.
#[derive(Clone)]
pub struct RelayStandin {
    /// Its address.
    pub address: SocketAddr,
    settings: watch::Sender<RelaySettings>,
    inbox: mpsc::Sender<RelayMessage>,
}

impl RelayStandin {
    /// Starts a relay to the target on a free loopback port.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket.
    pub async fn start(target: SocketAddr, token: CancellationToken) -> std::io::Result<Self> {
        let (listener, address) = server::bind("127.0.0.1:0").await?;
        let (settings, changes) = watch::channel(RelaySettings::default());
        let (inbox, messages) = mpsc::channel(4_096);
        actix_rt::spawn(keep_count(messages, token.clone()));
        actix_rt::spawn(accept(listener, target, changes, inbox.clone(), token));
        Ok(Self { address, settings, inbox })
    }

    /// Changes what happens to connections; `Silent` holds for connections that are open now.
    pub fn set_mode(&self, mode: RelayMode) {
        self.settings.send_modify(|settings| settings.mode = mode);
    }

    /// Shifts the wall clock of the connecting side as others see it: the Unix time `at_ms` in what it sends.
    pub fn set_clock_shift(&self, milliseconds: i64) {
        self.settings.send_modify(|settings| settings.clock_shift = milliseconds);
    }

    /// Returns what passed so far.
    pub async fn count(&self) -> RelayCount {
        let (reply, count) = oneshot::channel();
        let _ = self.inbox.send(RelayMessage::Read(reply)).await;
        count.await.unwrap_or_default()
    }
}

async fn keep_count(mut messages: mpsc::Receiver<RelayMessage>, token: CancellationToken) {
    let mut count = RelayCount::default();
    loop {
        let message = tokio::select! {
            () = token.cancelled() => return,
            Some(message) = messages.recv() => message,
        };
        match message {
            RelayMessage::Moved { sent, received, connections } => {
                count.sent += sent;
                count.received += received;
                count.connections += connections;
            }
            RelayMessage::Read(reply) => {
                let _ = reply.send(count);
            }
        }
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    settings: watch::Receiver<RelaySettings>,
    inbox: mpsc::Sender<RelayMessage>,
    token: CancellationToken,
) {
    loop {
        let accepted = tokio::select! {
            () = token.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((near, _)) = accepted else { continue };
        if settings.borrow().mode == RelayMode::Cut {
            continue;
        }
        let _ = inbox.send(RelayMessage::Moved { sent: 0, received: 0, connections: 1 }).await;
        let (settings, inbox, token) = (settings.clone(), inbox.clone(), token.clone());
        actix_rt::spawn(async move {
            tokio::select! {
                () = token.cancelled() => {}
                // A broken connection ends alone.
                _ = relay(near, target, settings, inbox) => {}
            }
        });
    }
}

async fn relay(
    mut near: TcpStream,
    target: SocketAddr,
    mut settings: watch::Receiver<RelaySettings>,
    inbox: mpsc::Sender<RelayMessage>,
) -> std::io::Result<()> {
    let mut far = TcpStream::connect(target).await?;
    near.set_nodelay(true)?;
    far.set_nodelay(true)?;
    let (mut up, mut down) = (vec![0; CHUNK], vec![0; CHUNK]);
    settings.mark_unchanged();
    loop {
        tokio::select! {
            changed = settings.changed() => match (changed, settings.borrow_and_update().mode) {
                (Ok(()), RelayMode::Pass) => {}
                (Ok(()), RelayMode::Silent) => std::future::pending::<()>().await,
                _ => return Ok(()),
            },
            read = near.read(&mut up) => {
                let length = read?;
                if length == 0 {
                    return Ok(());
                }
                shift_clock(&mut up[..length], settings.borrow().clock_shift);
                far.write_all(&up[..length]).await?;
                let _ = inbox.send(RelayMessage::Moved { sent: length as u64, received: 0, connections: 0 }).await;
            }
            read = far.read(&mut down) => {
                let length = read?;
                if length == 0 {
                    return Ok(());
                }
                near.write_all(&down[..length]).await?;
                let _ = inbox.send(RelayMessage::Moved { sent: 0, received: length as u64, connections: 0 }).await;
            }
        }
    }
}

/// Adds milliseconds to each `at_ms` of 13 digits, which keeps its length until the year 2286.
fn shift_clock(bytes: &mut [u8], milliseconds: i64) {
    const NAME: &[u8] = b"at_ms";
    const DIGITS: usize = 13;
    if milliseconds == 0 {
        return;
    }
    let names = bytes.windows(NAME.len()).enumerate().filter(|(_, window)| *window == NAME);
    for at in names.map(|(at, _)| at + NAME.len()).collect::<Vec<usize>>() {
        // Quotes, a colon and, in a JSON text within another one, a backslash come between.
        let Some(gap) = bytes[at..].iter().take(4).position(u8::is_ascii_digit) else { continue };
        let Some(number) = bytes.get_mut(at + gap..at + gap + DIGITS) else { continue };
        let text = std::str::from_utf8(number).ok().and_then(|text| text.parse::<i64>().ok());
        let shifted = text.map(|time| (time + milliseconds).to_string());
        if let Some(shifted) = shifted.filter(|shifted| shifted.len() == DIGITS) {
            number.copy_from_slice(shifted.as_bytes());
        }
    }
}
