//! UDP forwarding.

use std::collections::hash_map::Entry;
use std::net::SocketAddr;
use std::sync::Arc;

use base::Map;
use bytes::Bytes;
use tokio::net::UdpSocket;
use tokio::task::JoinSet;

use crate::proxy::link::Link;
use crate::proxy::rule::Direction;

/// Maximum size of a datagram.
const MAX_DATAGRAM_BYTES: usize = 64 << 10;

/// Maximum number of senders with an open socket; at the limit all sockets are closed.
const MAX_SENDERS: usize = 1024;

/// Forwards datagrams until the future is dropped.
pub(crate) async fn serve(socket: UdpSocket, link: Arc<Link>) {
    let socket = Arc::new(socket);
    let mut senders: Map<SocketAddr, Arc<UdpSocket>> = Map::default();
    let mut response_tasks = JoinSet::new();
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, sender)) = socket.recv_from(&mut buffer).await else { continue };
        if senders.len() >= MAX_SENDERS {
            senders.clear();
            response_tasks.abort_all();
        }
        let target = match senders.entry(sender) {
            Entry::Occupied(known) => known.get().clone(),
            Entry::Vacant(entry) => {
                let Some(target) = open(&link).await else { continue };
                link.count_connection();
                response_tasks.spawn(forward_responses(
                    target.clone(),
                    socket.clone(),
                    sender,
                    link.clone(),
                ));
                entry.insert(target).clone()
            }
        };
        let bytes = Bytes::copy_from_slice(&buffer[..length]);
        let to = link.to();
        forward(&link, Direction::Request, bytes, target, to);
    }
}

/// Opens the socket through which the datagrams of one sender go to the target.
async fn open(link: &Link) -> Option<Arc<UdpSocket>> {
    let any = if link.to().is_ipv4() { "0.0.0.0:0" } else { "[::]:0" };
    Some(Arc::new(UdpSocket::bind(any).await.ok()?))
}

async fn forward_responses(
    target: Arc<UdpSocket>,
    socket: Arc<UdpSocket>,
    sender: SocketAddr,
    link: Arc<Link>,
) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, from)) = target.recv_from(&mut buffer).await else { continue };
        if from != link.to() {
            continue;
        }
        let bytes = Bytes::copy_from_slice(&buffer[..length]);
        forward(&link, Direction::Answer, bytes, socket.clone(), sender);
    }
}

/// Forwards a datagram with the delay, loss and duplication of the rules.
fn forward(
    link: &Arc<Link>,
    direction: Direction,
    bytes: Bytes,
    socket: Arc<UdpSocket>,
    to: SocketAddr,
) {
    let rules = link.version().rules;
    if rules.cut || rules.drops(direction) || link.chance(rules.loss_percent) {
        return;
    }
    let copies = if link.chance(rules.duplicate_percent) { 2 } else { 1 };
    let link = link.clone();
    tokio::spawn(async move {
        tokio::time::sleep(rules.delay()).await;
        link.wait_for(|rules| !rules.hold).await;
        for _ in 0..copies {
            if socket.send_to(&bytes, to).await.is_ok() {
                link.count(direction, bytes.len());
            }
        }
    });
}
