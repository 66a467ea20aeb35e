//! The daemon of an entry VM.

use std::process::ExitCode;

use godwithaven::log_pipe::LogPipe;
use godwithaven::logging;
use godwithaven::settings::{self, CommandLine, EntrySettings, SettingFault};
use godwithaven::tasks::cell::ports::CellAdapter;
use godwithaven::tasks::cell::process::CellProcess;
use godwithaven::tasks::entry::EntryProcess;
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

/// Exit code for settings that cannot be used.
const BAD_SETTINGS: u8 = 2;

#[actix_rt::main]
async fn main() -> ExitCode {
    let flags = match CommandLine::parse(std::env::args().skip(1)) {
        Ok(CommandLine::Start(flags)) => flags,
        Ok(CommandLine::Help) => {
            print!("{}", settings::help());
            return ExitCode::SUCCESS;
        }
        Ok(CommandLine::Version) => {
            println!("godwithaven-entry {}", env!("CARGO_PKG_VERSION"));
            return ExitCode::SUCCESS;
        }
        Err(fault) => return fail(fault),
    };
    if let Some((adapter, path)) = CellAdapter::find(|variable| std::env::var(variable).ok()) {
        return serve_cell(adapter, &path).await;
    }
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

/// Serves a cell on a platform whose settings file is at the path.
async fn serve_cell(adapter: CellAdapter, path: &str) -> ExitCode {
    let settings = match (adapter.load)(path) {
        Ok(settings) => settings,
        Err(fault) => return fail(fault),
    };
    let pipe = match LogPipe::start(log::LevelFilter::Info) {
        Ok(pipe) => pipe,
        Err(text) => return fail(SettingFault { text }),
    };
    let logging = CancellationToken::new();
    let written = actix_rt::spawn(pipe.run(logging.clone()));
    let code = match CellProcess::start(adapter, settings).await {
        Ok(process) => {
            let reload = || process.log_reloaded_settings((adapter.load)(path));
            wait_for_stop_or(reload).await;
            process.stop().await;
            ExitCode::SUCCESS
        }
        Err(fault) => fail(fault),
    };
    logging.cancel();
    if written.await.is_err() {
        eprintln!("the task that writes log lines has panicked");
    }
    code
}

/// Waits for a signal to stop; calls `reload` at each hang-up signal.
async fn wait_for_stop_or(reload: impl Fn()) {
    let Ok(mut hangup) = signal(SignalKind::hangup()) else { return };
    let stop = wait_for_stop();
    tokio::pin!(stop);
    loop {
        tokio::select! {
            () = &mut stop => return,
            _ = hangup.recv() => reload(),
        }
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
