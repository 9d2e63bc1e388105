//! One relayed connection.

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
use super::shared::{LinkBreaks, RelayShared};

/// Bytes read at a time.
const CHUNK_BYTES: usize = 64 * 1024;

/// Chunks under way in one direction at most.
const CHUNKS_UNDER_WAY: usize = 256;

/// A chunk of bytes and when it arrives.
struct DelayedChunk {
    due: Instant,
    bytes: Bytes,
}

/// Counts something for as long as it lives.
struct LiveCount<'a>(&'a AtomicU64);

impl<'a> LiveCount<'a> {
    fn new(count: &'a AtomicU64) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for LiveCount<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Passes a connection on until it ends, is cut, or goes silent and is cut later.
pub async fn relay_connection(shared: &RelayShared, mut inbound: TcpStream, to: SocketAddr) {
    shared.accepted.fetch_add(1, Ordering::Relaxed);
    let _count = LiveCount::new(&shared.connections);
    let mut breaks = shared.watch_breaks();
    let new_connections = shared.lock().conditions.new_connections;
    match new_connections {
        NewConnections::Pass => {}
        NewConnections::Close => return,
        NewConnections::Hold => return hold(shared, &mut breaks).await,
    }
    let Ok(mut outbound) = TcpStream::connect(to).await else {
        return;
    };
    let silenced = tokio::select! {
        _ = pass_both_ways(shared, &mut inbound, &mut outbound) => false,
        silenced = wait_break(&mut breaks) => silenced,
    };
    if silenced {
        hold(shared, &mut breaks).await;
    }
}

/// Keeps a connection open and silent until all are cut.
async fn hold(shared: &RelayShared, breaks: &mut watch::Receiver<LinkBreaks>) {
    let _count = LiveCount::new(&shared.silent);
    while wait_break(breaks).await {}
}

/// Waits for the next break; whether it is silence and not a cut.
async fn wait_break(breaks: &mut watch::Receiver<LinkBreaks>) -> bool {
    let cuts = breaks.borrow_and_update().cuts;
    if breaks.changed().await.is_err() {
        return false;
    }
    breaks.borrow_and_update().cuts == cuts
}

async fn pass_both_ways(
    shared: &RelayShared,
    inbound: &mut TcpStream,
    outbound: &mut TcpStream,
) -> io::Result<()> {
    inbound.set_nodelay(true)?;
    outbound.set_nodelay(true)?;
    let (inbound_reader, inbound_writer) = inbound.split();
    let (outbound_reader, outbound_writer) = outbound.split();
    tokio::try_join!(
        pass_one_way(shared, inbound_reader, outbound_writer),
        pass_one_way(shared, outbound_reader, inbound_writer),
    )?;
    Ok(())
}

async fn pass_one_way(
    shared: &RelayShared,
    reader: ReadHalf<'_>,
    writer: WriteHalf<'_>,
) -> io::Result<()> {
    let (sender, receiver) = mpsc::channel(CHUNKS_UNDER_WAY);
    tokio::try_join!(
        read_chunks(shared, reader, sender),
        write_chunks(shared, writer, receiver),
    )?;
    Ok(())
}

/// Reads chunks and gives each its time of arrival; none overtakes another.
async fn read_chunks(
    shared: &RelayShared,
    mut reader: ReadHalf<'_>,
    sender: mpsc::Sender<DelayedChunk>,
) -> io::Result<()> {
    let mut due = Instant::now();
    let mut buffer = BytesMut::new();
    loop {
        buffer.reserve(CHUNK_BYTES);
        let length = reader.read_buf(&mut buffer).await?;
        due = due.max(Instant::now() + shared.draw_delay());
        let bytes = buffer.split().freeze();
        let sent = sender.send(DelayedChunk { due, bytes }).await;
        // An empty chunk tells the other end that this one has closed its side.
        if length == 0 || sent.is_err() {
            return Ok(());
        }
    }
}

async fn write_chunks(
    shared: &RelayShared,
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
        shared.bytes.fetch_add(length, Ordering::Relaxed);
    }
    Ok(())
}
