//! Forwarding of one relayed connection.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::sync::{mpsc, watch};

use super::conditions::NewConnections;
use super::state::{DisruptionCounts, RelayState};

/// Buffer space reserved for each read, in bytes.
const CHUNK_BYTES: usize = 64 * 1024;

/// Maximum number of delayed chunks in one direction.
const MAX_QUEUED_CHUNKS: usize = 256;

/// A chunk of bytes and the time of its arrival; an empty chunk ends the direction.
struct DelayedChunk {
    due: Instant,
    bytes: Bytes,
}

/// Increments a gauge as long as it lives.
struct GaugeGuard<'a>(&'a AtomicU64);

impl<'a> GaugeGuard<'a> {
    fn new(count: &'a AtomicU64) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for GaugeGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Forwards a connection to `target` until both directions end, an error occurs or it is cut. A
/// silenced connection is held open until it is cut.
pub async fn relay_connection(state: &RelayState, mut inbound: TcpStream, target: SocketAddr) {
    state.accepted.fetch_add(1, Ordering::Relaxed);
    let _gauge = GaugeGuard::new(&state.connections);
    let mut disruptions = state.subscribe_disruptions();
    let new_connections = state.lock().conditions.new_connections;
    match new_connections {
        NewConnections::Pass => {}
        NewConnections::Close => return,
        NewConnections::Hold => return hold_silent(state, &mut disruptions).await,
    }
    let Ok(mut outbound) = TcpStream::connect(target).await else {
        return;
    };
    let silenced = tokio::select! {
        _ = forward_both_ways(state, &mut inbound, &mut outbound) => false,
        silenced = wait_disruption(&mut disruptions) => silenced,
    };
    if silenced {
        hold_silent(state, &mut disruptions).await;
    }
}

/// Keeps a connection open without forwarding data until all connections are cut.
async fn hold_silent(state: &RelayState, disruptions: &mut watch::Receiver<DisruptionCounts>) {
    let _gauge = GaugeGuard::new(&state.silent);
    while wait_disruption(disruptions).await {}
}

/// Waits for the next disruption; returns true if it is a silence and false if it is a cut.
async fn wait_disruption(disruptions: &mut watch::Receiver<DisruptionCounts>) -> bool {
    let cuts = disruptions.borrow_and_update().cuts;
    if disruptions.changed().await.is_err() {
        return false;
    }
    disruptions.borrow_and_update().cuts == cuts
}

async fn forward_both_ways(
    state: &RelayState,
    inbound: &mut TcpStream,
    outbound: &mut TcpStream,
) -> io::Result<()> {
    inbound.set_nodelay(true)?;
    outbound.set_nodelay(true)?;
    let (inbound_reader, inbound_writer) = inbound.split();
    let (outbound_reader, outbound_writer) = outbound.split();
    tokio::try_join!(
        forward_one_way(state, inbound_reader, outbound_writer),
        forward_one_way(state, outbound_reader, inbound_writer),
    )?;
    Ok(())
}

async fn forward_one_way(
    state: &RelayState,
    reader: ReadHalf<'_>,
    writer: WriteHalf<'_>,
) -> io::Result<()> {
    let (sender, receiver) = mpsc::channel(MAX_QUEUED_CHUNKS);
    tokio::try_join!(
        read_chunks(state, reader, sender),
        write_chunks(state, writer, receiver),
    )?;
    Ok(())
}

/// Reads chunks and draws the arrival time of each; chunks are never reordered.
async fn read_chunks(
    state: &RelayState,
    mut reader: ReadHalf<'_>,
    sender: mpsc::Sender<DelayedChunk>,
) -> io::Result<()> {
    let mut due = Instant::now();
    let mut buffer = BytesMut::new();
    loop {
        buffer.reserve(CHUNK_BYTES);
        let length = reader.read_buf(&mut buffer).await?;
        due = due.max(Instant::now() + state.sample_delay());
        let bytes = buffer.split().freeze();
        let sent = sender.send(DelayedChunk { due, bytes }).await;
        // An empty chunk signals that the reader's peer has shut down its sending side.
        if length == 0 || sent.is_err() {
            return Ok(());
        }
    }
}

async fn write_chunks(
    state: &RelayState,
    mut writer: WriteHalf<'_>,
    mut receiver: mpsc::Receiver<DelayedChunk>,
) -> io::Result<()> {
    while let Some(chunk) = receiver.recv().await {
        if chunk.due > Instant::now() {
            tokio::time::sleep_until(chunk.due.into()).await;
        }
        if chunk.bytes.is_empty() {
            return writer.shutdown().await;
        }
        writer.write_all(&chunk.bytes).await?;
        let length = chunk.bytes.len() as u64;
        state.bytes.fetch_add(length, Ordering::Relaxed);
    }
    Ok(())
}
