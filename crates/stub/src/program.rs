//! Runs a stub as a program until it is signalled to stop.

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

/// Time limit for requests in progress to finish after a stop signal.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(30);

/// Runs a command until `SIGTERM` or `SIGINT`; the error is a message for the user.
pub async fn run(command: Command) -> Result<(), String> {
    match command {
        Command::Help | Command::Version => Ok(()),
        Command::Engine(common, settings) => {
            let _log = base::start_log(common.format, "info");
            let listener = listen(common.address).await?;
            let engine = Engine::start(listener, settings).map_err(|error| error.to_string())?;
            wait_for_signal(Some(engine.address())).await?;
            tokio::time::timeout(DRAIN_TIMEOUT, engine.leave()).await.ok();
            Ok(())
        }
        Command::Service(common, settings) => {
            let _log = base::start_log(common.format, "info");
            let listener = listen(common.address).await?;
            let service = Service::start(listener, settings).map_err(|error| error.to_string())?;
            wait_for_signal(Some(service.address())).await?;
            tokio::time::timeout(DRAIN_TIMEOUT, service.leave()).await.ok();
            Ok(())
        }
        Command::Store(common, settings) => {
            let _log = base::start_log(common.format, "info");
            let listener = listen(common.address).await?;
            let store = Store::start(listener, settings).map_err(|error| error.to_string())?;
            wait_for_signal(Some(store.address())).await
        }
        Command::Proxy(options) => {
            let _log = base::start_log(options.format, "info");
            run_proxy(options).await
        }
    }
}

async fn run_proxy(options: cli::Proxy) -> Result<(), String> {
    let settings = match &options.settings {
        Some(path) => proxy::read_settings(path)?,
        None => single_link(&options)?,
    };
    let mut proxy = Proxy::new(options.seed);
    for entry in settings.links {
        let link = add_link(&mut proxy, &entry).await;
        let link =
            link.map_err(|error| format!("link {} {}: {error}", entry.name, entry.listen))?;
        link.set(entry.rules);
    }
    let Some(control) = options.control.or(settings.control) else {
        return wait_for_signal(None).await;
    };
    let listener = listen(control).await?;
    let address = listener.local_addr().ok();
    tokio::select! {
        () = proxy::serve_control(listener, &proxy) => Ok(()),
        stopped = wait_for_signal(address) => stopped,
    }
}

async fn add_link(proxy: &mut Proxy, entry: &proxy::Entry) -> io::Result<Arc<proxy::Link>> {
    if entry.udp {
        let socket = UdpSocket::bind(entry.listen).await?;
        return proxy.add_udp(entry.name.clone(), socket, entry.to);
    }
    let listener = TcpListener::bind(entry.listen).await?;
    proxy.add(entry.name.clone(), listener, entry.to)
}

/// Builds the proxy settings for the link given on the command line.
fn single_link(options: &cli::Proxy) -> Result<proxy::Settings, String> {
    let listen = options.listen.ok_or("--listen is missing")?;
    let to = options.to.ok_or("--to is missing")?;
    let rules = proxy::Rules::default();
    let entry = proxy::Entry { name: Name::from("link"), listen, to, udp: options.udp, rules };
    Ok(proxy::Settings { control: None, links: vec![entry] })
}

async fn listen(address: SocketAddr) -> Result<TcpListener, String> {
    TcpListener::bind(address).await.map_err(|error| format!("--address {address}: {error}"))
}

/// Logs that the program listens and waits for `SIGTERM` or `SIGINT`.
async fn wait_for_signal(address: Option<SocketAddr>) -> Result<(), String> {
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
