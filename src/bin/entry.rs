//! The daemon of an entry VM. If the environment variable of a cell adapter, such as `GODWITHAVEN_CONFIG`,
//! names a settings file, the daemon serves a cell on the users' platform and ignores the flags and variables
//! of [`EntrySettings`].

use std::process::ExitCode;

use godwithaven::log_pipe::LogPipe;
use godwithaven::logging;
use godwithaven::settings::{self, CommandLine, EntrySettings, SettingFault};
use godwithaven::tasks::cell::ports::CellAdapter;
use godwithaven::tasks::cell::process::CellProcess;
use godwithaven::tasks::entry::EntryProcess;
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

/// Exit code for invalid settings and for a process that cannot start.
const EXIT_CANNOT_START: u8 = 2;

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
        Err(fault) => return report_fault(fault),
    };
    if let Some((adapter, path)) = CellAdapter::find(|variable| std::env::var(variable).ok()) {
        return serve_cell(adapter, &path).await;
    }
    let settings =
        EntrySettings::read(|flag| flags.get(flag).cloned(), |variable| std::env::var(variable).ok());
    let settings = match settings {
        Ok(settings) => settings,
        Err(fault) => return report_fault(fault),
    };
    logging::start(settings.log_format, log::LevelFilter::Info);
    match EntryProcess::start(settings).await {
        Ok(entry) => {
            wait_for_stop().await;
            entry.stop().await;
            ExitCode::SUCCESS
        }
        Err(fault) => report_fault(fault),
    }
}

/// Serves a cell with the settings file at `path`, and loads the file again at each hang-up signal.
async fn serve_cell(adapter: CellAdapter, path: &str) -> ExitCode {
    let settings = match (adapter.load)(path) {
        Ok(settings) => settings,
        Err(fault) => return report_fault(fault),
    };
    let pipe = match LogPipe::start(log::LevelFilter::Info) {
        Ok(pipe) => pipe,
        Err(text) => return report_fault(SettingFault { text }),
    };
    let log_stop = CancellationToken::new();
    let log_writer = actix_rt::spawn(pipe.run(log_stop.clone()));
    let code = match CellProcess::start(adapter, settings).await {
        Ok(process) => {
            let reload = || process.log_reloaded_settings((adapter.load)(path));
            wait_for_stop_with_reload(reload).await;
            process.stop().await;
            ExitCode::SUCCESS
        }
        Err(fault) => report_fault(fault),
    };
    log_stop.cancel();
    if log_writer.await.is_err() {
        eprintln!("the log writer task panicked");
    }
    code
}

/// Waits for a terminate or interrupt signal and calls `reload` at each hang-up signal. Returns at once if
/// the signals cannot be registered.
async fn wait_for_stop_with_reload(reload: impl Fn()) {
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

/// Waits for a terminate or interrupt signal; returns at once if they cannot be registered.
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

/// Prints the fault to standard error and returns the exit code for it.
fn report_fault(fault: SettingFault) -> ExitCode {
    eprintln!("{:?}", miette::Report::new(fault));
    ExitCode::from(EXIT_CANNOT_START)
}
