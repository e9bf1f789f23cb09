//! TCP forwarding.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::ReadHalf;
use tokio::net::tcp::WriteHalf;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::proxy::link::Link;
use crate::proxy::rule::Direction;

/// Size of the read buffer.
const CHUNK_BYTES: usize = 16 << 10;

/// Maximum number of chunks buffered per connection and direction.
const MAX_BUFFERED_CHUNKS: usize = 64;

/// Bytes to deliver at a time; empty bytes mark the end of the stream.
struct Chunk {
    due: Instant,
    bytes: Bytes,
}

/// Accepts connections until the future is dropped.
pub(crate) async fn serve(listener: TcpListener, link: Arc<Link>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::task::yield_now().await;
            continue;
        };
        link.count_connection();
        let cuts = link.version().cuts;
        tokio::spawn(serve_connection(stream, link.clone(), cuts));
    }
}

async fn serve_connection(mut client: TcpStream, link: Arc<Link>, cuts: u64) {
    client.set_nodelay(true).ok();
    let mut server = tokio::select! {
        server = connect(&mut client, &link) => server,
        () = link.wait_for_cut(cuts) => None,
    };
    if let Some(server) = &mut server {
        let result = tokio::select! {
            result = relay(&mut client, server, &link) => result,
            () = link.wait_for_cut(cuts) => Err(io::ErrorKind::ConnectionReset.into()),
        };
        if result.is_ok() {
            return;
        }
        server.set_zero_linger().ok();
    }
    link.count_cut();
    client.set_zero_linger().ok();
}

/// Connects to the target; returns `None` if the bytes of the client were dropped or the target refuses.
async fn connect(client: &mut TcpStream, link: &Link) -> Option<TcpStream> {
    if link.version().rules.drops(Direction::Request) {
        let (mut from, _to) = client.split();
        discard(&mut from, link, Direction::Request).await;
        return None;
    }
    link.wait_for(|rules| !rules.hold).await;
    let server = TcpStream::connect(link.to()).await.ok()?;
    server.set_nodelay(true).ok();
    Some(server)
}

async fn relay(client: &mut TcpStream, server: &mut TcpStream, link: &Link) -> io::Result<()> {
    let (client_read, client_write) = client.split();
    let (server_read, server_write) = server.split();
    let request = relay_direction(client_read, server_write, link, Direction::Request);
    let answer = relay_direction(server_read, client_write, link, Direction::Answer);
    tokio::try_join!(request, answer)?;
    Ok(())
}

async fn relay_direction(
    from: ReadHalf<'_>,
    to: WriteHalf<'_>,
    link: &Link,
    direction: Direction,
) -> io::Result<()> {
    let (sender, receiver) = mpsc::channel(MAX_BUFFERED_CHUNKS);
    let reading = read(from, sender, link, direction);
    let writing = write(receiver, to, link, direction);
    tokio::try_join!(reading, writing)?;
    Ok(())
}

async fn read(
    mut from: ReadHalf<'_>,
    sender: mpsc::Sender<Chunk>,
    link: &Link,
    direction: Direction,
) -> io::Result<()> {
    let mut buffer = vec![0; CHUNK_BYTES];
    loop {
        let length = from.read(&mut buffer).await?;
        let rules = link.version().rules;
        if rules.drops(direction) {
            discard(&mut from, link, direction).await;
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        let bytes = Bytes::copy_from_slice(&buffer[..length]);
        let chunk = Chunk { due: Instant::now() + rules.delay(), bytes };
        sender.send(chunk).await.map_err(|_| io::ErrorKind::ConnectionReset)?;
        if length == 0 {
            return Ok(());
        }
    }
}

/// Reads and discards bytes until the rules no longer drop the direction.
async fn discard(from: &mut ReadHalf<'_>, link: &Link, direction: Direction) {
    let mut buffer = vec![0; CHUNK_BYTES];
    let reading = async {
        while matches!(from.read(&mut buffer).await, Ok(1..)) {}
        std::future::pending::<()>().await;
    };
    tokio::select! {
        () = reading => {}
        () = link.wait_for(|rules| !rules.drops(direction)) => {}
    }
}

async fn write(
    mut receiver: mpsc::Receiver<Chunk>,
    mut to: WriteHalf<'_>,
    link: &Link,
    direction: Direction,
) -> io::Result<()> {
    let mut forwarded = 0;
    let mut rules_number = 0;
    while let Some(chunk) = receiver.recv().await {
        tokio::time::sleep_until(chunk.due).await;
        link.wait_for(|rules| !rules.hold).await;
        let version = link.version();
        if version.rules.drops(direction) {
            link.wait_for(|rules| !rules.drops(direction)).await;
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        if chunk.bytes.is_empty() {
            return to.shutdown().await;
        }
        if version.number != rules_number {
            rules_number = version.number;
            forwarded = 0;
        }
        let bytes_until_cut =
            version.rules.cut_after(direction).map(|limit| limit.saturating_sub(forwarded));
        let length = chunk.bytes.len() as u64;
        if let Some(remaining) = bytes_until_cut.filter(|remaining| *remaining <= length)
            && link.consume_cut()
        {
            to.write_all(&chunk.bytes[..remaining as usize]).await?;
            link.count(direction, remaining as usize);
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        to.write_all(&chunk.bytes).await?;
        forwarded += length;
        link.count(direction, chunk.bytes.len());
        if let Some(rate) = version.rules.bytes_per_second {
            let seconds = length as f64 / rate.max(1) as f64;
            tokio::time::sleep(Duration::from_secs_f64(seconds)).await;
        }
    }
    Ok(())
}
