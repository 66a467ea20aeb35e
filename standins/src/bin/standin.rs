//! Runs one stand-in as a process, for manual tests of the daemons.

use std::process::ExitCode;

use godwithaven_standins::directory::{DirectoryStandin, ListedVm};
use godwithaven_standins::endpoint::EndpointStandin;
use godwithaven_standins::logservice::LogStandin;
use godwithaven_standins::worker::WorkerStandin;
use tokio_util::sync::CancellationToken;

const USAGE: &str = "usage: godwithaven-standin log|workers|endpoint ADDRESS
       godwithaven-standin directory ADDRESS FILE.json";

#[actix_rt::main]
async fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let token = CancellationToken::new();
    let started = match args.as_slice() {
        ["log", address] => LogStandin::start(address, token).await.map(|_| ()),
        ["workers", address] => WorkerStandin::start(address, token).await.map(|_| ()),
        ["endpoint", address] => EndpointStandin::start(address, token).await.map(|_| ()),
        ["directory", address, file] => start_directory(address, file, token).await,
        _ => {
            eprintln!("{USAGE}");
            return ExitCode::from(2);
        }
    };
    match started {
        Ok(()) => {
            let _ = tokio::signal::ctrl_c().await;
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("cannot start the stand-in: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn start_directory(address: &str, file: &str, token: CancellationToken) -> std::io::Result<()> {
    let text = std::fs::read_to_string(file)?;
    let vms: Vec<ListedVm> = serde_json::from_str(&text)?;
    let directory = DirectoryStandin::start(address, token).await?;
    directory.change(|list| *list = vms);
    Ok(())
}
