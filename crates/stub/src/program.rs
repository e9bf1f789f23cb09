//! Runs a stand-in as a program until it is told to stop.

use std::net::SocketAddr;
use std::time::Duration;

use base::Event;
use tokio::net::TcpListener;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::Engine;
use crate::Service;
use crate::Store;
use crate::cli::Command;

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
            stopped(engine.address()).await?;
            tokio::time::timeout(STOP_LIMIT, engine.leave()).await.ok();
            Ok(())
        }
        Command::Service(common, settings) => {
            base::start_log(common.format, "info");
            let listener = listen(common.address).await?;
            let service = Service::start(listener, settings).map_err(|error| error.to_string())?;
            stopped(service.address()).await?;
            tokio::time::timeout(STOP_LIMIT, service.leave()).await.ok();
            Ok(())
        }
        Command::Store(common, settings) => {
            base::start_log(common.format, "info");
            let listener = listen(common.address).await?;
            let store = Store::start(listener, settings).map_err(|error| error.to_string())?;
            stopped(store.address()).await
        }
        Command::Proxy(_) => Err("the proxy is not built yet".to_owned()),
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener, String> {
    TcpListener::bind(address).await.map_err(|error| format!("--address {address}: {error}"))
}

/// Says that the program listens and waits until it is told to stop.
async fn stopped(address: SocketAddr) -> Result<(), String> {
    base::event!(INFO, Event::Started, address = %address);
    let mut terminate = signal(SignalKind::terminate()).map_err(|error| error.to_string())?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(|error| error.to_string())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    base::event!(INFO, Event::Stopping);
    Ok(())
}
