//! The daemon of an entry VM.

use std::process::ExitCode;

use godwithaven::logging;
use godwithaven::settings::{ENTRY_SETTINGS, EntrySettings};
use godwithaven::tasks::entry::EntryProcess;
use rustc_hash::FxHashMap;
use tokio::signal::unix::{SignalKind, signal};

/// Exit code for settings that cannot be used.
const BAD_SETTINGS: u8 = 2;

#[actix_rt::main]
async fn main() -> ExitCode {
    let flags = match parse_flags(std::env::args().skip(1)) {
        Ok(Some(flags)) => flags,
        Ok(None) => return ExitCode::SUCCESS,
        Err(text) => return fail(&text),
    };
    let settings =
        EntrySettings::read(|flag| flags.get(flag).cloned(), |variable| std::env::var(variable).ok());
    let settings = match settings {
        Ok(settings) => settings,
        Err(fault) => return fail(&format!("{:?}", miette::Report::new(fault))),
    };
    logging::start(settings.log_format, log::LevelFilter::Info);
    match EntryProcess::start(settings).await {
        Ok(entry) => {
            wait_for_stop().await;
            entry.stop().await;
            ExitCode::SUCCESS
        }
        Err(fault) => fail(&format!("{:?}", miette::Report::new(fault))),
    }
}

/// Returns the flags, or nothing if only help or the version was asked for.
fn parse_flags(mut args: impl Iterator<Item = String>) -> Result<Option<FxHashMap<String, String>>, String> {
    let mut flags = FxHashMap::default();
    while let Some(arg) = args.next() {
        match arg.as_str() {
            "--help" | "-h" => {
                print_help();
                return Ok(None);
            }
            "--version" => {
                println!("godwithaven-entry {}", env!("CARGO_PKG_VERSION"));
                return Ok(None);
            }
            _ => {}
        }
        let name = arg.strip_prefix("--").ok_or_else(|| format!("unexpected argument {arg:?}"))?;
        if !ENTRY_SETTINGS.iter().any(|entry| entry.flag == name) {
            return Err(format!("unknown flag {arg:?}; see --help"));
        }
        let value = args.next().ok_or_else(|| format!("{arg} needs a value"))?;
        flags.insert(name.to_owned(), value);
    }
    Ok(Some(flags))
}

fn print_help() {
    println!("godwithaven-entry: admits, routes and places work on an entry VM\n");
    for entry in ENTRY_SETTINGS {
        let default = entry.default.map(|default| format!(" [default {default}]")).unwrap_or_default();
        println!("  --{} VALUE  ({}) {}{default}", entry.flag, entry.variable, entry.help);
    }
}

async fn wait_for_stop() {
    let (Ok(mut terminate), Ok(mut interrupt)) =
        (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
    else {
        return;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

fn fail(text: &str) -> ExitCode {
    eprintln!("{text}");
    ExitCode::from(BAD_SETTINGS)
}
