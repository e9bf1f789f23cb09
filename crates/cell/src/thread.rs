//! A thread with a runtime of its own, for the tasks that must not wait for the rest of the keeper.

use std::thread;

use tokio::runtime::Builder;
use tokio::runtime::Handle;
use tokio::sync::oneshot;

use crate::error::Error;

/// A thread with a runtime of its own. Its tasks end when this value is dropped.
#[derive(Debug)]
pub(crate) struct Thread {
    runtime: Handle,
    _stop: oneshot::Sender<()>,
}

impl Thread {
    pub(crate) fn start(name: &str) -> Result<Thread, Error> {
        let failed = |error: std::io::Error| Error::Task(error.to_string());
        let runtime = Builder::new_current_thread().enable_all().build().map_err(failed)?;
        let handle = runtime.handle().clone();
        let (stop, stopped) = oneshot::channel();
        let run = move || {
            runtime.block_on(async {
                // Fails once the sender is dropped, which ends the thread.
                stopped.await.ok();
            });
            // Does not wait for a write that hangs.
            runtime.shutdown_background();
        };
        thread::Builder::new().name(name.to_owned()).spawn(run).map_err(failed)?;
        Ok(Thread { runtime: handle, _stop: stop })
    }

    pub(crate) fn runtime(&self) -> &Handle {
        &self.runtime
    }
}
