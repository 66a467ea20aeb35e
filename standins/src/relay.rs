//! A TCP relay that counts bytes, can cut or silence connections, and can shift the wall clock of the
//! connecting side as the target sees it.

use std::net::SocketAddr;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, watch};
use tokio_util::sync::CancellationToken;

use crate::server;

/// Size of the buffer for each direction of a connection.
const BUFFER_BYTES: usize = 16 * 1024;

/// Treatment of connections by the relay.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RelayMode {
    /// Bytes are forwarded in both directions.
    #[default]
    Pass,
    /// New connections are closed at once, and open ones are closed as well.
    Cut,
    /// Open connections stay open but never forward anything again, as if a middlebox had dropped their
    /// state. New connections are forwarded.
    Silent,
}

/// Traffic counters of a relay since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RelayCount {
    /// Bytes forwarded from the connecting side to the target.
    pub sent: u64,
    /// Bytes forwarded from the target to the connecting side.
    pub received: u64,
    /// Connections that were accepted and forwarded; those that [`RelayMode::Cut`] closes at once are not
    /// counted.
    pub connections: u64,
}

/// Settings of all connections of a relay.
#[derive(Clone, Copy, Debug, Default)]
struct RelaySettings {
    mode: RelayMode,
    /// Added to each `at_ms` that the connecting side sends.
    clock_shift_ms: i64,
}

/// Messages to the task that owns the counters.
enum RelayMessage {
    /// Adds to the counters.
    Add { sent: u64, received: u64, connections: u64 },
    /// Returns the counters.
    Read(oneshot::Sender<RelayCount>),
}

/// A running relay.
#[derive(Clone)]
pub struct RelayStandin {
    /// Address that clients of the target connect to.
    pub address: SocketAddr,
    settings: watch::Sender<RelaySettings>,
    inbox: mpsc::Sender<RelayMessage>,
}

impl RelayStandin {
    /// Starts a relay to the target on a free loopback port; the mode is [`RelayMode::Pass`].
    ///
    /// # Errors
    ///
    /// Returns the I/O error if the port cannot be bound.
    pub async fn start(target: SocketAddr, token: CancellationToken) -> std::io::Result<Self> {
        let (listener, address) = server::bind("127.0.0.1:0").await?;
        let (settings, receiver) = watch::channel(RelaySettings::default());
        let (inbox, messages) = mpsc::channel(4_096);
        actix_rt::spawn(run_counter(messages, token.clone()));
        actix_rt::spawn(accept(listener, target, receiver, inbox.clone(), token));
        Ok(Self { address, settings, inbox })
    }

    /// Sets the mode of all connections; [`RelayMode::Silent`] applies to those that are open now.
    pub fn set_mode(&self, mode: RelayMode) {
        self.settings.send_modify(|settings| settings.mode = mode);
    }

    /// Shifts the wall clock of the connecting side as the target sees it, by changing each Unix time `at_ms`
    /// that is sent.
    pub fn set_clock_shift(&self, milliseconds: i64) {
        self.settings.send_modify(|settings| settings.clock_shift_ms = milliseconds);
    }

    /// Returns the traffic counters.
    pub async fn count(&self) -> RelayCount {
        let (reply, count) = oneshot::channel();
        let _ = self.inbox.send(RelayMessage::Read(reply)).await;
        count.await.unwrap_or_default()
    }
}

async fn run_counter(mut messages: mpsc::Receiver<RelayMessage>, token: CancellationToken) {
    let mut count = RelayCount::default();
    loop {
        let message = tokio::select! {
            () = token.cancelled() => return,
            Some(message) = messages.recv() => message,
        };
        match message {
            RelayMessage::Add { sent, received, connections } => {
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
        let Ok((client, _)) = accepted else { continue };
        if settings.borrow().mode == RelayMode::Cut {
            continue;
        }
        let _ = inbox.send(RelayMessage::Add { sent: 0, received: 0, connections: 1 }).await;
        let (settings, inbox, token) = (settings.clone(), inbox.clone(), token.clone());
        actix_rt::spawn(async move {
            tokio::select! {
                () = token.cancelled() => {}
                // An error ends only its own connection.
                _ = relay(client, target, settings, inbox) => {}
            }
        });
    }
}

async fn relay(
    mut client: TcpStream,
    target: SocketAddr,
    mut settings: watch::Receiver<RelaySettings>,
    inbox: mpsc::Sender<RelayMessage>,
) -> std::io::Result<()> {
    let mut upstream = TcpStream::connect(target).await?;
    client.set_nodelay(true)?;
    upstream.set_nodelay(true)?;
    let (mut to_upstream, mut to_client) = (vec![0; BUFFER_BYTES], vec![0; BUFFER_BYTES]);
    settings.mark_unchanged();
    loop {
        tokio::select! {
            changed = settings.changed() => match (changed, settings.borrow_and_update().mode) {
                (Ok(()), RelayMode::Pass) => {}
                (Ok(()), RelayMode::Silent) => std::future::pending::<()>().await,
                _ => return Ok(()),
            },
            read = client.read(&mut to_upstream) => {
                let length = read?;
                if length == 0 {
                    return Ok(());
                }
                shift_clock(&mut to_upstream[..length], settings.borrow().clock_shift_ms);
                upstream.write_all(&to_upstream[..length]).await?;
                let _ = inbox.send(RelayMessage::Add { sent: length as u64, received: 0, connections: 0 }).await;
            }
            read = upstream.read(&mut to_client) => {
                let length = read?;
                if length == 0 {
                    return Ok(());
                }
                client.write_all(&to_client[..length]).await?;
                let _ = inbox.send(RelayMessage::Add { sent: 0, received: length as u64, connections: 0 }).await;
            }
        }
    }
}

/// Adds milliseconds to each `at_ms` of 13 digits. Unix milliseconds have 13 digits until the year 2286, so
/// that the text keeps its length. An `at_ms` that is split over two reads of a connection is left unchanged.
fn shift_clock(bytes: &mut [u8], milliseconds: i64) {
    const FIELD: &[u8] = b"at_ms";
    const TIME_DIGITS: usize = 13;
    if milliseconds == 0 {
        return;
    }
    let matches = bytes.windows(FIELD.len()).enumerate().filter(|(_, window)| *window == FIELD);
    for at in matches.map(|(at, _)| at + FIELD.len()).collect::<Vec<usize>>() {
        // The name and the number are separated by a quote, a colon and, in JSON that is nested in a JSON
        // string, a backslash.
        let Some(gap) = bytes[at..].iter().take(4).position(u8::is_ascii_digit) else { continue };
        let Some(number) = bytes.get_mut(at + gap..at + gap + TIME_DIGITS) else { continue };
        let text = std::str::from_utf8(number).ok().and_then(|text| text.parse::<i64>().ok());
        let shifted = text.map(|time| (time + milliseconds).to_string());
        if let Some(shifted) = shifted.filter(|shifted| shifted.len() == TIME_DIGITS) {
            number.copy_from_slice(shifted.as_bytes());
        }
    }
}
