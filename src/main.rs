//! One real sender: takes messages from clients and delivers them to endpoints, as the decision module says.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod net;

use std::process::ExitCode;

use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;

use net::{Inbound, config, driver};

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("myrtleyard: {}", e.replace(['\n', '\r'], " "));
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), String> {
    let config = config::read()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let (inbound, events) = mpsc::unbounded_channel();
        for kind in [SignalKind::terminate(), SignalKind::interrupt(), SignalKind::hangup()] {
            let mut asked = signal(kind).map_err(|e| format!("signals: {e}"))?;
            let inbound = inbound.clone();
            tokio::task::spawn_local(async move {
                while asked.recv().await.is_some() {
                    let reload = kind == SignalKind::hangup();
                    let _ = inbound.send(if reload { Inbound::Reload } else { Inbound::Terminate });
                }
            });
        }
        driver::run(config, inbound, events).await
    })
}
