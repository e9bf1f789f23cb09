//! TCP connections through a link.

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

/// The bytes that are read at once.
const CHUNK: usize = 16 << 10;

/// The chunks in transit on a connection each way.
const IN_TRANSIT: usize = 64;

/// Some bytes, or the end of them if empty, and when they arrive.
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
        tokio::spawn(connection(stream, link.clone(), cuts));
    }
}

async fn connection(mut client: TcpStream, link: Arc<Link>, cuts: u64) {
    client.set_nodelay(true).ok();
    let mut server = tokio::select! {
        server = connect(&mut client, &link) => server,
        () = link.cut(cuts) => None,
    };
    if let Some(server) = &mut server {
        let passed = tokio::select! {
            passed = pass(&mut client, server, &link) => passed,
            () = link.cut(cuts) => Err(io::ErrorKind::ConnectionReset.into()),
        };
        if passed.is_ok() {
            return;
        }
        server.set_zero_linger().ok();
    }
    link.count_cut();
    client.set_zero_linger().ok();
}

/// Connects to the target; none if the client's first bytes vanished or the target refuses.
async fn connect(client: &mut TcpStream, link: &Link) -> Option<TcpStream> {
    if link.version().rules.drops(Direction::Request) {
        let (mut from, _to) = client.split();
        swallow(&mut from, link, Direction::Request).await;
        return None;
    }
    link.until(|rules| !rules.hold).await;
    let server = TcpStream::connect(link.to()).await.ok()?;
    server.set_nodelay(true).ok();
    Some(server)
}

async fn pass(client: &mut TcpStream, server: &mut TcpStream, link: &Link) -> io::Result<()> {
    let (client_read, client_write) = client.split();
    let (server_read, server_write) = server.split();
    let request = pump(client_read, server_write, link, Direction::Request);
    let answer = pump(server_read, client_write, link, Direction::Answer);
    tokio::try_join!(request, answer)?;
    Ok(())
}

async fn pump(
    from: ReadHalf<'_>,
    to: WriteHalf<'_>,
    link: &Link,
    direction: Direction,
) -> io::Result<()> {
    let (sender, receiver) = mpsc::channel(IN_TRANSIT);
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
    let mut buffer = vec![0; CHUNK];
    loop {
        let length = from.read(&mut buffer).await?;
        let rules = link.version().rules;
        if rules.drops(direction) {
            swallow(&mut from, link, direction).await;
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

/// Reads and forgets until bytes of the direction pass again.
async fn swallow(from: &mut ReadHalf<'_>, link: &Link, direction: Direction) {
    let mut buffer = vec![0; CHUNK];
    let reading = async {
        while matches!(from.read(&mut buffer).await, Ok(1..)) {}
        std::future::pending::<()>().await;
    };
    tokio::select! {
        () = reading => {}
        () = link.until(|rules| !rules.drops(direction)) => {}
    }
}

async fn write(
    mut receiver: mpsc::Receiver<Chunk>,
    mut to: WriteHalf<'_>,
    link: &Link,
    direction: Direction,
) -> io::Result<()> {
    let mut passed = 0;
    let mut seen = 0;
    while let Some(chunk) = receiver.recv().await {
        tokio::time::sleep_until(chunk.due).await;
        link.until(|rules| !rules.hold).await;
        let version = link.version();
        if version.rules.drops(direction) {
            link.until(|rules| !rules.drops(direction)).await;
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        if chunk.bytes.is_empty() {
            return to.shutdown().await;
        }
        if version.number != seen {
            seen = version.number;
            passed = 0;
        }
        let rest = version.rules.cut_after(direction).map(|limit| limit.saturating_sub(passed));
        let length = chunk.bytes.len() as u64;
        if let Some(rest) = rest.filter(|rest| *rest <= length)
            && link.take_cut()
        {
            to.write_all(&chunk.bytes[..rest as usize]).await?;
            link.count(direction, rest as usize);
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        to.write_all(&chunk.bytes).await?;
        passed += length;
        link.count(direction, chunk.bytes.len());
        if let Some(rate) = version.rules.bytes_per_second {
            let seconds = length as f64 / rate.max(1) as f64;
            tokio::time::sleep(Duration::from_secs_f64(seconds)).await;
        }
    }
    Ok(())
}
