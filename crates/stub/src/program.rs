//! Runs a stand-in as a program until it is told to stop.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::Event;
use base::Name;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::Engine;
use crate::Proxy;
use crate::Service;
use crate::Store;
use crate::cli;
use crate::cli::Command;
use crate::proxy;

/// How long a stand-in that was told to stop waits for what is in progress.
const STOP_LIMIT: Duration = Duration::from_secs(30);

/// Runs a command until `SIGTERM` or `SIGINT`; the error is for people.
pub async fn run(command: Command) -> Result<(), String> {
    match command {
        Command::Help | Command::Version => Ok(()),
        Command::Engine(common, settings) => {
            base::start_log(common.format, "info");
            let listener = listen(common.address).await?;
            let engine = Engine::start(listener, settings).map_err(|error| error.to_string())?;
            stopped(Some(engine.address())).await?;
            tokio::time::timeout(STOP_LIMIT, engine.leave()).await.ok();
            Ok(())
        }
        Command::Service(common, settings) => {
            base::start_log(common.format, "info");
            let listener = listen(common.address).await?;
            let service = Service::start(listener, settings).map_err(|error| error.to_string())?;
            stopped(Some(service.address())).await?;
            tokio::time::timeout(STOP_LIMIT, service.leave()).await.ok();
            Ok(())
        }
        Command::Store(common, settings) => {
            base::start_log(common.format, "info");
            let listener = listen(common.address).await?;
            let store = Store::start(listener, settings).map_err(|error| error.to_string())?;
            stopped(Some(store.address())).await
        }
        Command::Proxy(options) => {
            base::start_log(options.format, "info");
            proxy(options).await
        }
    }
}

async fn proxy(options: cli::Proxy) -> Result<(), String> {
    let settings = match &options.settings {
        Some(path) => proxy::read_settings(path)?,
        None => only_link(&options)?,
    };
    let mut proxy = Proxy::new(options.seed);
    for entry in settings.links {
        let link = open(&mut proxy, &entry).await;
        let link =
            link.map_err(|error| format!("link {} {}: {error}", entry.name, entry.listen))?;
        link.set(entry.rules);
    }
    let Some(control) = options.control.or(settings.control) else {
        return stopped(None).await;
    };
    let listener = listen(control).await?;
    let address = listener.local_addr().ok();
    tokio::select! {
        () = proxy::serve_control(listener, &proxy) => Ok(()),
        ended = stopped(address) => ended,
    }
}

async fn open(proxy: &mut Proxy, entry: &proxy::Entry) -> io::Result<Arc<proxy::Link>> {
    if entry.udp {
        let socket = UdpSocket::bind(entry.listen).await?;
        return proxy.add_udp(entry.name.clone(), socket, entry.to);
    }
    let listener = TcpListener::bind(entry.listen).await?;
    proxy.add(entry.name.clone(), listener, entry.to)
}

/// Makes settings of the link on the command line.
fn only_link(options: &cli::Proxy) -> Result<proxy::Settings, String> {
    let listen = options.listen.ok_or("--listen is missing")?;
    let to = options.to.ok_or("--to is missing")?;
    let rules = proxy::Rules::default();
    let entry = proxy::Entry { name: Name::from("link"), listen, to, udp: options.udp, rules };
    Ok(proxy::Settings { control: None, links: vec![entry] })
}

async fn listen(address: SocketAddr) -> Result<TcpListener, String> {
    TcpListener::bind(address).await.map_err(|error| format!("--address {address}: {error}"))
}

/// Says that the program listens and waits until it is told to stop.
async fn stopped(address: Option<SocketAddr>) -> Result<(), String> {
    base::event!(INFO, Event::Started, address = address.map(tracing::field::display));
    let mut terminate = signal(SignalKind::terminate()).map_err(|error| error.to_string())?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(|error| error.to_string())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    base::event!(INFO, Event::Stopping);
    Ok(())
}
