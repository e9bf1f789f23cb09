//! Accepts links. Runs on the thread of the replica.

use std::sync::Arc;

use base::Event;
use fleet::message::Frame;
use link::Accepted;
use link::Inbox;
use link::Link;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

use crate::peers::Peers;
use crate::replica::Request;
use crate::settings::MAINTENANCE_INTERVAL;

/// An accepted connection and its first frame, for the main thread.
#[derive(Debug)]
pub(crate) enum Incoming {
    /// The link of a keeper, open on the replica's thread, without the frames for the replica.
    Keeper(Frame, Link<Frame>, Inbox<Frame>),
    /// The connection of another node, whose link is opened on the main thread.
    Other(Frame, Accepted),
}

/// Accepts links.
#[derive(Clone, Debug)]
pub(crate) struct Acceptor {
    pub(crate) peers: Arc<Peers>,
    pub(crate) replica: mpsc::Sender<Request>,
    pub(crate) incoming: mpsc::UnboundedSender<Incoming>,
}

impl Acceptor {
    pub(crate) async fn run(self, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) if link::set_options(&stream).is_ok() => {
                    tokio::spawn(self.clone().admit(stream));
                }
                Ok(_) => {}
                Err(error) => {
                    base::event!(ERROR, Event::Fault, error = %error, "failed to accept a link");
                    tokio::time::sleep(MAINTENANCE_INTERVAL).await;
                }
            }
        }
    }

    async fn admit(self, stream: TcpStream) {
        // The side that connected sees an error by the end of the connection.
        let Ok((first, accepted)) = link::accept(stream).await else { return };
        let is_keeper = matches!(&first, Frame::Hello(hello) if hello.front.is_none());
        let incoming = self.incoming.clone();
        let admitted = if is_keeper {
            let Ok((link, inbox)) = accepted.open(Frame::Ping) else { return };
            Incoming::Keeper(first, link, inbox.filter(move |frame| self.handle(frame)))
        } else {
            Incoming::Other(first, accepted)
        };
        // Fails only if the keeper is shutting down.
        incoming.send(admitted).ok();
    }

    /// Handles a frame for the replica; gives back any other.
    fn handle(&self, frame: Frame) -> Option<Frame> {
        match frame {
            // A message dropped because the queue is full is sent again by the other replica.
            Frame::Raft(envelope) => drop(self.replica.try_send(Request::Deliver(envelope))),
            Frame::Join { id, host } => {
                self.peers.dial(&host);
                drop(self.replica.try_send(Request::Join { id, host }));
            }
            frame => return Some(frame),
        }
        None
    }
}
