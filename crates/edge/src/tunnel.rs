//! Connections to endpoints through other gates, which are not cut off from them.
//!
//! What the endpoint sends is framed, so that the end of the tunnel is not taken for the end of a response that is
//! delimited by the end of its connection.

use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::Event;
use fleet::endpoint::Endpoint;
use fleet::tunnel::Answer;
use fleet::tunnel::Open;
use futures::StreamExt;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWrite;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio_util::codec::FramedRead;
use tokio_util::codec::LengthDelimitedCodec;
use tokio_util::io::StreamReader;

use crate::gate::Gate;
use crate::protocol::Protocol;

/// The timeout for opening a connection to another gate, and to an endpoint on its behalf.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// The timeout for the messages that begin a tunnel.
const OPEN_TIMEOUT: Duration = Duration::from_millis(400);
/// The limit on the tunnels through a gate.
const MAX_TUNNELS: usize = 512;
/// The largest message that begins a tunnel, in bytes.
const MAX_MESSAGE_BYTES: u16 = 1_024;
/// The largest frame, in bytes.
const MAX_FRAME_BYTES: usize = 16 << 10;
/// The length of the header of a frame, in bytes.
const HEADER_BYTES: usize = 4;
/// The pause after a failed accept.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Requests a connection to an endpoint from the gate at `peer`. Returns the answer and the stream, which leads to the
/// endpoint if the answer is [`Answer::Opened`].
pub(crate) async fn open(
    from: IpAddr,
    peer: SocketAddr,
    endpoint: &Endpoint,
) -> io::Result<(Answer, impl AsyncRead + AsyncWrite + Send + Unpin + 'static)> {
    let mut stream = link::connect(from, peer, CONNECT_TIMEOUT).await?;
    let request = Open { endpoint: endpoint.id.clone(), born: endpoint.born };
    let opening = async {
        write_message(&mut stream, &request).await?;
        read_message(&mut stream).await
    };
    let answer = tokio::time::timeout(OPEN_TIMEOUT, opening).await??;
    Ok((answer, unframe(stream)))
}

/// Returns a stream that writes unchanged bytes and reads the content of frames. Reading fails if the stream ends
/// without an empty frame.
pub fn unframe(stream: TcpStream) -> impl AsyncRead + AsyncWrite + Send + Unpin + 'static {
    let (read, write) = stream.into_split();
    let codec = LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec();
    let frames = FramedRead::new(read, codec);
    let broken = futures::stream::iter([Err(io::Error::from(io::ErrorKind::UnexpectedEof))]);
    let content = frames.chain(broken).take_while(|frame| {
        let ended = frame.as_ref().is_ok_and(|frame| frame.is_empty());
        std::future::ready(!ended)
    });
    tokio::io::join(StreamReader::new(content.boxed()), write)
}

/// Accepts tunnels of other gates until the gate shuts down.
pub(crate) async fn serve<P: Protocol>(gate: Arc<Gate<P>>, listener: TcpListener) {
    let permits = Arc::new(Semaphore::new(MAX_TUNNELS));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = gate.shutdown.cancelled() => return,
        };
        match accepted {
            Ok((stream, peer)) => {
                let Ok(permit) = permits.clone().try_acquire_owned() else { continue };
                let gate = gate.clone();
                tokio::spawn(async move {
                    if let Err(error) = forward(&gate, stream, peer).await {
                        base::event!(INFO, Event::TunnelEnded, peer = %peer, error = %error);
                    }
                    drop(permit);
                });
            }
            Err(error) => {
                base::event!(ERROR, Event::Fault, error = %error, "failed to accept a tunnel");
                tokio::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

/// Connects to the endpoint that another gate requests, and forwards bytes until one side closes its connection.
async fn forward<P: Protocol>(
    gate: &Gate<P>,
    mut stream: TcpStream,
    peer: SocketAddr,
) -> io::Result<()> {
    link::set_options(&stream)?;
    let request: Open = tokio::time::timeout(OPEN_TIMEOUT, read_message(&mut stream)).await??;
    let connected = connect(gate, &request).await;
    let answer = match &connected {
        Ok(_) => Answer::Opened,
        Err(answer) => *answer,
    };
    base::event!(
        INFO, Event::TunnelRequested, peer = %peer, endpoint = %request.endpoint, answer = ?answer
    );
    gate.metrics.tunnels.with_label_values(&[&format!("{answer:?}")]).inc();
    write_message(&mut stream, &answer).await?;
    let Ok(endpoint) = connected else { return Ok(()) };
    splice(stream, endpoint).await
}

/// Forwards bytes between another gate and an endpoint, whose bytes are framed, until one of them closes its connection.
pub async fn splice(peer: TcpStream, endpoint: TcpStream) -> io::Result<()> {
    let (mut from_peer, mut to_peer) = peer.into_split();
    let (mut from_endpoint, mut to_endpoint) = endpoint.into_split();
    let requests = tokio::io::copy(&mut from_peer, &mut to_endpoint);
    let responses = async {
        let mut buffer = vec![0; HEADER_BYTES + MAX_FRAME_BYTES];
        loop {
            let length = from_endpoint.read(&mut buffer[HEADER_BYTES..]).await?;
            buffer[..HEADER_BYTES].copy_from_slice(&(length as u32).to_be_bytes());
            to_peer.write_all(&buffer[..HEADER_BYTES + length]).await?;
            if length == 0 {
                return Ok::<_, io::Error>(());
            }
        }
    };
    tokio::select! {
        ended = responses => ended,
        // A gate does not half-close: it has dropped the request, and the endpoint must see that.
        ended = requests => ended.map(drop),
    }
}

/// Connects to an endpoint on behalf of another gate.
async fn connect<P: Protocol>(gate: &Gate<P>, request: &Open) -> Result<TcpStream, Answer> {
    let known = gate.view.endpoints().get(&request.endpoint).cloned();
    let endpoint = known.filter(|known| known.born == request.born).ok_or(Answer::Unavailable)?;
    let unavailable = gate.keepers.availability.check(&endpoint, gate.view.now()).is_some();
    if unavailable || gate.view.is_draining() || gate.pool.path.is_lost() {
        return Err(Answer::Unavailable);
    }
    let connected = link::connect(gate.settings.ip, endpoint.address, CONNECT_TIMEOUT).await;
    connected.map_err(|error| match error.kind() {
        io::ErrorKind::ConnectionRefused => Answer::Refused,
        _ => Answer::Unreachable,
    })
}

async fn write_message(
    stream: &mut (impl AsyncWrite + Unpin),
    message: &impl Serialize,
) -> io::Result<()> {
    let mut bytes = vec![0, 0];
    bytes = postcard::to_extend(message, bytes).map_err(io::Error::other)?;
    let length = u16::try_from(bytes.len() - 2).map_err(io::Error::other)?;
    bytes[..2].copy_from_slice(&length.to_be_bytes());
    stream.write_all(&bytes).await
}

async fn read_message<T: DeserializeOwned>(stream: &mut (impl AsyncRead + Unpin)) -> io::Result<T> {
    let length = stream.read_u16().await?;
    if length > MAX_MESSAGE_BYTES {
        return Err(io::Error::from(io::ErrorKind::InvalidData));
    }
    let mut bytes = vec![0; usize::from(length)];
    stream.read_exact(&mut bytes).await?;
    postcard::from_bytes(&bytes).map_err(io::Error::other)
}
