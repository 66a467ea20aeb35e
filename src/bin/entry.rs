//! The daemon of an entry VM.

use std::process::ExitCode;

use godwithaven::logging;
use godwithaven::settings::{self, EntrySettings, SettingFault, SettingsCall};
use godwithaven::tasks::entry::EntryProcess;
use tokio::signal::unix::{SignalKind, signal};

/// Exit code for settings that cannot be used.
const BAD_SETTINGS: u8 = 2;

#[actix_rt::main]
async fn main() -> ExitCode {
    let flags = match SettingsCall::parse(std::env::args().skip(1)) {
        Ok(SettingsCall::Start(flags)) => flags,
        Ok(SettingsCall::Help) => {
            print!("{}", settings::help());
            return ExitCode::SUCCESS;
        }
        Ok(SettingsCall::Version) => {
            println!("godwithaven-entry {}", env!("CARGO_PKG_VERSION"));
            return ExitCode::SUCCESS;
        }
        Err(fault) => return fail(fault),
    };
    let settings =
        EntrySettings::read(|flag| flags.get(flag).cloned(), |variable| std::env::var(variable).ok());
    let settings = match settings {
        Ok(settings) => settings,
        Err(fault) => return fail(fault),
    };
    logging::start(settings.log_format, log::LevelFilter::Info);
    match EntryProcess::start(settings).await {
        Ok(entry) => {
            wait_for_stop().await;
            entry.stop().await;
            ExitCode::SUCCESS
        }
        Err(fault) => fail(fault),
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

fn fail(fault: SettingFault) -> ExitCode {
    eprintln!("{:?}", miette::Report::new(fault));
    ExitCode::from(BAD_SETTINGS)
}
