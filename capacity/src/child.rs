//! An entry process under measurement.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// What an entry process has used so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProcessUse {
    /// Processor time of all threads.
    pub cpu: Duration,
    /// Resident memory in bytes.
    pub resident: u64,
}

/// A running `godwithaven-entry`; it is ended when the value is dropped.
pub struct EntryChild {
    child: Child,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for entry processes.
    pub peer_listen: SocketAddr,
    /// Address for operators.
    pub operator_listen: SocketAddr,
}

impl EntryChild {
    /// Starts the daemon that was built beside this program.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon is not there or no port is free.
    pub fn start(flags: &[(&str, String)]) -> std::io::Result<Self> {
        let [listen, peer_listen, operator_listen] = [free_port()?, free_port()?, free_port()?];
        let mut command = Command::new(daemon()?);
        for (flag, value) in flags {
            command.arg(format!("--{flag}")).arg(value);
        }
        command.args(["--listen", &listen.to_string(), "--peer-listen", &peer_listen.to_string()]);
        command.args(["--operator-listen", &operator_listen.to_string()]);
        let child = command.stdout(Stdio::null()).stderr(Stdio::null()).spawn()?;
        Ok(Self { child, listen, peer_listen, operator_listen })
    }

    /// Reads what the process has used so far.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has ended.
    pub fn usage(&self) -> std::io::Result<ProcessUse> {
        let proc = PathBuf::from(format!("/proc/{}", self.child.id()));
        let mut nanoseconds = 0;
        for thread in fs::read_dir(proc.join("task"))? {
            let line = fs::read_to_string(thread?.path().join("schedstat"))?;
            nanoseconds += line.split(' ').next().and_then(|field| field.parse::<u64>().ok()).unwrap_or(0);
        }
        let status = fs::read_to_string(proc.join("status"))?;
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes = resident.and_then(|rest| rest.trim().trim_end_matches(" kB").parse::<u64>().ok());
        Ok(ProcessUse { cpu: Duration::from_nanos(nanoseconds), resident: kilobytes.unwrap_or(0) * 1_024 })
    }
}

impl Drop for EntryChild {
    fn drop(&mut self) {
        // A child that has ended already needs no signal.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn daemon() -> std::io::Result<PathBuf> {
    Ok(std::env::current_exe()?.with_file_name("godwithaven-entry"))
}

fn free_port() -> std::io::Result<SocketAddr> {
    std::net::TcpListener::bind("127.0.0.1:0")?.local_addr()
}
