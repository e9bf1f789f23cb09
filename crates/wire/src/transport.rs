//! RPC transport between radishbank's own processes: length-delimited bincode frames over TCP.

use std::io;

use serde::Deserialize;
use serde::Serialize;
use tarpc::serde_transport::Transport;
use tarpc::tokio_serde::formats::Bincode;
use tokio::net::TcpStream;

/// The maximum size of a frame in bytes.
pub const MAX_FRAME_BYTES: usize = 64 << 20;

/// Wraps a connection in a transport of messages.
pub fn wrap<In, Out>(stream: TcpStream) -> Transport<TcpStream, In, Out, Bincode<In, Out>>
where
    In: for<'de> Deserialize<'de>,
    Out: Serialize,
{
    stream.set_nodelay(true).ok();
    let codec = tarpc::tokio_util::codec::LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec();
    let framed = tarpc::tokio_util::codec::Framed::new(stream, codec);
    tarpc::serde_transport::new(framed, Bincode::default())
}

/// Connects to `address`, which has the form `IP:PORT`.
pub async fn connect<In, Out>(
    address: &str,
) -> io::Result<Transport<TcpStream, In, Out, Bincode<In, Out>>>
where
    In: for<'de> Deserialize<'de>,
    Out: Serialize,
{
    let stream = TcpStream::connect(address).await?;
    Ok(wrap(stream))
}
