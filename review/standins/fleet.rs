//! The system under test: entry processes with the command of the deploy file, as separate processes.

use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http;
use crate::record::Record;

pub const HOST: &str = "plans.example";
pub const KEY: &str = "key-of-team-a";
pub const ZONES: [&str; 3] = ["north", "middle", "south"];

struct Ports {
    front: u16,
    ready: u16,
    control: u16,
    internal: u16,
}

struct Entry {
    name: String,
    ports: Ports,
    child: Option<Child>,
}

/// Three entry processes; all end when this is dropped.
pub struct Fleet {
    entries: Vec<Entry>,
    folder: PathBuf,
    program: Vec<String>,
    root: PathBuf,
    record: Record,
}

/// Ports below those that the system gives to outgoing connections, so that none of these takes one before
/// the entry process binds it.
fn free_ports(count: usize) -> Vec<u16> {
    let first = 10_000 + std::process::id() % 200 * 100;
    let candidates = (first..32_000).chain(10_000..first).filter_map(|port| u16::try_from(port).ok());
    let is_free = |port: &u16| TcpListener::bind(("127.0.0.1", *port)).is_ok();
    candidates.filter(is_free).take(count).collect()
}

/// The command of the role in the deploy file.
fn deploy_command(root: &PathBuf) -> Vec<String> {
    let text = std::fs::read_to_string(root.join("deploy/system.toml")).expect("the deploy file can be read");
    let line = text.lines().find(|line| line.starts_with("run")).expect("the deploy file has a command");
    let command = line.split('"').nth(1).expect("the command is in quotes");
    command.split(' ').map(ToOwned::to_owned).collect()
}

impl Fleet {
    pub fn start(store: SocketAddr, keep_s: u64, record: &Record) -> Fleet {
        let root = std::env::current_dir().expect("the repository is the current folder");
        let folder = std::env::temp_dir().join(format!("review-case-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder can be made");
        let program = deploy_command(&root);
        let mut fleet = Fleet { entries: Vec::new(), folder, program, root, record: record.clone() };
        let free = free_ports(4 * ZONES.len());
        for (index, (zone, free)) in ZONES.iter().zip(free.chunks(4)).enumerate() {
            let ports = Ports { front: free[0], ready: free[1], control: free[2], internal: free[3] };
            fleet.entries.push(Entry { name: format!("front-{zone}-{}", index + 1), ports, child: None });
        }
        let seeds: Vec<String> =
            fleet.entries.iter().map(|entry| format!("127.0.0.1:{}", entry.ports.control)).collect();
        for (index, zone) in ZONES.iter().enumerate() {
            let Entry { name, ports, .. } = &fleet.entries[index];
            let settings = format!(
                "node={name}\nrole=entry\nmachine_class=front\nserves=front,control\nip=127.0.0.1\nzone={zone}\n\
                 region=west\nzones.north=west\nzones.middle=west\nzones.south=west\n\
                 listen.front=127.0.0.1:{}\nlisten.ready=127.0.0.1:{}\nlisten.control=127.0.0.1:{}\n\
                 internal_ports={},{}\nseeds={}\nbootstrap=true\nlimits.cpu_share=0.25\nlimits.cores=1\n\
                 limits.memory_mb=260\nlimits.max_fds=4100\ndiscovery=platform\nentry=vip\nheartbeat_ms=1500\n\
                 bounds.contact_ms=3000\nbounds.ack_ms=4000\nbounds.grace_s=6\nbounds.max_hold_ms=10000\n\
                 bounds.stop_ms=200\nbounds.cancel_ms=3000\nbounds.visible_ms=3000\nbounds.finish_s=14\n\
                 bounds.status_s=120\norders=call\nplatform.address={store}\nplatform.form=log\n\
                 platform.writes_per_s=600\nplatform.reads_per_s=2000\nplatform.parts=32\n\
                 platform.append_ms=2.0\nplatform.partition_mb_s=20.0\nplatform.read_mb_s=80.0\n\
                 platform.record_bytes=262144\nplatform.call_bytes=2097152\nplatform.keep_s={keep_s}\n\
                 platform.part_mb=200\nplatform.min_ttl_ms=1000\n",
                ports.front, ports.ready, ports.control, ports.internal, ports.internal, seeds.join(",")
            );
            std::fs::write(fleet.folder.join(name), settings).expect("settings can be written");
        }
        for index in 0..fleet.entries.len() {
            fleet.start_entry(index);
        }
        fleet
    }

    pub fn start_entry(&mut self, index: usize) {
        let entry = &mut self.entries[index];
        let log = File::options().create(true).append(true).open(self.folder.join(format!("{}.log", entry.name)));
        let log = log.expect("a log can be written");
        let inherited = ["PATH", "HOME", "LANG"].into_iter().filter_map(|name| Some((name, std::env::var(name).ok()?)));
        let child = Command::new(self.root.join(&self.program[0]))
            .args(&self.program[1..])
            .current_dir(&self.root)
            .env_clear()
            .envs(inherited)
            .env("GODWITHAVEN_CONFIG", self.folder.join(&entry.name))
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("the log can be shared"))
            .stderr(log)
            .spawn()
            .expect("the entry process starts");
        self.record.say(&format!("{} started", entry.name));
        entry.child = Some(child);
    }

    pub fn kill(&mut self, index: usize) {
        let entry = &mut self.entries[index];
        if let Some(mut child) = entry.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record.say(&format!("{} killed", entry.name));
        }
    }

    /// Index of the entry process that says that it owns the cell, by its metrics.
    pub fn owner(&self) -> Option<usize> {
        (0..self.entries.len()).find(|index| {
            let address = SocketAddr::from(([127, 0, 0, 1], self.entries[*index].ports.internal));
            let answer = http::call(address, "GET", "/metrics", &[("Host", "x")], b"", Duration::from_secs(1));
            answer.is_some_and(|(_, body)| {
                String::from_utf8_lossy(&body).lines().any(|line| line == "godwithaven_owner 1")
            })
        })
    }

    pub fn name(&self, index: usize) -> &str {
        &self.entries[index].name
    }

    /// Waits until all processes are ready and one owns the cell; `false` if that takes too long.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline {
            let ready = self.entries.iter().all(|entry| {
                let address = SocketAddr::from(([127, 0, 0, 1], entry.ports.ready));
                let answer = http::call(address, "GET", "/api/ready", &[("Host", "x")], b"", Duration::from_secs(1));
                answer.is_some_and(|(status, _)| status == 200)
            });
            if ready && self.owner().is_some() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// A client of the processes; attempt N goes to another process than attempt N + 1.
    pub fn client(&self) -> Client {
        let address = |entry: &Entry| SocketAddr::from(([127, 0, 0, 1], entry.ports.front));
        Client { fronts: self.entries.iter().map(address).collect(), record: self.record.clone() }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for index in 0..self.entries.len() {
            self.kill(index);
        }
        if std::env::var_os("REVIEW_KEEP_LOGS").is_some() {
            println!("logs are in {}", self.folder.display());
        } else {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

#[derive(Clone)]
pub struct Client {
    fronts: Vec<SocketAddr>,
    record: Record,
}

impl Client {
    fn call(&self, front: usize, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
        let headers =
            [("Host", HOST), ("Api-Key", KEY), ("Deadline-Ms", "3000"), ("Content-Type", "application/json")];
        let front = self.fronts[front % self.fronts.len()];
        let (status, body) = http::call(front, method, path, &headers, body.as_bytes(), Duration::from_secs(3))?;
        Some((status, String::from_utf8_lossy(&body).into_owned()))
    }

    /// Hands a job in, with up to four more attempts at other processes; whether it was accepted.
    pub fn submit(&self, id: &str, body: &str, first_front: usize) -> bool {
        for attempt in 0..5 {
            let answer = self.call(first_front + attempt, "POST", &format!("/plans/{id}"), body);
            let status = answer.map_or(0, |(status, _)| status);
            self.record.line(&format!("client: POST {id} answered {status}"));
            if (200..300).contains(&status) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(500));
        }
        false
    }

    /// Status code and body of a GET for a job; 0 if there is no answer.
    pub fn state(&self, id: &str, front: usize) -> (u16, String) {
        let answer = self.call(front, "GET", &format!("/plans/{id}"), "").unwrap_or((0, String::new()));
        self.record.line(&format!("client: GET {id} answered {} {}", answer.0, answer.1));
        answer
    }
}
